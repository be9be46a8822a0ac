"""Contracts of `WeightStore` and `VmList`."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager

from jaytray_core.errors import JaytrayError
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_standins.faults import Fault, FaultKind
from tests.contracts.bench import PlatformBench, assert_equal

MakeBench = Callable[[], AbstractAsyncContextManager[PlatformBench]]
Case = Callable[[PlatformBench], Awaitable[None]]
FAULT_KINDS = [
    FaultKind.DOWN,
    FaultKind.REQUEST_LOST,
    FaultKind.ANSWER_LOST,
    FaultKind.SILENT,
]


async def check_platform_contract(make_bench: MakeBench) -> None:
    """Run every case on a fresh bench; raise `AssertionError` on a violation."""
    for case in [*CASES_BY_NAME.values(), *map(fault_case, FAULT_KINDS)]:
        async with make_bench() as bench:
            await case(bench)


async def store_shows_its_limits(bench: PlatformBench) -> None:
    status = await bench.weight_store.status()
    assert_equal(True, status.loads_per_second > 0 and status.concurrent_loads > 0)
    assert_equal(0, status.loads_in_flight)


async def list_shows_changes(bench: PlatformBench) -> None:
    assert_equal([], await bench.vm_list.list_vms())
    live = VmEntry("vm-1", "10.0.0.1:1", "10.0.0.1:2", "ahd-a", VmState.LIVE)
    bench.put_vm(live)
    assert_equal([live], await bench.vm_list.list_vms())
    leaving = live._replace(state=VmState.LEAVING)
    bench.put_vm(leaving)
    assert_equal([leaving], await bench.vm_list.list_vms())
    bench.remove_vm("vm-1")
    assert_equal([], await bench.vm_list.list_vms())


def fault_case(kind: FaultKind) -> Case:
    """Return a check that a fault raises a typed error and the next call succeeds."""

    async def check(bench: PlatformBench) -> None:
        bench.set_weight_store_fault(Fault(kind, times=1))
        assert_equal(
            "weight_store_unavailable", await _code(bench.weight_store.status())
        )
        await bench.weight_store.status()
        bench.set_vm_list_fault(Fault(kind, times=1))
        assert_equal("vm_list_unavailable", await _code(bench.vm_list.list_vms()))
        await bench.vm_list.list_vms()

    return check


async def _code(call: Awaitable[object]) -> str:
    try:
        await call
    except JaytrayError as err:
        return err.code
    return "succeeded"


CASES_BY_NAME: dict[str, Case] = {
    case.__name__: case for case in (store_shows_its_limits, list_shows_changes)
}
