"""One HTTP exchange with a target: sends the request, reads the head and the body."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import h11

from jaytray_core.clock import MonotonicClock
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_core.logs import get_logger
from jaytray_gateway.connection.target_connection import TargetConnection
from jaytray_gateway.connection.target_pool import (
    CONNECT_TIMEOUT_S,
    TargetConnectionPool,
)
from jaytray_gateway.ports import Dispatch, HeaderList, PlatformAdapter, ResponseHead
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.request.routed_request import RoutedRequest

MakeDispatch = Callable[[], Dispatch]

# Responses to other requests that one exchange skips before it gives up.
MAX_FOREIGN_RESPONSES = 2
# Largest body of a response that is not a stream; it is buffered completely before it
# is passed on.
MAX_WHOLE_BODY_BYTES = 8_388_608
# A response that is not used is read to its end, to keep the connection, only if it is
# small and comes at once.
MAX_UNUSED_BODY_BYTES = 65_536
UNUSED_BODY_TIMEOUT_S = 0.25


_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class TargetExchange:
    """A request that has been sent and its response as far as it has been read."""

    def __init__(
        self,
        *,
        connection: TargetConnection,
        request: RoutedRequest,
        pools: TargetConnectionPool,
        adapter: PlatformAdapter,
        clock: MonotonicClock,
        peer_kind: str = "target",
    ) -> None:
        self.is_complete = False
        # Whether the body has no length and no chunks, and ends with the connection.
        self.ends_with_connection = False
        self.head: ResponseHead | None = None
        self._connection = connection
        self._pools = pools
        self._request = request
        self._adapter = adapter
        self._clock = clock
        # Who responds, for errors.
        self._peer_kind = peer_kind

    async def read_any_head(self, until_s: float) -> h11.Response:
        """Return the next response head as it is; raises `ExchangeError`."""
        event = await self._next_event(until_s)
        if not isinstance(event, h11.Response):
            raise ExchangeError(
                progress=ExchangeProgress.BROKEN, detail="response has no head"
            )
        return event

    async def read_head(self, until_s: float) -> ResponseHead:
        """Return the head of the response to this request; raises `ExchangeError`."""
        for _ in range(MAX_FOREIGN_RESPONSES + 1):
            event = await self.read_any_head(until_s)
            headers: HeaderList = list(event.headers)
            head = self._adapter.read_response_head(event.status_code, headers)
            if not head.request_id and self._connection.has_other_responses:
                raise ExchangeError(
                    progress=ExchangeProgress.BROKEN,
                    detail="response may belong to an earlier request",
                )
            if head.request_id in ("", self._request.request_id):
                self.head = head
                names = {name for name, _ in headers}
                self.ends_with_connection = names.isdisjoint(_FRAMING_HEADERS)
                return head
            await self._skip_body(until_s)
            if not self._connection.skip_foreign_response():
                break
        raise ExchangeError(
            progress=ExchangeProgress.BROKEN,
            detail="response belongs to another request",
        )

    async def read_chunk(self, until_s: float) -> bytes | None:
        """Return the next chunk of the body, or None at its end."""
        event = await self._next_event(until_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise ExchangeError(
                progress=ExchangeProgress.BROKEN,
                detail="second response head in the body",
            )
        self.is_complete = True
        return None

    async def read_body(self, until_s: float) -> bytes:
        """Return the whole body."""
        body = bytearray()
        try:
            while (chunk := await self.read_chunk(until_s)) is not None:
                body += chunk
                self._pools.buffered_body_bytes += len(chunk)
                if (
                    len(body) > MAX_WHOLE_BODY_BYTES
                    or self._pools.buffered_body_bytes
                    > self._pools.max_buffered_body_bytes
                ):
                    raise _too_large()
        finally:
            self._pools.buffered_body_bytes -= len(body)
        return bytes(body)

    async def discard_body(self) -> None:
        """Read the rest of a response that is not used, if it is short.

        Otherwise the exchange stays incomplete, and its connection is closed.
        """
        try:
            await self._skip_body(self._clock() + UNUSED_BODY_TIMEOUT_S)
        except ExchangeError as err:
            get_logger().debug("unused_body_not_read", detail=err.detail)
        else:
            self.is_complete = True

    async def _skip_body(self, until_s: float) -> None:
        size = 0
        while not isinstance(
            event := await self._next_event(until_s), h11.EndOfMessage
        ):
            size += len(event.data) if isinstance(event, h11.Data) else 0
            if size > MAX_UNUSED_BODY_BYTES:
                raise _too_large()

    async def _next_event(
        self, until_s: float
    ) -> h11.Response | h11.Data | h11.EndOfMessage:
        left_s = until_s - self._clock()
        if left_s <= 0:
            raise ExchangeError(
                progress=ExchangeProgress.TIMED_OUT,
                detail="time limit expired before reading",
            )
        try:
            async with asyncio.timeout(left_s):
                return await self._connection.next_event()
        except TimeoutError as err:
            raise ExchangeError(
                progress=ExchangeProgress.TIMED_OUT,
                detail=f"{self._peer_kind} sent nothing in time",
            ) from err


@asynccontextmanager
async def exchange_with(
    target: TargetEntry,
    *,
    request: RoutedRequest,
    make_dispatch: MakeDispatch,
    until_s: float,
    pools: TargetConnectionPool,
    adapter: PlatformAdapter,
    clock: MonotonicClock,
) -> AsyncIterator[TargetExchange]:
    """Send `request` to `target` and yield the exchange.

    `make_dispatch` is called when the connection is open, immediately before the
    request is written, and may raise. A connection is awaited until `until_s` at most.
    It returns to the pool only after a complete exchange.
    """
    connection = await pools.acquire(
        target.target_id,
        target.address,
        timeout_s=min(CONNECT_TIMEOUT_S, until_s - clock()),
    )
    exchange = TargetExchange(
        connection=connection,
        request=request,
        pools=pools,
        adapter=adapter,
        clock=clock,
    )
    try:
        headers = adapter.render_dispatch(request, make_dispatch())
        connection.send(request.method, request.request_target, headers, request.body)
        yield exchange
    finally:
        if exchange.is_complete and exchange.head is not None:
            pools.release(
                target.target_id,
                target.address,
                connection,
                exchange.head.idle_timeout_s,
            )
        else:
            connection.close()


def _too_large() -> ExchangeError:
    return ExchangeError(
        progress=ExchangeProgress.BROKEN, detail="response body is too large"
    )
