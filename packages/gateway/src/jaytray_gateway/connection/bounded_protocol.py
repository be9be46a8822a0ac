"""HTTP/1.1 for callers that may misbehave: bounds what is held for each connection.

Heads are checked before they are parsed. Received bytes are parsed in pieces, and other
tasks run in between. A request is not parsed before the response to the one before it
is written, and a response that is not read ends its connection after a while.
"""

import asyncio
import re
import time
from typing import Any

import h11

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_gateway.connection.caller_bounds import (
    PARSE_S,
    READ_BYTES,
    CallerBounds,
)
from jaytray_gateway.connection.caller_transport import CallerTransport
from jaytray_gateway.connection.paced_flow import PacedFlow
from jaytray_gateway.process.memory_budget import PROGRESS_BYTES, Stage
from jaytray_server.connection.caller_protocol import (
    CONNECTION_STATE,
    CallerProtocol,
    memory_full_error,
)

# Unparsed bytes with which reading pauses.
MAX_UNPARSED_BYTES = 16_384
# Sizes of pieces that are parsed at once: of bodies with a length, and of chunked ones,
# where each byte may be a chunk.
PIECE_BYTES = 65_536
CHUNKED_PIECE_BYTES = 2_048
# Bytes of a head that do not count towards the limit of the configuration, which does
# not include the method and the separators.
HEAD_SLACK_BYTES = 1_024
# More than any browser, client library or proxy sends.
MAX_HEAD_FIELDS = 128
# Memory of a connection without requests, of one parsed field, and of the copies of a
# body that exist at the same time: that of the request, and that being sent.
CONNECTION_BYTES = 8_192
FIELD_BYTES = 400
BODY_COPIES = 2
# A body has to arrive at this rate, after a time that allows for pauses.
MIN_BODY_RATE = 512
BODY_RATE_FROM_S = 10.0
# A response of which nothing was read for this time ends its connection.
MAX_UNREAD_S = 10.0
# Received bytes of a response that wait for a caller who does not read: those buffered
# in this process and in the kernel, and those that one read adds.
UNREAD_RESPONSE_BYTES = 196_608

_HEAD_END = re.compile(rb"\n\r?\n")
_FIRST_PRINTABLE = 0x21


def check_memory(scope: Any) -> None:
    """Raise if there is no memory to hold a complete request until its response.

    `scope` is that of an ASGI application; its connection may be without bounds.
    """
    connection = scope.get("state", {}).get(CONNECTION_STATE)
    is_bounded = isinstance(connection, BoundedCallerProtocol)
    if is_bounded and not connection.may_run():
        raise memory_full_error()


class BoundedCallerProtocol(CallerProtocol, asyncio.BufferedProtocol):
    """One caller's connection within the bounds of its process."""

    transport: CallerTransport

    def __init__(self, *, bounds: CallerBounds, **options: Any) -> None:
        super().__init__(**options)
        self._bounds = bounds
        self._unparsed = bytearray()
        self._searched = 0
        self._head_cost = 0
        self._body_bytes = 0
        self._progress_bytes = 0
        self._request_at_s = 0.0
        self._delivered_bytes = 0
        self._delivered_at_s = bounds.clock()
        self._is_receiving_paused = False
        self._parsing: asyncio.Handle | None = None
        self._waits_for_turn = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Count the connection, and close others or this one if there are too many."""
        wrapped = CallerTransport(
            transport=transport, still_receives=self._still_receives
        )
        super().connection_made(wrapped)
        self.flow = PacedFlow(wrapped, self._parse_soon)
        self._bounds.connections.add(self)
        address = self.client[0] if self.client else ""
        self._holding = self._bounds.budget.open(
            address,
            close=self._close_for_others,
            has_waiting_bytes=wrapped.has_waiting_bytes,
        )
        self._update(has_progressed=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what was held."""
        self._bounds.connections.discard(self)
        self._bounds.budget.release(self._holding)
        self.read_ahead.end()
        self._unparsed.clear()
        if self._parsing is not None:
            self._parsing.cancel()
        super().connection_lost(exc)
        self.transport.stop_timer()

    @property
    def is_lingering(self) -> bool:
        """Return whether it is only open to deliver a refusal."""
        return self.transport.is_lingering

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for received bytes."""
        return self._bounds.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes, and parse them as far as they are wanted."""
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        self.read_ahead.keep(self._unparsed, self._bounds.read_buffer[:nbytes])
        self._parse()

    def parse_turn(self) -> None:
        """Parse further bytes, of which many need much time."""
        self._waits_for_turn = False
        self._parse()

    def may_run(self) -> bool:
        """Return whether there is memory to hold the request until its response."""
        self._update()
        return self._bounds.budget.may_run(self._holding)

    def on_response_complete(self) -> None:
        """Go on with the next request, of which a part may have arrived."""
        if self.conn.their_state is h11.DONE:
            self._head_cost = self._body_bytes = 0
        if self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE:
            # h11 would parse the next head as it is: it has to be checked before.
            self._take_back_next_head()
        super().on_response_complete()
        if self.transport.is_closing():
            self._head_cost = self._body_bytes = 0
            self._unparsed.clear()
            self._update()

    def _read_next(self) -> None:
        if self._unparsed:
            self._parse_soon()
        else:
            self._after_parsing()

    def check_progress(self) -> None:
        """Close the connection if a body or the reading of a response stands still."""
        now_s = self._bounds.clock()
        delivered = self.transport.delivered_bytes
        if delivered != self._delivered_bytes or not self._unread_bytes():
            self._delivered_bytes = delivered
            self._delivered_at_s = now_s
            self._update(has_progressed=self._unread_bytes() > 0)
        elif now_s - self._delivered_at_s > MAX_UNREAD_S:
            self.transport.abort()
        else:
            self._update()
        late_s = now_s - self._request_at_s - BODY_RATE_FROM_S
        if (
            self.conn.their_state is h11.SEND_BODY
            and not self.transport.is_closing()
            and self._body_bytes < late_s * MIN_BODY_RATE
        ):
            error = JaytrayError(
                messages.BODY_TIMEOUT, step=Step.DECODE, timeout_s=BODY_RATE_FROM_S
            )
            self.refuse(error)

    def _take_back_next_head(self) -> None:
        """Take bytes of the next request back from the parser, with a new parser."""
        following, _ = self.conn.trailing_data
        if following:
            self._unparsed[:0] = following
            self._searched = 0
            self.conn = h11.Connection(h11.SERVER, MAX_UNPARSED_BYTES)

    def _still_receives(self) -> bool:
        is_received = self.conn.their_state in (h11.SEND_BODY, h11.ERROR)
        has_more = is_received or self._unparsed or self.read_ahead.has_dropped
        return bool(has_more) and self._bounds.may_linger()

    def _may_read(self) -> bool:
        if not self.is_running():
            return not (
                self._waits_for_turn or len(self._unparsed) > MAX_UNPARSED_BYTES
            )
        return self._may_read_ahead(self._unparsed)

    def _limit_reading(self) -> None:
        self._after_parsing()

    def _lacks_dropped_bytes(self) -> bool:
        """Return whether a request cannot be complete, as a part of it was dropped."""
        if not self.read_ahead.has_dropped or self._waits_for_turn:
            return False
        state = self.conn.their_state
        return state is h11.IDLE or (state is h11.SEND_BODY and not self._unparsed)

    def _unread_bytes(self) -> int:
        return self.transport.get_write_buffer_size()

    def _parse_soon(self) -> None:
        if self._parsing is None:
            self._parsing = self.loop.call_soon(self._parse)

    def _parse(self) -> None:
        """Parse pieces until nothing is wanted or the time is over."""
        if self._parsing is not None:
            self._parsing.cancel()
            self._parsing = None
        ends_s = time.thread_time() + PARSE_S
        while (
            self._unparsed
            and not self._waits_for_turn
            and not self.transport.is_closing()
        ):
            if self.conn.their_state is h11.IDLE:
                if not self._parse_head():
                    break
            elif self.conn.their_state is h11.SEND_BODY and not self.flow.read_paused:
                self._parse_body_piece()
            else:
                break
            if self._unparsed and time.thread_time() > ends_s:
                self._waits_for_turn = True
                self._bounds.parse_in_turn(self)
        self._after_parsing()

    def _parse_head(self) -> bool:
        """Parse the next head if it is complete; refuse it if it is too large."""
        self._take_back_next_head()
        end = _HEAD_END.search(self._unparsed, self._searched)
        size = end.end() if end else len(self._unparsed)
        fields = self._unparsed.count(b"\n", 0, size) - (2 if end else 1)
        is_text = self._unparsed[0] >= _FIRST_PRINTABLE
        limit = self._bounds.header_bytes()
        if size > limit + HEAD_SLACK_BYTES or fields > MAX_HEAD_FIELDS:
            self.refuse(
                JaytrayError(
                    messages.HEADERS_TOO_LARGE,
                    step=Step.DECODE,
                    part=f"header section ({MAX_HEAD_FIELDS} fields at most)",
                    limit=limit,
                )
            )
            return False
        if end is None and is_text:
            self._searched = max(0, len(self._unparsed) - 2)
            return False
        head = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        self._searched = 0
        self._head_cost = 3 * size + FIELD_BYTES * max(0, fields)
        self._body_bytes = self._progress_bytes = 0
        self._request_at_s = self._bounds.clock()
        self.conn.receive_data(head)
        self.handle_events()
        return True

    def _parse_body_piece(self) -> None:
        is_chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        limit = CHUNKED_PIECE_BYTES if is_chunked else PIECE_BYTES
        piece = bytes(self._unparsed[:limit])
        del self._unparsed[:limit]
        self._body_bytes += len(piece)
        self.conn.receive_data(piece)
        self.handle_events()

    def _after_parsing(self) -> None:
        if self.transport.is_closing():
            self._unparsed.clear()
            self._stop_header_timer()
            return
        if self._lacks_dropped_bytes():
            self.refuse_for_memory()
            return
        is_head_begun = self.conn.their_state is h11.IDLE and bool(self._unparsed)
        if is_head_begun and self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self._header_timeout_s, self.transport.close
            )
        elif not is_head_begun:
            self._stop_header_timer()
        is_paused = not self._may_read()
        if is_paused:
            self.transport.pause_reading()
        elif self._is_receiving_paused:
            self.transport.resume_reading()
        self._is_receiving_paused = is_paused
        received = self._body_bytes + len(self._unparsed)
        has_progressed = received >= self._progress_bytes + PROGRESS_BYTES
        if has_progressed:
            self._progress_bytes = received
        self._update(has_progressed=has_progressed)

    def _stage(self) -> Stage:
        if self.conn.their_state is h11.SEND_BODY:
            return Stage.RECEIVING
        if self._unread_bytes():
            return Stage.UNREAD
        if self.conn.their_state is h11.IDLE:
            return Stage.RECEIVING if self._unparsed else Stage.IDLE
        return Stage.RUNNING

    def _update(self, *, has_progressed: bool = False) -> None:
        size = (
            CONNECTION_BYTES
            + len(self._unparsed)
            + self._head_cost
            + BODY_COPIES * self._body_bytes
            + self._unread_bytes()
            + (READ_BYTES if self._is_receiving_paused else 0)
            + (UNREAD_RESPONSE_BYTES if self.flow.write_paused else 0)
        )
        self._bounds.budget.update(
            self._holding,
            size=size,
            stage=self._stage(),
            has_progressed=has_progressed,
        )

    def _close_for_others(self) -> None:
        """End the connection for others; a request that was not sent is refused."""
        if self._unread_bytes() or self.transport.is_closing():
            self.transport.abort()
            return
        is_new = self.conn.our_state is h11.IDLE and not self._delivered_bytes
        if self.conn.their_state is h11.IDLE and not self._unparsed and not is_new:
            self.transport.close()
            return
        self.refuse_for_memory()

    def refuse(self, error: JaytrayError) -> None:
        """Refuse the request that is being received, close, and release what is held.

        No target has it: the application has not been given all of it.
        """
        super().refuse(error)
        self._unparsed.clear()
        self._stop_header_timer()
        self._bounds.budget.release(self._holding)
