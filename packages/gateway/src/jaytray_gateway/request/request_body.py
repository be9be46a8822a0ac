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
# Bodies up to this size are read before the head is checked against the routes.
SMALL_BODY_BYTES = 65_536


async def read_body(
    receive: Receive,
    limit_bytes: int,
    *,
    check_large: Callable[[], None] = lambda: None,
) -> bytes:
    """Return the whole body; raises `JaytrayError` or `CallerDisconnected`.

    `check_large` is called once if the body is not small; it may raise `JaytrayError`.
    """
    # Pieces are joined as they arrive: as objects, small ones take a multiple.
    body = bytearray()
    is_checked = False
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
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            raise JaytrayError(
                messages.REQUEST_TOO_LARGE, step=Step.DECODE, limit=limit_bytes
            )
        if not message.get("more_body", False):
            return bytes(body)
        if not is_checked and len(body) > SMALL_BODY_BYTES:
            is_checked = True
            check_large()
