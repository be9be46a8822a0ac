"""Notices when this process did not run for a while.

Such a pause looks like silence of everything that the process waits for. It comes from
the VM (a freeze, a shortage of processor time) or from work that holds up the event
loop.
"""

import asyncio

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.metrics import GatewayMetrics

CHECK_INTERVAL_S = 0.1
# Shorter pauses are usual on a busy VM.
LOGGED_PAUSE_S = 0.4


class PauseWatch:
    """Measures pauses of the process while `run` runs."""

    def __init__(self, *, clock: MonotonicClock, metrics: GatewayMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._checked_at_s = clock()
        self._last_pause_s = 0.0
        self._total_s = 0.0

    async def run(self) -> None:
        """Measure, log and count pauses until cancelled."""
        self._checked_at_s = self._clock()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._last_pause_s = pause_s = self._overdue_s()
            self._checked_at_s = self._clock()
            if pause_s > LOGGED_PAUSE_S:
                self._total_s += pause_s
                self._metrics.set_gauge("process_paused_seconds", self._total_s)
                get_logger().warning("process_paused", paused_ms=round(pause_s * 1000))

    def current_pause_s(self) -> float:
        """Return how long a pause has lasted that has only just ended, or 0."""
        return max(self._last_pause_s, self._overdue_s())

    def _overdue_s(self) -> float:
        return max(0.0, self._clock() - self._checked_at_s - CHECK_INTERVAL_S)
