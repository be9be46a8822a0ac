"""Signals that end the process.

The first SIGTERM or SIGINT starts a planned stop; a second one terminates the process
immediately.
"""

import asyncio
import os
import signal

from jaytray_core.logs import get_logger

IMMEDIATE_EXIT_STATUS = 1


def install_stop_signals() -> asyncio.Event:
    """Return an event that the first signal sets; the second signal exits at once."""
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
