"""The response to one caller, sent through the ASGI server."""

from collections.abc import Awaitable, Callable
from typing import Any

from jaytray_gateway.ports import HeaderList

Send = Callable[[Any], Awaitable[None]]


class CallerReply:
    """One response: `start` once, then any number of `send`, then `finish`.

    `on_start` is called before the first byte is sent. `has_caller_left` asks whether
    the caller has left, which may not have been noticed yet.
    """

    def __init__(
        self,
        *,
        send: Send,
        closes_connection: bool,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_started = False
        self.is_finished = False
        self.status = 0
        self.closes_connection = closes_connection
        self.has_caller_left = has_caller_left
        self.on_start: Callable[[], None] | None = None
        self._send = send

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send status and headers."""
        self.is_started = True
        self.status = status
        if self.on_start is not None:
            self.on_start()
        if self.closes_connection:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; waits while the caller reads too slowly."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last chunk of the body and end the response."""
        self.is_finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def send_complete(
        self, status: int, headers: HeaderList, body: bytes
    ) -> None:
        """Send a complete response."""
        length = (b"content-length", b"%d" % len(body))
        await self.start(status, [*headers, length])
        await self.finish(body)
