"""Reads the body of a request from the ASGI server."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.request.caller_presence import CallerDisconnected

Receive = Callable[[], Awaitable[Any]]

# Longest wait for the next chunk of a request body.
BODY_READ_TIMEOUT_S = 5.0


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Return the whole body; raises `JaytrayError` or `CallerDisconnected`."""
    chunks: list[bytes] = []
    size = 0
    while True:
        try:
            async with asyncio.timeout(BODY_READ_TIMEOUT_S):
                message = await receive()
        except TimeoutError as err:
            raise JaytrayError(
                messages.BODY_TIMEOUT, step=Step.DECODE, timeout_s=BODY_READ_TIMEOUT_S
            ) from err
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit_bytes:
            raise JaytrayError(
                messages.REQUEST_TOO_LARGE, step=Step.DECODE, limit=limit_bytes
            )
        chunks.append(chunk)
        if not message.get("more_body", False):
            return chunks[0] if len(chunks) == 1 else b"".join(chunks)
