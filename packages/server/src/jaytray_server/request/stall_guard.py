"""A time limit for each of the many waits of one stream, with one timer.

`asyncio.timeout` creates a timer for each wait, which adds noticeably to the cost of
a streamed piece. Here a wait only records when it began, which one timer checks.
"""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


class StallGuard:
    """Limits waits to `limit_s` seconds each; `close` ends its timer.

    A wait that takes too long raises `TimeoutError`, late by up to a quarter of
    `limit_s`.
    """

    def __init__(self, *, limit_s: float) -> None:
        self._limit_s = limit_s
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[object] | None = None
        self._began_at_s = 0.0
        self._is_timed_out = False
        self._timer = self._loop.call_later(limit_s / 4, self._check_wait)

    async def wait(self, awaitable: Awaitable[T], limit_s: float = 0.0) -> T:
        """Return the result of `awaitable`; raises `TimeoutError`."""
        self._task = asyncio.current_task()
        self._began_at_s = self._loop.time()
        if limit_s:
            self._limit_s = limit_s
        try:
            return await awaitable
        except asyncio.CancelledError:
            if self._is_timed_out and self._task is not None:
                self._is_timed_out = False
                if self._task.uncancel() == 0:
                    raise TimeoutError from None
            raise
        finally:
            self._task = None

    def close(self) -> None:
        """End the timer."""
        self._timer.cancel()

    def _check_wait(self) -> None:
        task = self._task
        if task is not None and not self._is_timed_out:
            if self._loop.time() - self._began_at_s >= self._limit_s:
                self._is_timed_out = True
                task.cancel()
        self._timer = self._loop.call_later(self._limit_s / 4, self._check_wait)
