"""Client of model engines and plain services over HTTP.

The `X-Request-Id` of every response is compared with that of its request before the
body is read. The `execution` of an error is `not_run` only if no connection was made,
or if the response is marked `X-Execution: not_run`.
"""

import asyncio
import re
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager, suppress
from typing import NamedTuple, TypeVar

import httpx

from jaytray_core.adapters.event_stream import (
    EventSplitter,
    PieceChecker,
    ResponseMismatchError,
    StreamFormatError,
)
from jaytray_core.adapters.http_pool import (
    DEFAULT_CONNECT_TIMEOUT_S,
    DEFAULT_IDLE_EXPIRY_S,
    HttpPool,
    HttpRequest,
    read_body,
)
from jaytray_core.adapters.remote_call import (
    EXECUTION_HEADER,
    NOT_RUN,
    RemoteResponse,
    fetch_response,
)
from jaytray_core.adapters.target_errors import TargetErrorFactory
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import JaytrayError
from jaytray_core.exchange_errors import ExchangeError
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

T = TypeVar("T")
REQUEST_ID_HEADER = "x-request-id"
_JSON_TYPE = ("content-type", "application/json")
_MAX_RESPONSE_BYTES = 64_000_000
_ERROR_BODY_BYTES = 65_536
_BODY_END_TIMEOUT_S = 0.05
_VISIBLE_ASCII = re.compile(r"[\x21-\x7e]*")
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_DROPPED_REQUEST_HEADERS = _HOP_BY_HOP_HEADERS | {
    "authorization",
    "content-length",
    "cookie",
    "expect",
    "host",
    "proxy-authorization",
    "x-api-key",
    REQUEST_ID_HEADER,
}
_DROPPED_RESPONSE_HEADERS = _HOP_BY_HOP_HEADERS | {
    "content-length",
    "date",
    "server",
    REQUEST_ID_HEADER,
}


class TargetTimeouts(NamedTuple):
    """Timeouts in seconds.

    `response_s` limits a complete response, `piece_s` each wait for data of a stream,
    `control_s` an order, a report or a cancellation. An idle connection is closed
    after `idle_s`.
    """

    connect_s: float = DEFAULT_CONNECT_TIMEOUT_S
    response_s: float = 120.0
    piece_s: float = 15.0
    control_s: float = 2.0
    idle_s: float = DEFAULT_IDLE_EXPIRY_S


_DEFAULT_TIMEOUTS = TargetTimeouts()


def connect_target(
    *, name: str, address: str, timeouts: TargetTimeouts = _DEFAULT_TIMEOUTS
) -> TargetConnection:
    """Return the connection pool of the target or service at `IP:port`.

    Connections are opened on demand.
    """
    pool = HttpPool(
        address=address,
        connect_timeout_s=timeouts.connect_s,
        idle_expiry_s=timeouts.idle_s,
    )
    client = _TargetClient(name=name, pool=pool, timeouts=timeouts)
    return TargetConnection(
        target=name,
        infer=client.infer,
        stream=client.stream,
        call_service=client.call_service,
        cancel=client.cancel,
        order=client.order,
        load_report=client.load_report,
        cache_events=client.cache_events,
        close=pool.close,
    )


class _TargetClient:
    """Implements the functions of one `TargetConnection`."""

    def __init__(self, *, name: str, pool: HttpPool, timeouts: TargetTimeouts) -> None:
        self._name = name
        self._errors = TargetErrorFactory(name=name)
        self._pool = pool
        self._timeouts = timeouts

    async def infer(self, request: InferRequest) -> WholeResponse:
        """Return the complete response to a request; see `InferFunction`."""
        sent = self._infer_request(request, is_stream=False)
        try:
            async with asyncio.timeout(self._timeouts.response_s):
                async with self._pool.exchange(sent) as response:
                    self._check_request_id(response, request.request_id)
                    await self._check_status(response)
                    body = await read_body(response, limit_bytes=_MAX_RESPONSE_BYTES)
        except ExchangeError as err:
            raise self._errors.for_exchange_error(
                err, self._timeouts.response_s
            ) from err
        except TimeoutError as err:
            self._pool.drop_idle_connections()
            raise self._errors.for_timeout(self._timeouts.response_s) from err
        return _whole_response(request.request_id, response, body)

    @asynccontextmanager
    async def stream(
        self, request: InferRequest
    ) -> AsyncIterator[AsyncIterator[StreamPiece]]:
        """Yield an iterator of a streamed response's pieces; see `StreamFunction`."""
        sent = self._infer_request(request, is_stream=True)
        try:
            async with self._pool.exchange(sent) as response:
                self._check_request_id(response, request.request_id)
                await self._check_status(response)
                async with aclosing(self._decode_pieces(response, request)) as pieces:
                    yield pieces
        except ExchangeError as err:
            raise self._errors.for_exchange_error(err, self._timeouts.piece_s) from err

    async def call_service(self, call: ServiceCall) -> WholeResponse:
        """Return the complete response of a plain service, also with an error status.

        Raises for a response that is marked as not run.
        """
        sent = self._service_request(call)
        try:
            async with asyncio.timeout(call.timeout_s):
                async with self._pool.exchange(sent) as response:
                    self._check_request_id(response, call.request_id)
                    if _is_marked_not_run(response):
                        await self._check_status(response)
                    body = await read_body(response, limit_bytes=_MAX_RESPONSE_BYTES)
        except ExchangeError as err:
            raise self._errors.for_exchange_error(err, call.timeout_s) from err
        except TimeoutError as err:
            self._pool.drop_idle_connections()
            raise self._errors.for_timeout(call.timeout_s) from err
        return _whole_response(call.request_id, response, body)

    async def cancel(self, request_id: str) -> None:
        """Ask the target to stop producing a response."""
        await self._control_call("POST", f"/cancel/{request_id}", b"")

    async def order(self, order: Order) -> OrderReply:
        """Send an order and return the target's reply."""
        response = await self._control_call("POST", "/orders", encode_json(order))
        try:
            reply = self._decode(response.body, OrderReply)
        except JaytrayError as err:
            raise self._errors.for_incomplete_response(err.text) from err
        if reply.order_id != order.order_id:
            raise self._errors.for_response_mismatch()
        return reply

    async def load_report(self) -> LoadReport:
        """Return the target's latest load report."""
        response = await self._control_call("GET", "/load", b"")
        return self._decode(response.body, LoadReport)

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number."""
        response = await self._control_call("GET", f"/cache-events?after={after}", b"")
        return self._decode(response.body, list[CacheEvent])

    async def _control_call(
        self, method: str, path: str, body: bytes
    ) -> RemoteResponse:
        timeout_s = self._timeouts.control_s
        headers = [_JSON_TYPE] if body else []
        try:
            async with asyncio.timeout(timeout_s):
                response = await fetch_response(
                    self._pool, HttpRequest(method, path, headers, body, timeout_s)
                )
        except ExchangeError as err:
            raise self._errors.for_exchange_error(err, timeout_s) from err
        except TimeoutError as err:
            self._pool.drop_idle_connections()
            raise self._errors.for_timeout(timeout_s) from err
        if response.status >= 300:
            raise self._errors.for_status(
                response.status, response.is_not_run, response.body
            )
        return response

    async def _decode_pieces(
        self, response: httpx.Response, request: InferRequest
    ) -> AsyncGenerator[StreamPiece, None]:
        splitter = EventSplitter()
        checker = PieceChecker(
            request_id=request.request_id,
            resume_after_tokens=request.resume_after_tokens,
        )
        chunks = response.aiter_raw()
        try:
            async for chunk in chunks:
                for data in splitter.feed(chunk):
                    piece = checker.accept(data)
                    if piece is not None:
                        yield piece
                if checker.is_finished:
                    await _read_to_end(chunks)
                    return
            checker.finish()
        except ResponseMismatchError as err:
            raise self._errors.for_response_mismatch() from err
        except StreamFormatError as err:
            raise self._errors.for_incomplete_response(str(err)) from err
        except httpx.TimeoutException:
            raise
        except httpx.TransportError as err:
            raise self._errors.for_incomplete_response(
                str(err) or type(err).__name__
            ) from err

    def _infer_request(self, request: InferRequest, *, is_stream: bool) -> HttpRequest:
        headers = [
            _JSON_TYPE,
            (REQUEST_ID_HEADER, request.request_id),
            ("x-deadline-ms", str(int(request.deadline_s * 1000))),
        ]
        body = self._extend_body(request, is_stream=is_stream)
        timeouts = self._timeouts
        read_timeout_s = timeouts.piece_s if is_stream else timeouts.response_s
        return HttpRequest("POST", request.path, headers, body, read_timeout_s)

    def _extend_body(self, request: InferRequest, *, is_stream: bool) -> bytes:
        """Append the extension fields; decoders use the last of duplicate names."""
        body = request.body.strip()
        if not (body.startswith(b"{") and body.endswith(b"}")):
            raise self._errors.for_invalid_request("the body must be a JSON object")
        extension = encode_json(
            {
                "stream": is_stream,
                "priority": request.priority,
                "resume_after_tokens": request.resume_after_tokens,
                "resume_text": request.resume_text,
            }
        )
        fields = body[1:-1].strip()
        return b"{" + (fields + b"," if fields else b"") + extension[1:]

    def _service_request(self, call: ServiceCall) -> HttpRequest:
        raw_path = f"{call.path}?{call.query}" if call.query else call.path
        if not (raw_path.startswith("/") and _VISIBLE_ASCII.fullmatch(raw_path)):
            raise self._errors.for_invalid_request("the path must be percent-encoded")
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in _DROPPED_REQUEST_HEADERS
        ]
        headers.append((REQUEST_ID_HEADER, call.request_id))
        return HttpRequest(call.method, raw_path, headers, call.body, call.timeout_s)

    def _check_request_id(self, response: httpx.Response, request_id: str) -> None:
        if response.headers.get(REQUEST_ID_HEADER) != request_id:
            raise self._errors.for_response_mismatch()

    async def _check_status(self, response: httpx.Response) -> None:
        if response.status_code < 300:
            return
        body = await read_body(response, limit_bytes=_ERROR_BODY_BYTES)
        raise self._errors.for_status(
            response.status_code, _is_marked_not_run(response), body
        )

    def _decode(self, body: bytes, message_type: type[T]) -> T:
        return decode_json(body, message_type, peer=self._name)


def _whole_response(
    request_id: str, response: httpx.Response, body: bytes
) -> WholeResponse:
    headers = [
        (name, value)
        for name, value in response.headers.multi_items()
        if name.lower() not in _DROPPED_RESPONSE_HEADERS
    ]
    return WholeResponse(request_id, response.status_code, headers, body)


async def _read_to_end(chunks: AsyncIterator[bytes]) -> None:
    """Read the end of the body, so that the connection can be reused.

    If more data or no end arrives, the connection is closed when the exchange ends.
    """
    with suppress(TimeoutError, httpx.TransportError):
        async with asyncio.timeout(_BODY_END_TIMEOUT_S):
            await anext(chunks, None)


def _is_marked_not_run(response: httpx.Response) -> bool:
    return bool(response.headers.get(EXECUTION_HEADER) == NOT_RUN)
