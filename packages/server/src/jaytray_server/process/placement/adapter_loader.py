"""On-demand loading of the adapter that a request needs."""

import asyncio
from collections.abc import Awaitable, Callable

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.process.target_table import TargetTable

MAX_WAIT_S = 5.0
POLL_INTERVAL_S = 0.02

Sleep = Callable[[float], Awaitable[None]]
# (target, adapter); returns when the adapter is ready on the target.
LoadAdapter = Callable[[str, str], Awaitable[None]]
# (adapter, target); asks the controllers of the adapter's group to load it.
RequestAdapter = Callable[[str, str], None]


def make_adapter_loader(
    *,
    request_adapter: RequestAdapter,
    table: TargetTable,
    clock: MonotonicClock,
    sleep: Sleep = asyncio.sleep,
) -> LoadAdapter:
    """Return a function that requests an adapter load and waits until it is ready.

    It raises `target_refused` when the adapter became ready on another target; that
    refusal is `not_run`, so the request may be retried at once. It raises
    `no_replica` when the adapter is not ready anywhere after `MAX_WAIT_S`.
    """

    async def load_adapter(target: str, adapter: str) -> None:
        deadline_s = clock() + MAX_WAIT_S
        request_adapter(adapter, target)
        while clock() < deadline_s:
            replicas = table.ready_replicas(adapter)
            if target in replicas:
                return
            if replicas:
                raise JaytrayError(
                    messages.TARGET_REFUSED,
                    step=Step.PLACEMENT,
                    peer=target,
                    detail=f"adapter {adapter} is ready on another target",
                )
            await sleep(POLL_INTERVAL_S)
        raise JaytrayError(
            messages.NO_REPLICA,
            step=Step.PLACEMENT,
            peer=target,
            name=adapter,
            retry_after_s=1.0,
        )

    return load_adapter
