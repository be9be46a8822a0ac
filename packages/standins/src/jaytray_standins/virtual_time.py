"""A clock for tests whose time passes only when a test advances it.

`VirtualClock` is a `MonotonicClock`; its `sleep` replaces `asyncio.sleep`.
"""

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable

# Waits for a number of seconds.
Sleep = Callable[[float], Awaitable[None]]

# Event loop iterations within which woken tasks run until they wait again.
_SETTLE_PASSES = 25


class VirtualClock:
    """Seconds that pass only in `advance`."""

    def __init__(self, *, start_s: float = 0.0) -> None:
        self._now_s = start_s
        self._sequence = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def __call__(self) -> float:
        """Return the current virtual time in seconds."""
        return self._now_s

    async def sleep(self, seconds: float) -> None:
        """Wait until `seconds` of virtual time have passed."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due_s = self._now_s + seconds
        heapq.heappush(self._sleepers, (due_s, next(self._sequence), future))
        await future

    async def advance(self, seconds: float) -> None:
        """Let `seconds` pass; sleepers are woken in the order of their due times."""
        end_s = self._now_s + seconds
        await settle()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            due_s, _, future = heapq.heappop(self._sleepers)
            if future.done():
                continue
            self._now_s = due_s
            future.set_result(None)
            await settle()
        self._now_s = end_s
        await settle()


async def settle() -> None:
    """Run the event loop until all runnable tasks are waiting again."""
    for _ in range(_SETTLE_PASSES):
        await asyncio.sleep(0)
