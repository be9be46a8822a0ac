"""Sends responses to callers over ASGI.

A whole response is sent as one body message. A stream passes through a bounded buffer:
pieces that arrive together are written as one chunk, and a slow caller exerts
back-pressure on the target.
"""

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Awaitable, Coroutine
from contextlib import aclosing
from typing import Any, TypeVar

from litestar.types import Receive, Send

from jaytray_core.errors import JaytrayError
from jaytray_core.refusal_body import encode_refusal
from jaytray_core.targets import StreamPiece, WholeResponse
from jaytray_core.tasks import cancel_all
from jaytray_server.request.caller_presence import (
    CallerDisconnected,
    cancel_on_disconnect,
)
from jaytray_server.request.refusals import refusal_headers
from jaytray_server.request.stall_guard import StallGuard

T = TypeVar("T")
# Keeps calls whose caller disconnected from being garbage-collected while they run.
_detached_calls: "set[asyncio.Future[Any]]" = set()
REQUEST_ID_HEADER = "x-request-id"
DONE_EVENT = b"data: [DONE]\n\n"
_STREAM_HEADERS = [("content-type", "text/event-stream"), ("cache-control", "no-cache")]
# Headers of a target's response that describe its connection, not the response.
_DROPPED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        REQUEST_ID_HEADER,
    )
)


async def shield_from_disconnect(receive: Receive, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of `work`; on disconnect raise `CallerDisconnected`.

    The work runs on. For calls whose response is recorded, so that the caller can
    get it by a retry.
    """
    task = asyncio.ensure_future(work)
    _detached_calls.add(task)
    task.add_done_callback(_forget_detached_call)
    return await cancel_on_disconnect(receive, _wait_shielded(task))


async def send_whole(
    send: Send,
    *,
    request_id: str,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Send a complete response."""
    kept = [pair for pair in headers if pair[0].lower() not in _DROPPED_HEADERS]
    kept.append(("content-length", str(len(body))))
    await _send_start(send, request_id=request_id, status=status, headers=kept)
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def send_response(
    send: Send, *, request_id: str, response: WholeResponse
) -> None:
    """Send a target's whole response under the caller's request id."""
    await send_whole(
        send,
        request_id=request_id,
        status=response.status,
        headers=response.headers,
        body=response.body,
    )


async def send_refusal(send: Send, *, request_id: str, error: JaytrayError) -> None:
    """Send a refusal in the format common to all refusals."""
    await send_whole(
        send,
        request_id=request_id,
        status=error.status,
        headers=refusal_headers(error),
        body=encode_refusal(error),
    )


class StreamHandle:
    """Handle by which another part of the process ends a stream with an error."""

    def __init__(self) -> None:
        self.error: JaytrayError | None = None
        self.pump: asyncio.Future[None] | None = None

    def end(self, error: JaytrayError) -> None:
        """End the stream; its caller receives `error`."""
        self.error = error
        if self.pump is not None:
            self.pump.cancel()


async def send_stream(
    send: Send,
    *,
    request_id: str,
    pieces: AsyncGenerator[StreamPiece, None],
    buffer_bytes: int,
    slow_caller_s: float,
    handle: StreamHandle,
) -> None:
    """Send `pieces` as server-sent events, ended by `[DONE]` or an error event.

    A failure before the first piece raises `JaytrayError`, so that the caller gets
    a refusal with its status.
    """
    buffer = _StreamBuffer(max_bytes=buffer_bytes)
    pump = asyncio.ensure_future(_pump(pieces, buffer))
    handle.pump = pump
    try:
        first = await buffer.take()
        if not first:
            await _wait_for_pump(pump, handle)
        await _send_start(
            send, request_id=request_id, status=200, headers=_STREAM_HEADERS
        )
        await _send_chunks(send, first, buffer, slow_caller_s)
        await _send_end(send, pump, handle)
    finally:
        await cancel_all([pump])


async def _wait_shielded(task: "asyncio.Future[T]") -> T:
    return await asyncio.shield(task)


def _forget_detached_call(task: "asyncio.Future[Any]") -> None:
    _detached_calls.discard(task)
    if not task.cancelled():
        # Retrieves the exception, so that asyncio does not log it as unhandled; it was
        # recorded as the call's outcome.
        task.exception()


async def _pump(
    pieces: AsyncGenerator[StreamPiece, None], buffer: "_StreamBuffer"
) -> None:
    try:
        async with aclosing(pieces):
            async for piece in pieces:
                await buffer.put(b"data: " + piece.data + b"\n\n")
    finally:
        buffer.close()


async def _send_chunks(
    send: Send, chunk: bytes, buffer: "_StreamBuffer", slow_caller_s: float
) -> None:
    guard = StallGuard(limit_s=slow_caller_s)
    try:
        while chunk:
            part: Any = {"type": "http.response.body", "body": chunk, "more_body": True}
            await guard.wait(send(part))
            chunk = await buffer.take()
    except TimeoutError as err:
        raise CallerDisconnected from err
    finally:
        guard.close()


async def _wait_for_pump(pump: Awaitable[None], handle: StreamHandle) -> None:
    try:
        await pump
    except asyncio.CancelledError:
        if handle.error is None:
            raise
        raise handle.error from None


async def _send_end(send: Send, pump: Awaitable[None], handle: StreamHandle) -> None:
    try:
        await _wait_for_pump(pump, handle)
        last = DONE_EVENT
    except JaytrayError as err:
        last = b"event: error\ndata: " + encode_refusal(err) + b"\n\n"
    await send({"type": "http.response.body", "body": last, "more_body": False})


async def _send_start(
    send: Send, *, request_id: str, status: int, headers: list[tuple[str, str]]
) -> None:
    pairs = [*headers, (REQUEST_ID_HEADER, request_id)]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(k.encode("latin-1"), v.encode("latin-1")) for k, v in pairs],
        }
    )


class _StreamBuffer:
    """Bounded buffer of chunks between a target's response and its caller."""

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_closed = False
        self._not_empty = asyncio.Event()
        self._not_full = asyncio.Event()

    async def put(self, chunk: bytes) -> None:
        """Add `chunk`, after waiting while the buffer is full."""
        while self._buffered_bytes >= self._max_bytes:
            self._not_full.clear()
            await self._not_full.wait()
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._not_empty.set()

    def close(self) -> None:
        """Mark the end of the chunks."""
        self._is_closed = True
        self._not_empty.set()

    async def take(self) -> bytes:
        """Wait for chunks and return all of them joined; empty at the end."""
        while not self._chunks and not self._is_closed:
            self._not_empty.clear()
            await self._not_empty.wait()
        joined = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._not_full.set()
        return joined
