"""Helpers for cancelling asyncio tasks and waiting for events."""

import asyncio
from collections.abc import Iterable
from typing import Any


async def cancel_all(tasks: Iterable[asyncio.Future[Any]]) -> None:
    """Cancel the tasks and wait until all have ended; their exceptions are ignored."""
    ending = list(tasks)
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)


async def wait_until_set(event: asyncio.Event, timeout_s: float) -> bool:
    """Return whether the event was set within `timeout_s` seconds."""
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return await event.wait()
    except TimeoutError:
        return False
