"""Signals that end the process.

The first SIGTERM or SIGINT starts a planned stop. Another one within the grace period
only repeats it, as planned stops may overlap; a later one terminates the process
immediately.
"""

import asyncio
import os
import signal

from jaytray_core.logs import get_logger

IMMEDIATE_EXIT_STATUS = 1


def install_stop_signals(*, grace_s: float = 0.0) -> asyncio.Event:
    """Return an event that the first signal sets.

    Signals later than `grace_s` seconds after the first one exit at once.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    ends_s = 0.0

    def on_signal(number: signal.Signals) -> None:
        nonlocal ends_s
        if not stop.is_set():
            ends_s = loop.time() + grace_s
            stop.set()
        elif loop.time() < ends_s:
            get_logger().info("stop_repeated", signal=number.name)
        else:
            get_logger().warning("stop_forced")
            os._exit(IMMEDIATE_EXIT_STATUS)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number)
    return stop
