"""Planned stop: leave the balancer, finish what runs, hand off, exit.

The first SIGTERM or SIGINT begins the stop and there is no limit on how long
running answers may take. A second signal ends the process at once.
"""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

from jaytray_core.logs import get_logger
from jaytray_server.request.services import Lifecycle, Phase

POLL_INTERVAL_S = 0.05
IMMEDIATE_EXIT_STATUS = 1


def install_stop_signals() -> asyncio.Event:
    """Return an event set by the first signal; the second one exits at once."""
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            get_logger().warning("stop_forced")
            os._exit(IMMEDIATE_EXIT_STATUS)
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    return stop


async def drain(
    lifecycle: Lifecycle,
    *,
    balancer_delay_s: float,
    hand_off: Callable[[], Awaitable[None]],
) -> None:
    """Leave the balancer, refuse new requests after a delay, wait for answers.

    Duties are handed off while answers still run, so that other VMs take over
    before this one is gone.
    """
    lifecycle.phase = Phase.DRAINING
    get_logger().info("drain_started", running_answers=lifecycle.running_answers)
    await asyncio.sleep(balancer_delay_s)
    lifecycle.phase = Phase.CLOSED
    get_logger().info("drain_refusing", running_answers=lifecycle.running_answers)
    while lifecycle.running_answers > 0:
        await asyncio.sleep(POLL_INTERVAL_S)
    await hand_off()
    get_logger().info("drain_finished")
