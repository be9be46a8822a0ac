"""HTTP/1.1 for callers, stricter than uvicorn's own protocol class.

A request with both framing headers is refused, and nothing after it is read. The
connection is closed if a header is not completed in time or if it stays idle. Bytes
that are not HTTP get a JSON refusal like that of any other request. While a request
runs, its connection is read on, so that its caller is seen to leave.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol, RequestResponseCycle

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.peer_close import is_closed_by_peer
from jaytray_core.refusal_body import encode_refusal
from jaytray_server.connection.read_ahead import ReadAhead

# Key in the state of the ASGI scope for the connection of a request.
CONNECTION_STATE = "caller_connection"
# Retry-After of a request for which there is no memory.
MEMORY_RETRY_AFTER_S = 0.5
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class CallerTimeouts(NamedTuple):
    """Timeouts of callers' connections, in seconds.

    `header_s` runs from the first byte of a header to its end; `idle_s` from the end of
    a response, or from the start of the connection, to the first byte of a request.
    """

    header_s: float
    idle_s: float


def refuse_conflicting_framing(app: Any) -> Any:
    """Return `app` wrapped to refuse requests with both framing headers."""

    async def guarded(scope: Any, receive: Any, send: Any) -> None:
        names = {name for name, _ in scope.get("headers", ())}
        if names.issuperset(_FRAMING_HEADERS):
            detail = "both Content-Length and Transfer-Encoding are given"
            await _send_refusal(_malformed_error(detail), send)
        else:
            await app(scope, receive, send)

    return guarded


class _BodyFlow(FlowControl):
    """Flow control that does not stop reading behind a running request."""

    def __init__(
        self, transport: asyncio.Transport, is_running: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._is_running = is_running

    def pause_reading(self) -> None:
        """Stop reading a body that the application does not take."""
        if not self._is_running():
            super().pause_reading()


class CallerProtocol(H11Protocol):
    """One caller's connection; its timeouts are read once, when it begins."""

    def __init__(
        self, *, current_timeouts: Callable[[], CallerTimeouts], **options: Any
    ) -> None:
        super().__init__(**options)
        self.app_state = {**self.app_state, CONNECTION_STATE: self}
        timeouts = current_timeouts()
        self._header_timeout_s = timeouts.header_s
        # uvicorn declares an int but only passes it to `call_later`: a float works.
        self.timeout_keep_alive = timeouts.idle_s  # type: ignore[assignment]
        self._header_timer: asyncio.TimerHandle | None = None
        self.read_ahead = ReadAhead(on_dropping=self._limit_reading)
        # Bytes behind a running request that the parser has not been given.
        self._ahead = bytearray()

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the idle timer, which closes the connection if no request arrives."""
        super().connection_made(transport)
        self.flow = _BodyFlow(transport, self.is_running)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def is_running(self) -> bool:
        """Return whether a complete request has not been responded to."""
        return self.conn.their_state in (h11.DONE, h11.MUST_CLOSE)

    def end_if_caller_left(self) -> bool:
        """Return whether the caller has closed the connection, also if not yet seen.

        The connection is ended then, so that its request is told in the next turn.
        """
        if self.transport.is_closing():
            return True
        if is_closed_by_peer(self.transport.get_extra_info("socket")):
            self.transport.abort()
            return True
        return False

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection unless a response to a pipelined request is pending."""
        if self.conn.our_state not in (h11.SEND_RESPONSE, h11.SEND_BODY):
            super().timeout_keep_alive_handler()

    def data_received(self, data: bytes) -> None:
        """Process received bytes and run the timer of an incomplete header."""
        if self.is_running():
            self.read_ahead.keep(self._ahead, memoryview(data))
            self._limit_reading()
            return
        super().data_received(data)
        is_header_begun = (
            self.conn.their_state is h11.IDLE and self.conn.trailing_data[0] != b""
        )
        if is_header_begun and self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self._header_timeout_s, self.transport.close
            )
        elif not is_header_begun:
            self._stop_header_timer()

    def on_response_complete(self) -> None:
        """Go on with the next request, of which a part may have arrived."""
        self.read_ahead.end()
        super().on_response_complete()
        if not self.transport.is_closing():
            self._read_next()

    def _read_next(self) -> None:
        """Process what arrived behind the request that has been responded to."""
        if not self.is_running():
            self.transport.resume_reading()
            ahead = bytes(self._ahead)
            self._ahead.clear()
            if ahead:
                self.data_received(ahead)
        if self.is_running():
            self._limit_reading()
        elif self.read_ahead.has_dropped:
            self.refuse_for_memory()

    def _may_read_ahead(self, kept: bytearray) -> bool:
        """Return whether to read on behind the running request, with `kept` so far."""
        if kept and self.conn.their_state is h11.MUST_CLOSE:
            self.read_ahead.drop(kept)
        return self.read_ahead.may_read(len(kept))

    def _limit_reading(self) -> None:
        """Read on behind a running request as far as its bytes may be kept."""
        if self._may_read_ahead(self._ahead):
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def eof_received(self) -> None:
        """End the connection at once if its request still runs: the caller has left.

        Closing it would wait until the caller has read what was already sent.
        """
        if self._open_cycle() is not None and not self.transport.is_closing():
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timer of a closed connection."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def send_400_response(self, msg: str) -> None:
        """Send a JSON refusal for bytes that are not valid HTTP, and close."""
        error = _malformed_error(msg)
        if self.conn.our_state is h11.IDLE:
            self._send_refusal(error)
        self.transport.close()

    def refuse(self, error: JaytrayError) -> None:
        """Refuse the request that is being received, and close.

        The application has not been given all of it, and is told that its caller left.
        """
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send_refusal(error)
        cycle = self._open_cycle()
        if cycle is not None:
            cycle.disconnected = True
            cycle.body = bytearray()
            cycle.message_event.set()
        self.flow.resume_writing()
        self.transport.close()

    def refuse_for_memory(self) -> None:
        """Refuse the request that is being received, as it cannot be held."""
        self.refuse(memory_full_error())

    def _open_cycle(self) -> RequestResponseCycle | None:
        """Return the request that the application has and has not responded to."""
        # uvicorn does not declare that there is none before the first request.
        cycle: RequestResponseCycle | None = self.cycle
        return cycle if cycle is not None and not cycle.response_complete else None

    def _send_refusal(self, error: JaytrayError) -> None:
        body = encode_refusal(error)
        headers = _closing_headers(body)
        if error.retry_after_s:
            headers.append((b"retry-after", b"%.2f" % error.retry_after_s))
        for event in (
            h11.Response(status_code=error.status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ):
            self.transport.write(self.conn.send(event) or b"")

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


def memory_full_error() -> JaytrayError:
    """Return the error for a request for which there is no memory."""
    return JaytrayError(
        messages.MEMORY_FULL, step=Step.ADMIT, retry_after_s=MEMORY_RETRY_AFTER_S
    )


def _malformed_error(detail: str) -> JaytrayError:
    return JaytrayError(messages.MALFORMED_MESSAGE, step=Step.DECODE, detail=detail)


def _closing_headers(body: bytes) -> list[tuple[bytes, bytes]]:
    return [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]


async def _send_refusal(error: JaytrayError, send: Any) -> None:
    body = encode_refusal(error)
    await send(
        {
            "type": "http.response.start",
            "status": error.status,
            "headers": _closing_headers(body),
        }
    )
    await send({"type": "http.response.body", "body": body})
