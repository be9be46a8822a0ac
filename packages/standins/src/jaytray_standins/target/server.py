"""HTTP server of a model engine, with an API like OpenAI's completions.

Requests may carry `priority`, `resume_after_tokens` and `resume_text`. Responses echo
`X-Request-Id`; the refusal of a request that was not run has `X-Execution: not_run`.
Control: POST `/cancel/ID`, POST `/orders`, GET `/load`, GET `/cache-events?after=N`.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from typing import Any

import msgspec
from litestar import Response, get, post
from litestar.params import FromPath, FromQuery
from litestar.response import Stream
from litestar.types import ControllerRouterHandler

from jaytray_core.codec import encode_json
from jaytray_core.targets import InferRequest, Order
from jaytray_standins.admin import Actions, admin_handlers
from jaytray_standins.faults import FaultKind, FaultSwitches
from jaytray_standins.listener import (
    AnyRequest,
    ConnectionAborter,
    json_response,
    listen,
    not_run_response,
    respond,
)
from jaytray_standins.target import wire
from jaytray_standins.target.generation import CompletionBody
from jaytray_standins.target.state import (
    RequestRefusedError,
    TargetCrashedError,
    TargetState,
    TokenEvent,
)

FOREIGN_REQUEST_ID = "request-of-another-caller"
_COMPLETION_PATHS = ["/v1/chat/completions", "/v1/completions"]
_STALL_S = 3_600.0


class _ExtendedBody(CompletionBody, total=False):
    priority: int
    resume_after_tokens: int
    resume_text: str


@asynccontextmanager
async def serve_target(
    state: TargetState, faults: FaultSwitches, *, port: int = 0
) -> AsyncIterator[str]:
    """Serve `state` until the context ends; yields the address `IP:port`."""
    aborter = ConnectionAborter()

    @post(_COMPLETION_PATHS, status_code=200)
    async def complete(request: AnyRequest) -> Response[Any]:
        try:
            infer_request, is_stream = await _infer_request(request)
        except msgspec.DecodeError as err:
            headers = {"x-request-id": request.headers.get("x-request-id", "")}
            return not_run_response(400, str(err), headers)
        operation = "stream" if is_stream else "infer"
        exchange = _CompletionExchange(
            state=state, faults=faults, aborter=aborter, request=request
        )

        async def run() -> Response[Any]:
            return await exchange.run(infer_request, operation)

        return await respond(request, operation, faults, run, state.sleep)

    def records() -> dict[str, Any]:
        return target_records(state)

    def leave(_argument: str) -> None:
        state.is_leaving = True

    def crash(_argument: str) -> None:
        state.crash()

    actions: Actions = {"leave": leave, "crash": crash}
    handlers = [
        complete,
        *_control_handlers(state, faults),
        *admin_handlers(faults, records, actions),
    ]
    async with listen(handlers, aborter, port=port) as address:
        yield address
    await faults.close()


def header_list(request: AnyRequest) -> list[tuple[str, str]]:
    """Return the headers as received."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.scope["headers"]
    ]


def target_records(state: TargetState) -> dict[str, Any]:
    """Return the response of `/admin/records` for a target."""
    return {
        "ran_requests": [r._asdict() for r in state.ran_requests],
        "overcommits": [o._asdict() for o in state.overcommits],
        "orders": [o._asdict() for o in state.accelerators.orders],
        "stale_orders": state.accelerators.stale_orders,
        "unloads_in_use": state.accelerators.unloads_in_use,
        "cancelled_request_ids": state.cancelled_request_ids,
        "crashes": state.crashes,
    }


class _CompletionExchange:
    """One completion over HTTP."""

    def __init__(
        self,
        *,
        state: TargetState,
        faults: FaultSwitches,
        aborter: ConnectionAborter,
        request: AnyRequest,
    ) -> None:
        self._state = state
        self._faults = faults
        self._aborter = aborter
        self._request = request

    async def run(self, infer_request: InferRequest, operation: str) -> Response[Any]:
        """Run the request; the status is known once there is a first token."""
        headers = {"x-request-id": infer_request.request_id}
        if not self._state.is_up or self._faults.consume(FaultKind.REFUSED, operation):
            return not_run_response(503, "not accepting requests", headers)
        events = self._state.run(infer_request, header_list(self._request))
        try:
            first = await anext(events)
        except RequestRefusedError as err:
            return not_run_response(503, str(err), headers)
        except (TargetCrashedError, StopAsyncIteration):
            return self._abort()
        if self._faults.consume(FaultKind.FAILED, operation):
            await events.aclose()
            return Response(b"engine error", status_code=500, headers=headers)
        if operation == "stream":
            content = self._stream(infer_request, first, events)
            return Stream(content, media_type="text/event-stream", headers=headers)
        if self._faults.consume(FaultKind.CROSSED, operation):
            headers["x-request-id"] = FOREIGN_REQUEST_ID
        return await self._whole(infer_request, first, events, headers)

    async def _whole(
        self,
        infer_request: InferRequest,
        first: TokenEvent,
        events: AsyncGenerator[TokenEvent, None],
        headers: dict[str, str],
    ) -> Response[Any]:
        texts = [infer_request.resume_text, first.text]
        last = first
        try:
            async with aclosing(events):
                async for last in events:
                    texts.append(last.text)
        except TargetCrashedError:
            return self._abort()
        if not last.is_end:
            return self._abort()
        body = wire.whole_response(
            request_id=infer_request.request_id,
            path=infer_request.path,
            model=infer_request.model,
            text="".join(texts),
            end=last,
        )
        return json_response(body, headers=headers)

    async def _stream(
        self,
        infer_request: InferRequest,
        first: TokenEvent,
        events: AsyncGenerator[TokenEvent, None],
    ) -> AsyncGenerator[bytes, None]:
        cut = self._faults.consume(FaultKind.CUT, "stream")
        stalled = self._faults.consume(FaultKind.STALLED, "stream")
        short = self._faults.consume(FaultKind.SHORT, "stream")
        is_crossed = self._faults.consume(FaultKind.CROSSED, "stream") is not None
        request_id = FOREIGN_REQUEST_ID if is_crossed else infer_request.request_id
        pieces = 0
        async with aclosing(_with_first(first, events)) as all_events:
            try:
                async for event in all_events:
                    if cut is not None and pieces >= cut.pieces:
                        return
                    if stalled is not None and pieces >= stalled.pieces:
                        await asyncio.sleep(_STALL_S)
                    pieces += 1
                    if short is not None and pieces == short.pieces:
                        continue
                    yield _server_sent_event(request_id, infer_request, event)
            except TargetCrashedError:
                self._abort()

    def _abort(self) -> Response[Any]:
        self._aborter.abort(self._request)
        return Response(b"", status_code=500)


def _control_handlers(
    state: TargetState, faults: FaultSwitches
) -> list[ControllerRouterHandler]:
    async def respond_if_up(request: AnyRequest, operation: str, run: Any) -> Response[Any]:
        async def run_if_up() -> Response[Any]:
            if not state.is_up:
                return not_run_response(503, "restarting")
            return json_response(encode_json(run()))

        return await respond(request, operation, faults, run_if_up, state.sleep)

    @post("/cancel/{request_id:str}", status_code=200)
    async def cancel(request: AnyRequest, request_id: FromPath[str]) -> Response[Any]:
        return await respond_if_up(request, "cancel", lambda: state.cancel(request_id))

    @post("/orders", status_code=200)
    async def order(request: AnyRequest) -> Response[Any]:
        try:
            message = msgspec.json.decode(await request.body(), type=Order)
        except msgspec.DecodeError as err:
            return not_run_response(400, str(err))
        return await respond_if_up(request, "order", lambda: state.apply_order(message))

    @get("/load")
    async def load(request: AnyRequest) -> Response[Any]:
        return await respond_if_up(request, "load_report", state.load_report)

    @get("/cache-events")
    async def cache_events(request: AnyRequest, after: FromQuery[int]) -> Response[Any]:
        return await respond_if_up(request, "cache_events", lambda: state.cache_events(after))

    return [cancel, order, load, cache_events]


async def _infer_request(request: AnyRequest) -> tuple[InferRequest, bool]:
    body = await request.body()
    decoded = msgspec.json.decode(body, type=_ExtendedBody)
    infer_request = InferRequest(
        request_id=request.headers.get("x-request-id", ""),
        path=request.url.path,
        model=decoded.get("model", ""),
        body=body,
        resume_after_tokens=decoded.get("resume_after_tokens", 0),
        resume_text=decoded.get("resume_text", ""),
        priority=decoded.get("priority", 0),
        deadline_s=float(request.headers.get("x-deadline-ms", "0")) / 1000,
    )
    return infer_request, decoded.get("stream", False)


async def _with_first(
    first: TokenEvent, events: AsyncGenerator[TokenEvent, None]
) -> AsyncGenerator[TokenEvent, None]:
    async with aclosing(events):
        yield first
        async for event in events:
            yield event


def _server_sent_event(
    request_id: str, infer_request: InferRequest, event: TokenEvent
) -> bytes:
    data = wire.stream_event(
        request_id=request_id,
        path=infer_request.path,
        model=infer_request.model,
        event=event,
    )
    end = b"data: [DONE]\n\n" if event.is_end else b""
    return b"data: " + data + b"\n\n" + end
