"""Runs stand-ins in a process: `python -m jaytray_standins --role=ROLE`.

Prints `listening address=IP:PORT role=ROLE name=NAME` for each listener and ends on
SIGTERM or SIGINT.
"""

import asyncio
import signal
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager, AsyncExitStack

from absl import app

from jaytray_core.clock import monotonic_clock
from jaytray_core.targets import Order, OrderKind
from jaytray_standins import flags
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.key_value.server import serve_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.target.accelerators import LoadTimes
from jaytray_standins.target.server import serve_target
from jaytray_standins.target.service_server import serve_service
from jaytray_standins.target.service_state import ServiceState
from jaytray_standins.target.state import TargetState
from jaytray_standins.vm_list.server import parse_vm, serve_vm_list
from jaytray_standins.vm_list.state import VmListState
from jaytray_standins.weight_store.server import serve_weight_store
from jaytray_standins.weight_store.state import WeightStoreState

_UNLOAD_S = 0.2


class _Site:
    """The listeners of this process."""

    def __init__(self, *, stack: AsyncExitStack) -> None:
        self._stack = stack
        self._weight_store = WeightStoreState(
            clock=monotonic_clock,
            loads_per_second=flags.LOADS_PER_SECOND.value,
            concurrent_loads=flags.CONCURRENT_LOADS.value,
        )

    async def start(self, role: str, port: int) -> None:
        """Start the listeners of a role."""
        if role == "key_value":
            store = KeyValueStore(clock=monotonic_clock)
            await self._run(serve_key_value(store, FaultSwitches(), port=port), role)
        elif role == "target":
            await self._start_target(flags.NAME.value or "target-1", port)
        elif role == "service":
            await self._start_service(flags.NAME.value or "service-1", port)
        elif role == "weight_store":
            server = serve_weight_store(self._weight_store, FaultSwitches(), port=port)
            await self._run(server, role)
        elif role == "vm_list":
            await self._start_vm_list(port)
        else:
            await self._start_all()

    async def _start_all(self) -> None:
        for role in ("key_value", "weight_store", "vm_list"):
            await self.start(role, 0)
        for number in range(1, flags.TARGETS.value + 1):
            await self._start_target(f"target-{number}", 0)
        for name in flags.SERVICES.value:
            await self._start_service(name, 0)

    async def _start_target(self, name: str, port: int) -> None:
        state = TargetState(
            name=name,
            accelerators=flags.ACCELERATORS.value,
            accelerator_memory_mib=flags.MEMORY_MIB.value,
            checks_fencing=flags.CHECKS_FENCING.value,
            clock=monotonic_clock,
            weight_store=self._weight_store,
            load_times=LoadTimes(
                flags.MODEL_LOAD_S.value, flags.ADAPTER_LOAD_S.value, _UNLOAD_S
            ),
            max_running_requests=flags.MAX_RUNNING.value,
            first_token_s=flags.FIRST_TOKEN_S.value,
            token_interval_s=flags.TOKEN_INTERVAL_S.value,
            report_lag_s=flags.REPORT_LAG_S.value,
            restart_s=flags.RESTART_S.value,
        )
        for model in flags.PRELOADED.value:
            state.add_ready(
                Order(
                    f"preload-{model}", OrderKind.LOAD_MODEL, model, model, "1", 0, 1, 0
                )
            )
        await self._run(serve_target(state, FaultSwitches(), port=port), "target", name)

    async def _start_service(self, name: str, port: int) -> None:
        state = ServiceState(
            name=name, clock=monotonic_clock, restart_s=flags.RESTART_S.value
        )
        server = serve_service(state, FaultSwitches(), port=port)
        await self._run(server, "service", name)

    async def _start_vm_list(self, port: int) -> None:
        state = VmListState(clock=monotonic_clock, lag_s=flags.VM_LIST_LAG_S.value)
        for text in flags.VM.value:
            state.put(parse_vm(text))
        server = serve_vm_list(state, FaultSwitches(), port=port)
        await self._run(server, "vm_list")

    async def _run(
        self, server: AbstractAsyncContextManager[str], role: str, name: str = ""
    ) -> None:
        address = await self._stack.enter_async_context(server)
        print(
            f"listening address={address} role={role} name={name or role}", flush=True
        )


async def run() -> None:
    """Run the stand-ins until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with AsyncExitStack() as stack:
        site = _Site(stack=stack)
        await site.start(flags.ROLE.value, flags.PORT.value)
        await stopped.wait()


def main(_arguments: Sequence[str]) -> None:
    """Run the event loop."""
    asyncio.run(run())


if __name__ == "__main__":
    app.run(main)
