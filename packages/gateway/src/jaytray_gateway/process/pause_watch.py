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


async def watch_pauses(*, clock: MonotonicClock, metrics: GatewayMetrics) -> None:
    """Log and count pauses of the process until cancelled."""
    paused_s = 0.0
    while True:
        begun_s = clock()
        await asyncio.sleep(CHECK_INTERVAL_S)
        pause_s = clock() - begun_s - CHECK_INTERVAL_S
        if pause_s > LOGGED_PAUSE_S:
            paused_s += pause_s
            metrics.set_gauge("process_paused_seconds", paused_s)
            get_logger().warning("process_paused", paused_ms=round(pause_s * 1000))
