"""Event loops that share one virtual clock, one loop per process.

With its own loop, a process can be paused as a whole, as a real process can: its tasks
and timers stop and its messages queue up while the shared clock advances.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from contextvars import Context
from typing import TypeVarTuple, Unpack

Callback = Callable[[], object]
Ts = TypeVarTuple("Ts")


class Schedule:
    """The virtual clock, in seconds, and the callbacks scheduled on it."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._due: list[tuple[float, int, Callback]] = []

    def clock(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def at(self, time_s: float, callback: Callback) -> None:
        """Schedule `callback` for `time_s`, or for now if that time has passed."""
        due = max(time_s, self.now)
        heapq.heappush(self._due, (due, next(self._sequence), callback))

    def after(self, delay_s: float, callback: Callback) -> None:
        """Schedule `callback` to run in `delay_s` seconds."""
        self.at(self.now + delay_s, callback)

    def run_until(self, end_s: float) -> None:
        """Advance the clock to `end_s`, running the callbacks due by then in order."""
        while self._due and self._due[0][0] <= end_s:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = end_s


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop of one process; it runs only when the schedule calls it."""

    def __init__(self, *, schedule: Schedule) -> None:
        self._schedule = schedule
        self._has_ready = False
        self._is_wake_due = False
        self._is_paused = False
        super().__init__()

    def time(self) -> float:
        """Return the virtual time."""
        return self._schedule.now

    def call_soon(
        self,
        callback: Callable[[Unpack[Ts]], object],
        *args: Unpack[Ts],
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Run `callback` in the next iteration, which the schedule starts at once."""
        self._has_ready = True
        self._wake_at(self._schedule.now)
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Ts]], object],
        *args: Unpack[Ts],
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run `callback` at the virtual time `when`."""
        self._schedule.at(when, self.run_ready)
        return super().call_at(when, callback, *args, context=context)

    def pause(self) -> None:
        """Run nothing until `resume` is called."""
        self._is_paused = True

    def resume(self) -> None:
        """End the pause; timers that have expired meanwhile run at once."""
        self._is_paused = False
        self._schedule.at(self._schedule.now, self.run_ready)

    def run_ready(self) -> None:
        """Run iterations of the loop until no callback is ready."""
        self._is_wake_due = False
        if self._is_paused or self.is_closed() or self.is_running():
            return
        self._has_ready = True
        while self._has_ready:
            self._has_ready = False
            super().call_soon(self.stop)
            self.run_forever()

    def shut_down(self) -> None:
        """Cancel all tasks and close the loop, as when a process dies."""
        self._is_paused = False
        for task in asyncio.all_tasks(self):
            task.cancel()
        self.run_ready()
        self.close()

    def _wake_at(self, time_s: float) -> None:
        if not self._is_wake_due and not self.is_running():
            self._is_wake_due = True
            self._schedule.at(time_s, self.run_ready)
