"""Lets a request wait for an adapter that is not loaded yet.

The planner of the target's group is asked to act at once; the wait ends when a load
report shows the adapter, or after a bound.
"""

import asyncio

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.process.placement.duties import PlacementDuties
from jaytray_server.process.target_table import TargetTable
from jaytray_server.request.services import LoadAdapter

MAX_WAIT_S = 5.0
POLL_INTERVAL_S = 0.05
# How often a planner is asked again, since the message may be lost.
ASK_AGAIN_S = 1.0


def make_load_adapter(*, table: TargetTable, duties: PlacementDuties) -> LoadAdapter:
    """Return a function that waits until an adapter is ready on a target."""

    async def load_adapter(target: str, adapter: str) -> None:
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + MAX_WAIT_S
        ask_again_s = loop.time()
        while target not in table.ready_replicas(adapter):
            now_s = loop.time()
            if now_s >= give_up_s:
                raise JaytrayError(
                    messages.NO_REPLICA,
                    step=Step.ROUTE,
                    peer=target,
                    retry_after_s=MAX_WAIT_S,
                    name=adapter,
                )
            if now_s >= ask_again_s:
                duties.want(adapter)
                ask_again_s = now_s + ASK_AGAIN_S
            await asyncio.sleep(POLL_INTERVAL_S)

    return load_adapter
