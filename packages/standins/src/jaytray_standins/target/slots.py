"""Slots for the running requests of a target, assigned by priority."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class RunningSlots:
    """Continuous batching with a limit on concurrent requests."""

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return sum(not future.done() for _, _, future in self._waiting)

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Wait for a slot; a smaller `priority` is served first."""
        if self.running < self.limit:
            self.running += 1
        else:
            await self._wait(priority)
        try:
            yield
        finally:
            self._release_slot()

    async def _wait(self, priority: int) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._sequence), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        """Pass a freed slot to the first waiting request."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1
