"""Benches: test fixtures that connect a contract to an implementation under test.

A bench holds the connection under test, a function that injects faults between the
connection and its peer, and a function that advances the peer's clock. To test another
implementation, build the same tuple for it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

from jaytray_core.errors import Execution, JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.targets import TargetConnection
from jaytray_core.vm_list import VmEntry, VmList
from jaytray_core.weight_store import WeightStore
from jaytray_standins.faults import Fault
from jaytray_standins.target.records import RanRequest

T = TypeVar("T")
SetFault = Callable[[Fault], None]
# Advances the peer's clock by a number of seconds.
AdvanceTime = Callable[[float], Awaitable[None]]

_STEP_S = 0.05


class KeyValueBench(NamedTuple):
    """`service_without_faults` is a second connection to the store of `service`."""

    service: KeyValueService
    service_without_faults: KeyValueService
    set_fault: SetFault
    advance_time: AdvanceTime


class TargetBench(NamedTuple):
    """A model engine with 100 MiB per accelerator and `alpha` ready on accelerator 0.

    `ran_requests` returns the requests that ran, `crash` crashes the engine,
    `expected_text` returns the complete response text for a request body.
    """

    connection: TargetConnection
    set_fault: SetFault
    advance_time: AdvanceTime
    ran_requests: Callable[[], list[RanRequest]]
    crash: Callable[[], None]
    expected_text: Callable[[bytes], str]
    checks_fencing: bool


class ServiceBench(NamedTuple):
    """A plain service that responds to any call."""

    connection: TargetConnection
    set_fault: SetFault
    advance_time: AdvanceTime
    ran_requests: Callable[[], list[RanRequest]]


class PlatformBench(NamedTuple):
    """Weight store and VM list; `put_vm` and `remove_vm` change the platform's list."""

    weight_store: WeightStore
    vm_list: VmList
    set_weight_store_fault: SetFault
    set_vm_list_fault: SetFault
    put_vm: Callable[[VmEntry], None]
    remove_vm: Callable[[str], None]


class Outcome(NamedTuple):
    """Failure of a call, expected or observed: error code and execution state."""

    code: str
    execution: Execution


async def run_until_complete(advance_time: AdvanceTime, call: Awaitable[T]) -> T:
    """Advance time until `call` is done, and return its result."""
    task = asyncio.ensure_future(call)
    while not task.done():
        await advance_time(_STEP_S)
    return task.result()


async def expect_failure(advance_time: AdvanceTime, call: Awaitable[object]) -> Outcome:
    """Return how `call` fails; raise `AssertionError` if it succeeds."""
    try:
        result = await run_until_complete(advance_time, call)
    except JaytrayError as err:
        return Outcome(err.code, err.execution)
    raise AssertionError(f"the call succeeded: {result}")


def assert_equal(expected: object, found: object) -> None:
    """Raise `AssertionError` with both values if they differ."""
    if expected != found:
        raise AssertionError(f"expected {expected!r}, found {found!r}")
