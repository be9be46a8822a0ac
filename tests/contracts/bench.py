"""What a contract needs of the implementation under test.

A bench gives the connection under test, the fault switches between it and the other
end, and a way to let time pass at the other end. Another bench can be plugged in by
giving the same tuple.
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
# Lets a number of seconds pass at the other end.
PassTime = Callable[[float], Awaitable[None]]

_STEP_S = 0.05


class KeyValueBench(NamedTuple):
    """`plain` is another connection to the same store, which no fault hits."""

    service: KeyValueService
    plain: KeyValueService
    set_fault: SetFault
    pass_time: PassTime


class TargetBench(NamedTuple):
    """A model engine with model `alpha` ready on accelerator 0, 100 MiB on each.

    `ran` lists the requests that ran, `crash` crashes the engine, `expected_text`
    gives the whole text of the answer to a body.
    """

    connection: TargetConnection
    set_fault: SetFault
    pass_time: PassTime
    ran: Callable[[], list[RanRequest]]
    crash: Callable[[], None]
    expected_text: Callable[[bytes], str]
    checks_fencing: bool


class ServiceBench(NamedTuple):
    """A plain service that answers any call."""

    connection: TargetConnection
    set_fault: SetFault
    pass_time: PassTime
    ran: Callable[[], list[RanRequest]]


class PlatformBench(NamedTuple):
    """Weight store and VM list; `put_vm` changes the list at the platform."""

    weight_store: WeightStore
    vm_list: VmList
    set_weight_store_fault: SetFault
    set_vm_list_fault: SetFault
    put_vm: Callable[[VmEntry], None]
    remove_vm: Callable[[str], None]


class Outcome(NamedTuple):
    """How a failed call must look: its code and whether it may have run."""

    code: str
    execution: Execution


async def finish(pass_time: PassTime, call: Awaitable[T]) -> T:
    """Let time pass until `call` is done, and return its result."""
    task = asyncio.ensure_future(call)
    while not task.done():
        await pass_time(_STEP_S)
    return task.result()


async def failure(pass_time: PassTime, call: Awaitable[object]) -> Outcome:
    """Return how `call` fails; an assertion error when it does not."""
    try:
        result = await finish(pass_time, call)
    except JaytrayError as err:
        return Outcome(err.code, err.execution)
    raise AssertionError(f"the call succeeded: {result}")


def equal(expected: object, found: object) -> None:
    """Raise an assertion error that shows both values when they differ."""
    if expected != found:
        raise AssertionError(f"expected {expected!r}, found {found!r}")
