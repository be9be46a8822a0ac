"""Benches for the in-process stand-ins and for the HTTP adapters connected to them.

The stand-ins run on a virtual clock in both cases; only the HTTP adapters' own
timeouts elapse in real time.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from jaytray_core.adapters.key_value_http import open_key_value
from jaytray_core.adapters.target_http import TargetTimeouts, connect_target
from jaytray_core.adapters.vm_list_http import open_vm_list
from jaytray_core.adapters.weight_store_http import open_weight_store
from jaytray_core.targets import Order, OrderKind, TargetConnection
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import (
    in_process_key_value,
    in_process_list_of_vms,
    in_process_service,
    in_process_target,
    in_process_weight_store,
)
from jaytray_standins.key_value.server import serve_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.target.generation import expected_text
from jaytray_standins.target.server import serve_target
from jaytray_standins.target.service_server import serve_service
from jaytray_standins.target.service_state import ServiceState
from jaytray_standins.target.state import TargetState
from jaytray_standins.virtual_time import VirtualClock
from jaytray_standins.vm_list.server import serve_vm_list
from jaytray_standins.vm_list.state import VmListState
from jaytray_standins.weight_store.server import serve_weight_store
from jaytray_standins.weight_store.state import WeightStoreState
from tests.contracts.bench import (
    AdvanceTime,
    KeyValueBench,
    PlatformBench,
    ServiceBench,
    TargetBench,
)

# Longer than pauses of the machine, which failed calls that must succeed.
HTTP_TIMEOUT_S = 1.0
_REAL_STEP_S = 0.002
_TIMEOUTS = TargetTimeouts(
    connect_s=HTTP_TIMEOUT_S,
    response_s=HTTP_TIMEOUT_S,
    piece_s=HTTP_TIMEOUT_S,
    control_s=HTTP_TIMEOUT_S,
)


@asynccontextmanager
async def in_process_key_value_bench() -> AsyncIterator[KeyValueBench]:
    """Yield a key-value bench without sockets."""
    clock, faults = VirtualClock(), FaultSwitches()
    store = KeyValueStore(clock=clock, sleep=clock.sleep)
    yield KeyValueBench(
        in_process_key_value(store, faults),
        in_process_key_value(store, FaultSwitches()),
        faults.set,
        clock.advance,
    )
    await faults.close()


@asynccontextmanager
async def http_key_value_bench() -> AsyncIterator[KeyValueBench]:
    """Yield a key-value bench over HTTP."""
    clock, faults = VirtualClock(), FaultSwitches()
    store = KeyValueStore(clock=clock, sleep=clock.sleep)
    async with serve_key_value(store, faults) as address:
        opened = open_key_value(address=address, timeout_s=HTTP_TIMEOUT_S)
        plain = in_process_key_value(store, FaultSwitches())
        yield KeyValueBench(
            opened.service, plain, faults.set, advance_both_clocks(clock)
        )
        await opened.close()


def target_bench(
    *, is_http: bool, checks_fencing: bool = True
) -> AbstractAsyncContextManager[TargetBench]:
    """Return a model engine bench, over HTTP or without sockets."""
    return _target_bench(is_http, checks_fencing)


@asynccontextmanager
async def _target_bench(
    is_http: bool, checks_fencing: bool
) -> AsyncIterator[TargetBench]:
    clock, faults = VirtualClock(), FaultSwitches()
    state = TargetState(
        name="target-1",
        accelerators=2,
        accelerator_memory_mib=100,
        checks_fencing=checks_fencing,
        clock=clock,
        sleep=clock.sleep,
    )
    state.add_ready(Order("o0", OrderKind.LOAD_MODEL, "alpha", "alpha", "1", 0, 40, 0))

    def bench(connection: TargetConnection, advance_time: AdvanceTime) -> TargetBench:
        return TargetBench(
            connection,
            faults.set,
            advance_time,
            lambda: list(state.ran_requests),
            state.crash,
            expected_text,
            checks_fencing,
        )

    if is_http:
        async with serve_target(state, faults) as address:
            connection = connect_target(
                name="target-1", address=address, timeouts=_TIMEOUTS
            )
            yield bench(connection, advance_both_clocks(clock))
            await connection.close()
    else:
        yield bench(in_process_target(state, faults), clock.advance)
        await faults.close()
    state.assert_not_overcommitted()


@asynccontextmanager
async def in_process_service_bench() -> AsyncIterator[ServiceBench]:
    """Yield a plain service bench without sockets."""
    clock, faults = VirtualClock(), FaultSwitches()
    state = ServiceState(name="rounds", clock=clock, sleep=clock.sleep)
    connection = in_process_service(state, faults)
    ran = state.ran_requests
    yield ServiceBench(connection, faults.set, clock.advance, lambda: list(ran))
    await faults.close()


@asynccontextmanager
async def http_service_bench() -> AsyncIterator[ServiceBench]:
    """Yield a plain service bench over HTTP."""
    clock, faults = VirtualClock(), FaultSwitches()
    state = ServiceState(name="rounds", clock=clock, sleep=clock.sleep)
    ran = state.ran_requests
    async with serve_service(state, faults) as address:
        connection = connect_target(name="rounds", address=address, timeouts=_TIMEOUTS)
        advance_time = advance_both_clocks(clock)
        yield ServiceBench(connection, faults.set, advance_time, lambda: list(ran))
        await connection.close()


@asynccontextmanager
async def in_process_platform_bench() -> AsyncIterator[PlatformBench]:
    """Yield a bench of weight store and VM list without sockets."""
    clock = VirtualClock()
    store, vms = WeightStoreState(clock=clock), VmListState(clock=clock)
    store_faults, vm_faults = FaultSwitches(), FaultSwitches()
    yield PlatformBench(
        in_process_weight_store(store, store_faults),
        in_process_list_of_vms(vms, vm_faults),
        store_faults.set,
        vm_faults.set,
        vms.put,
        vms.remove,
    )


@asynccontextmanager
async def http_platform_bench() -> AsyncIterator[PlatformBench]:
    """Yield a bench of weight store and VM list over HTTP."""
    clock = VirtualClock()
    store, vms = WeightStoreState(clock=clock), VmListState(clock=clock)
    store_faults, vm_faults = FaultSwitches(), FaultSwitches()
    async with (
        serve_weight_store(store, store_faults) as store_address,
        serve_vm_list(vms, vm_faults) as vm_list_address,
    ):
        weight_store = open_weight_store(
            address=store_address, timeout_s=HTTP_TIMEOUT_S
        )
        vm_list = open_vm_list(address=vm_list_address, timeout_s=HTTP_TIMEOUT_S)
        yield PlatformBench(
            weight_store.service,
            vm_list.service,
            store_faults.set,
            vm_faults.set,
            vms.put,
            vms.remove,
        )
        await weight_store.close()
        await vm_list.close()


def advance_both_clocks(clock: VirtualClock) -> AdvanceTime:
    """Return a function that advances the virtual clock with short real waits."""

    async def advance_time(seconds: float) -> None:
        await asyncio.sleep(_REAL_STEP_S)
        await clock.advance(seconds)
        await asyncio.sleep(_REAL_STEP_S)

    return advance_time
