"""In-process connections to the stand-ins of targets and plain services."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager
from typing import NoReturn, TypeVar

import msgspec

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.targets import (
    CacheEvent,
    InferRequest,
    LoadReport,
    Order,
    OrderReply,
    ServiceCall,
    StreamPiece,
    TargetConnection,
    WholeResponse,
)
from jaytray_standins.faults import (
    Fault,
    FaultKind,
    FaultSwitches,
    NoResponseError,
    NotDeliveredError,
    deliver,
)
from jaytray_standins.target import wire
from jaytray_standins.target.service_state import ServiceState
from jaytray_standins.target.state import (
    RequestRefusedError,
    TargetCrashedError,
    TargetState,
    TokenEvent,
)

T = TypeVar("T")
_FOREIGN_REQUEST_ID = "request-of-another-caller"
_JSON_HEADERS = [("content-type", "application/json")]


def in_process_target(
    state: TargetState, faults: FaultSwitches, *, timeout_s: float = 5.0
) -> TargetConnection:
    """Return a connection to a model engine; `timeout_s` bounds the first response."""
    link = _Link(state=state, faults=faults, timeout_s=timeout_s)

    async def infer(request: InferRequest) -> WholeResponse:
        async def run() -> WholeResponse:
            link.raise_if_refused("infer")
            return await _whole_response(state, request)

        response = await link.call("infer", run)
        return link.check_response("infer", response, request.request_id)

    @asynccontextmanager
    async def stream(
        request: InferRequest,
    ) -> AsyncIterator[AsyncIterator[StreamPiece]]:
        async def run() -> None:
            link.raise_if_refused("stream")

        await link.call("stream", run)
        async with aclosing(_pieces(state, request, link)) as pieces:
            yield pieces

    async def call_service(_call: ServiceCall) -> WholeResponse:
        raise link.refused("a model engine takes no service calls")

    async def cancel(request_id: str) -> None:
        async def run() -> None:
            state.cancel(request_id)

        await link.call("cancel", run)

    async def order(order: Order) -> OrderReply:
        async def run() -> OrderReply:
            return state.apply_order(order)

        return await link.call("order", run)

    async def load_report() -> LoadReport:
        async def run() -> LoadReport:
            return state.load_report()

        return await link.call("load_report", run)

    async def cache_events(after: int) -> list[CacheEvent]:
        async def run() -> list[CacheEvent]:
            return state.cache_events(after)

        return await link.call("cache_events", run)

    return TargetConnection(
        target=state.name,
        infer=infer,
        stream=stream,
        call_service=call_service,
        cancel=cancel,
        order=order,
        load_report=load_report,
        cache_events=cache_events,
        close=faults.close,
    )


def in_process_service(
    state: ServiceState, faults: FaultSwitches, *, timeout_s: float = 5.0
) -> TargetConnection:
    """Return a connection to a plain service, which takes service calls only."""
    link = _Link(state=state, faults=faults, timeout_s=timeout_s)

    async def call_service(call: ServiceCall) -> WholeResponse:
        async def run() -> WholeResponse:
            link.raise_if_refused("call_service")
            response = await state.run(call)
            return WholeResponse(
                call.request_id, response.status, _JSON_HEADERS, response.body
            )

        response = await link.call("call_service", run, call.timeout_s)
        return link.check_response("call_service", response, call.request_id)

    async def unsupported(_argument: object = None) -> NoReturn:
        raise link.refused("a plain service takes service calls only")

    @asynccontextmanager
    async def no_stream(
        _request: InferRequest,
    ) -> AsyncIterator[AsyncIterator[StreamPiece]]:
        link.refuse("a plain service takes service calls only")
        yield _no_pieces()

    return TargetConnection(
        target=state.name,
        infer=unsupported,
        stream=no_stream,
        call_service=call_service,
        cancel=unsupported,
        order=unsupported,
        load_report=unsupported,
        cache_events=unsupported,
        close=faults.close,
    )


class _Link:
    """The connection of one caller to one stand-in, subject to fault switches."""

    def __init__(
        self,
        *,
        state: TargetState | ServiceState,
        faults: FaultSwitches,
        timeout_s: float,
    ) -> None:
        self.state = state
        self.faults = faults
        self.timeout_s = timeout_s

    async def call(
        self,
        operation: str,
        run: Callable[[], Awaitable[T]],
        timeout_s: float | None = None,
    ) -> T:
        """Deliver a call; translates faults to the errors of the interface."""
        limit_s = self.timeout_s if timeout_s is None else timeout_s

        async def run_if_up() -> T:
            if not self.state.is_up:
                raise NotDeliveredError
            return await run()

        try:
            return await deliver(
                run_if_up,
                operation=operation,
                faults=self.faults,
                sleep=self.state.sleep,
                timeout_s=limit_s,
            )
        except NotDeliveredError:
            raise self.error(
                messages.TARGET_UNREACHABLE,
                Execution.NOT_RUN,
                detail="connection refused",
            ) from None
        except NoResponseError:
            raise self.error(
                messages.TARGET_TIMEOUT, Execution.MAY_HAVE_RUN, timeout_s=limit_s
            ) from None
        except TargetCrashedError:
            raise self.connection_lost() from None
        except RequestRefusedError as err:
            raise self.refused(str(err)) from None
        except msgspec.DecodeError as err:
            raise self.invalid(str(err)) from None

    def raise_if_refused(self, operation: str) -> None:
        """Raise `RequestRefusedError` if a REFUSED fault affects the call."""
        if self.faults.consume(FaultKind.REFUSED, operation):
            raise RequestRefusedError("refused by a fault switch")

    def check_response(
        self, operation: str, response: WholeResponse, request_id: str
    ) -> WholeResponse:
        """Apply response faults, then check that the request id matches."""
        if self.faults.consume(FaultKind.FAILED, operation):
            if operation == "call_service":
                return response._replace(status=500)
            raise self.error(
                messages.TARGET_FAILED, Execution.MAY_HAVE_RUN, detail="status 500"
            )
        if self.faults.consume(FaultKind.CROSSED, operation):
            response = response._replace(request_id=_FOREIGN_REQUEST_ID)
        if response.request_id != request_id:
            raise self.error(messages.ANSWER_MISMATCH, Execution.MAY_HAVE_RUN)
        return response

    def refused(self, detail: str) -> JaytrayError:
        """Return the error of a request that the target did not run."""
        return self.error(messages.TARGET_REFUSED, Execution.NOT_RUN, detail=detail)

    def invalid(self, detail: str) -> JaytrayError:
        """Return the error of a request that the target cannot read."""
        return self.error(messages.INVALID_REQUEST, Execution.NOT_RUN, detail=detail)

    def refuse(self, detail: str) -> None:
        """Raise the error of `refused`."""
        raise self.refused(detail)

    def connection_lost(self) -> JaytrayError:
        """Return the error of a connection that broke after the request was sent."""
        return self.error(
            messages.TARGET_UNREACHABLE,
            Execution.MAY_HAVE_RUN,
            detail="connection lost",
        )

    def incomplete(self, detail: str) -> JaytrayError:
        """Return the error of an incomplete stream."""
        return self.error(
            messages.ANSWER_INCOMPLETE, Execution.MAY_HAVE_RUN, detail=detail
        )

    def error(
        self,
        template: messages.MessageTemplate,
        execution: Execution,
        *,
        detail: str = "",
        timeout_s: float = 0.0,
    ) -> JaytrayError:
        """Return an error of this target."""
        return JaytrayError(
            template,
            step=Step.TARGET,
            peer=self.state.name,
            execution=execution,
            detail=detail,
            timeout_s=timeout_s,
        )


async def _whole_response(state: TargetState, request: InferRequest) -> WholeResponse:
    texts = [request.resume_text]
    async with aclosing(state.run(request, [])) as events:
        async for event in events:
            texts.append(event.text)
            if event.is_end:
                body = wire.whole_response(
                    request_id=request.request_id,
                    path=request.path,
                    model=request.model,
                    text="".join(texts),
                    end=event,
                )
                return WholeResponse(request.request_id, 200, _JSON_HEADERS, body)
    raise TargetCrashedError


async def _pieces(
    state: TargetState, request: InferRequest, link: _Link
) -> AsyncGenerator[StreamPiece, None]:
    faults = link.faults
    cut = faults.consume(FaultKind.CUT, "stream")
    stalled = faults.consume(FaultKind.STALLED, "stream")
    short = faults.consume(FaultKind.SHORT, "stream")
    is_crossed = faults.consume(FaultKind.CROSSED, "stream") is not None
    expected_index = request.resume_after_tokens
    pieces = 0
    try:
        async with aclosing(state.run(request, [])) as events:
            async for event in events:
                if cut and pieces >= cut.pieces:
                    raise link.incomplete("the stream has no end mark")
                if stalled and pieces >= stalled.pieces:
                    await state.sleep(link.timeout_s)
                    raise link.error(
                        messages.TARGET_TIMEOUT,
                        Execution.MAY_HAVE_RUN,
                        timeout_s=link.timeout_s,
                    )
                pieces += 1
                if _is_left_out(short, pieces):
                    continue
                if is_crossed:
                    raise link.error(messages.ANSWER_MISMATCH, Execution.MAY_HAVE_RUN)
                expected_index += 0 if event.is_end else 1
                if event.end_index != expected_index:
                    raise link.incomplete("a piece is missing")
                yield _piece(request, event)
                if event.is_end:
                    return
    except TargetCrashedError:
        raise link.connection_lost() from None
    except RequestRefusedError as err:
        raise link.refused(str(err)) from None
    except msgspec.DecodeError as err:
        raise link.invalid(str(err)) from None
    raise link.incomplete("the stream has no end mark")


async def _no_pieces() -> AsyncGenerator[StreamPiece, None]:
    pieces: list[StreamPiece] = []
    for piece in pieces:
        yield piece


def _is_left_out(short: Fault | None, pieces: int) -> bool:
    return short is not None and pieces == short.pieces


def _piece(request: InferRequest, event: TokenEvent) -> StreamPiece:
    data = wire.stream_event(
        request_id=request.request_id,
        path=request.path,
        model=request.model,
        event=event,
    )
    return StreamPiece(
        request.request_id,
        event.end_index,
        event.text,
        data,
        event.is_end,
        event.output_tokens,
        event.finish_reason,
    )
