"""Planned stop: leave the load balancer, finish running responses, hand off.

The time for running responses is not limited.
"""

import asyncio
from collections.abc import Awaitable, Callable

from jaytray_core.logs import get_logger
from jaytray_server.request.services import Lifecycle, Phase

POLL_INTERVAL_S = 0.05


async def drain(
    lifecycle: Lifecycle,
    *,
    balancer_delay_s: float,
    hand_off: Callable[[], Awaitable[None]],
) -> None:
    """Leave the load balancer, refuse new requests after a delay, wait for responses.

    `hand_off` is called after the last response and before the process exits, so that
    other VMs take over the leases and shares before this one is gone.
    """
    lifecycle.phase = Phase.DRAINING
    get_logger().info("drain_started", running_answers=lifecycle.running_responses)
    await asyncio.sleep(balancer_delay_s)
    lifecycle.phase = Phase.CLOSED
    get_logger().info("drain_refusing", running_answers=lifecycle.running_responses)
    while lifecycle.running_responses > 0:
        await asyncio.sleep(POLL_INTERVAL_S)
    await hand_off()
    get_logger().info("drain_finished")
