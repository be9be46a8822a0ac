"""Supervision of background tasks: a task that fails or ends is restarted."""

import asyncio
from collections.abc import Awaitable, Callable

from jaytray_core.logs import get_logger

RESTART_PAUSE_S = 1.0


async def supervise(
    name: str,
    run: Callable[[], Awaitable[None]],
    *,
    restart_pause_s: float = RESTART_PAUSE_S,
) -> None:
    """Run `run` until cancelled; log when it fails or returns, and start it again.

    One faulty task must not end the process, which can serve callers without it.
    """
    while True:
        try:
            await run()
        except Exception as err:
            get_logger().error("task_failed", task=name, error=repr(err), exc_info=err)
        else:
            get_logger().warning("task_ended", task=name)
        await asyncio.sleep(restart_pause_s)
