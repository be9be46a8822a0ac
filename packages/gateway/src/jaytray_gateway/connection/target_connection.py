"""An HTTP connection to a target that carries one request at a time.

It uses h11 directly on an asyncio transport, because forwarding depends on whether any
byte may have been sent and whether bytes arrived that belong to no request; httpx
exposes neither. Received bytes are parsed in pieces, and other tasks run in between, so
that a target that sends without end does not hold up the whole process.
"""

import asyncio
import socket

import h11

from jaytray_core.addresses import parse_address
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_core.response_heads import head_fault
from jaytray_core.tcp_options import KeepAlive, set_keep_alive
from jaytray_gateway.ports import HeaderList

# A target whose side of a connection is silent for about 3 s is unreachable. Sound
# targets may be silent for more than a second.
KEEP_ALIVE = KeepAlive(idle_s=1, interval_s=1, probes=2)
# Received bytes that are buffered for a slow caller before reading pauses.
MAX_BUFFERED_BYTES = 262_144
# The same, and the size of the kernel's buffer, on VMs with a stated memory. The kernel
# would let it grow to several megabytes while reading is paused.
SMALL_BUFFER_BYTES = 65_536
# Parsed events, plus kilobytes given to the parser, before other tasks run: a few
# milliseconds of work for a stream of small chunks, 64 KB of a large body.
WORK_PER_TURN = 64
# Bytes that the parser is given at a time in a head, which bounds the size of one head,
# and in a body.
HEAD_PIECE_BYTES = 4_096
BODY_PIECE_BYTES = 16_384
_BYTES_PER_WORK = 1_024
MAX_INFORMATIONAL_RESPONSES = 10
# Larger bodies are not copied to be sent in one piece with the head.
MAX_JOINED_BYTES = 65_536
_PLACEHOLDER_HOST = [(b"host", b"-")]


class TargetConnection(asyncio.Protocol):
    """An open connection, created by `open_connection`."""

    def __init__(self, *, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        # Whether a response to another request may arrive, as one has before.
        self.has_other_responses = False
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        self._max_buffered_bytes = max_buffered_bytes
        self._http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._failure: str | None = None
        self._is_closed = False
        self._has_stray_bytes = False
        # Received bytes that have not been given to the parser yet, and whether the
        # parser has been told that the target closed its sending side.
        self._unparsed = bytearray()
        self._is_end_received = False
        self._is_end_parsed = False
        # Work since other tasks ran.
        self._work = 0
        self._data_waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable TCP keep-alive on the socket."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        connection = transport.get_extra_info("socket")
        set_keep_alive(connection, KEEP_ALIVE)
        if self._max_buffered_bytes < MAX_BUFFERED_BYTES:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._max_buffered_bytes
            )

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; bytes between requests close the connection."""
        if self._request is None:
            self._has_stray_bytes = True
            self.close()
            return
        self._unparsed += data
        if len(self._unparsed) > self._max_buffered_bytes and self.transport:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Record that the target has closed its sending side."""
        self._is_closed = True
        self._is_end_received = True
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record why the connection ended."""
        if exc is not None or not self._is_closed:
            self._failure = str(exc) if exc else "connection closed"
        self._is_closed = True
        self._wake()

    def is_usable(self, now_s: float, default_idle_s: float) -> bool:
        """Return whether this idle connection may carry another request."""
        limit_s = self.idle_timeout_s if self.idle_timeout_s else default_idle_s
        return not (
            self._is_closed
            or self._has_stray_bytes
            or now_s - self.idle_since_s > limit_s
        )

    def send(
        self, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> None:
        """Write a request; raises `ExchangeError` if the connection is closed."""
        if self._is_closed or self.transport is None:
            raise ExchangeError(
                progress=ExchangeProgress.NOT_SENT,
                detail="connection closed while idle",
            )
        self._request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(self._request) or b""]
        if body:
            sent = self._http.send_with_data_passthrough(h11.Data(data=body))
            parts.extend(sent or ())
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        if len(body) > MAX_JOINED_BYTES:
            for part in parts:
                self.transport.write(part)
        else:
            self.transport.write(b"".join(parts))

    async def next_event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """Return the next event of the response; raises `ExchangeError`."""
        informational = 0
        while True:
            if self._work >= WORK_PER_TURN:
                await asyncio.sleep(0)
                self._work = 0
            self._work += 1
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as err:
                raise ExchangeError(
                    progress=ExchangeProgress.BROKEN, detail=str(err)
                ) from err
            if isinstance(event, h11.Response):
                _check_head(event)
            if isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_RESPONSES:
                    raise ExchangeError(
                        progress=ExchangeProgress.BROKEN,
                        detail="too many informational responses",
                    )
                continue
            if event is h11.NEED_DATA and self._parse_next_piece():
                continue
            if self._failure is not None or event is not h11.NEED_DATA:
                detail = self._failure or "connection closed before the response ended"
                raise ExchangeError(progress=ExchangeProgress.BROKEN, detail=detail)
            await self._wait_for_data()

    def skip_foreign_response(self) -> bool:
        """Continue with the next response after one to another request.

        Must be called when that response has been read to its end. Returns False if
        the connection cannot continue.
        """
        if self._http.their_state is not h11.DONE or self._request is None:
            return False
        self.has_other_responses = True
        following, is_ended = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        # Of the request, only the method affects how the next response is framed.
        placeholder = h11.Request(
            method=self._request.method, target=b"/", headers=_PLACEHOLDER_HOST
        )
        self._http.send(placeholder)
        self._http.send(h11.EndOfMessage())
        if following:
            self._http.receive_data(following)
        if is_ended:
            self._http.receive_data(b"")
        return True

    def finish(self, now_s: float) -> bool:
        """End a complete exchange; returns False if the connection is not reusable."""
        is_reusable = (
            not self._is_closed
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and self._http.trailing_data == (b"", False)
            and not self._unparsed
            and self.transport is not None
            and self.transport.get_write_buffer_size() == 0
        )
        if not is_reusable:
            self.close()
            return False
        self._http.start_next_cycle()
        self._request = None
        self.has_other_responses = True
        self.idle_since_s = now_s
        return True

    def close(self) -> None:
        """Close immediately and discard bytes that were received but not read."""
        self._is_closed = True
        if self.transport is not None:
            self.transport.abort()

    def _parse_next_piece(self) -> bool:
        """Give the parser the next piece; returns False if nothing is left."""
        if not self._unparsed:
            if self._is_end_parsed or not self._is_end_received:
                return False
            self._is_end_parsed = True
            self._http.receive_data(b"")
            return True
        is_body = self._http.their_state is h11.SEND_BODY
        size = BODY_PIECE_BYTES if is_body else HEAD_PIECE_BYTES
        piece = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        self._work += len(piece) // _BYTES_PER_WORK
        self._http.receive_data(piece)
        return True

    async def _wait_for_data(self) -> None:
        if self.transport is not None and not self._is_closed:
            self.transport.resume_reading()
        self._work = 0
        self._data_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._data_waiter
        finally:
            self._data_waiter = None

    def _wake(self) -> None:
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)


def _check_head(head: h11.Response) -> None:
    """Raise `ExchangeError` if the head is not valid HTTP."""
    names = {name for name, _ in head.headers}
    fault = head_fault(head.status_code, head.http_version, names)
    if fault is not None:
        raise ExchangeError(progress=ExchangeProgress.BROKEN, detail=fault)


async def open_connection(
    address: str, *, timeout_s: float, max_buffered_bytes: int = MAX_BUFFERED_BYTES
) -> TargetConnection:
    """Connect to `IP:port`; raises `ExchangeError` with `Progress.NOT_SENT`."""
    host, port = parse_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(max_buffered_bytes=max_buffered_bytes),
                host,
                port,
            )
    except (OSError, TimeoutError) as err:
        detail = str(err) or "connection timed out"
        raise ExchangeError(progress=ExchangeProgress.NOT_SENT, detail=detail) from err
    return connection
