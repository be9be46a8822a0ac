"""Fault injection of the stand-ins.

A `Fault` describes a failure and the operation that it affects; `FaultSwitches` holds
the active faults. `deliver` runs one call subject to them, like a network between the
caller and the stand-in.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple, TypeVar

from jaytray_core.tasks import cancel_all
from jaytray_standins.virtual_time import Sleep

T = TypeVar("T")


class FaultKind(enum.StrEnum):
    """The kinds of faults.

    DOWN: no connection can be made. REQUEST_LOST: the request never arrives.
    ANSWER_LOST: the request takes effect, but its response never arrives. LATE: the
    request arrives `delay_s` late. SLOW: the request takes effect at once, and its
    response arrives `delay_s` late. DOUBLED: the request arrives again after `delay_s`.
    SILENT: the request is accepted, but neither run nor responded to. REORDERED: the
    request arrives after the next call of the same operation. STALE: reads return the
    data as of `revision`. CROSSED: the response carries another request id. CUT: a
    stream ends without its end mark after `pieces` pieces. STALLED: a stream sends
    nothing after `pieces` pieces, but stays open. SHORT: a stream omits piece number
    `pieces`, but announces the total length. REFUSED: the stand-in responds that it did
    not run the request. FAILED: the stand-in runs the request and responds with an
    error.
    """

    DOWN = "down"
    REQUEST_LOST = "request_lost"
    ANSWER_LOST = "answer_lost"
    LATE = "late"
    SLOW = "slow"
    DOUBLED = "doubled"
    SILENT = "silent"
    REORDERED = "reordered"
    STALE = "stale"
    CROSSED = "crossed"
    CUT = "cut"
    STALLED = "stalled"
    SHORT = "short"
    REFUSED = "refused"
    FAILED = "failed"


class Fault(NamedTuple):
    """An active fault.

    `operation` is the name of the function that it affects, empty for all. `times` is
    the number of calls that it affects, 0 for all until it is cleared.
    """

    kind: FaultKind
    operation: str = ""
    times: int = 0
    delay_s: float = 0.0
    revision: int = 0
    pieces: int = 1


class NotDeliveredError(Exception):
    """The call certainly did not reach the stand-in."""


class NoResponseError(Exception):
    """No response came within the caller's timeout; the call may have taken effect."""


class FaultSwitches:
    """The active faults between one caller and one stand-in."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []
        self._held_by_operation: dict[str, list[Callable[[], Awaitable[Any]]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def set(self, fault: Fault) -> None:
        """Activate `fault`."""
        self._faults.append(fault)

    def clear(self, kind: FaultKind | None = None) -> None:
        """Deactivate all faults, or those of one kind."""
        self._faults = [f for f in self._faults if kind is not None and f.kind != kind]

    def active(self) -> list[Fault]:
        """Return the active faults."""
        return list(self._faults)

    def consume(self, kind: FaultKind, operation: str) -> Fault | None:
        """Return a fault that affects this call, counted against its `times`."""
        for position, fault in enumerate(self._faults):
            if fault.kind != kind or fault.operation not in ("", operation):
                continue
            if fault.times == 1:
                del self._faults[position]
            elif fault.times > 1:
                self._faults[position] = fault._replace(times=fault.times - 1)
            return fault
        return None

    def hold(self, operation: str, call: Callable[[], Awaitable[Any]]) -> None:
        """Hold back `call` until the next call of `operation` has been delivered."""
        self._held_by_operation.setdefault(operation, []).append(call)

    def release(self, operation: str) -> list[Callable[[], Awaitable[Any]]]:
        """Return the calls that were held back for `operation`."""
        return self._held_by_operation.pop(operation, [])

    def run_later(self, call: Callable[[], Awaitable[Any]]) -> asyncio.Task[None]:
        """Run `call` in the background; `close` cancels it.

        No caller waits for the response, so a failure is not reported either.
        """

        async def run() -> None:
            with suppress(Exception):
                await call()

        task = asyncio.ensure_future(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel the calls that still run in the background."""
        await cancel_all(self._tasks)


async def deliver(
    call: Callable[[], Awaitable[T]],
    *,
    operation: str,
    faults: FaultSwitches,
    sleep: Sleep,
    timeout_s: float,
) -> T:
    """Run `call` subject to the faults and return its response.

    Raises `NotDeliveredError` or `NoResponseError`, the latter after `timeout_s`.
    """
    if faults.consume(FaultKind.DOWN, operation):
        raise NotDeliveredError
    for lost in (FaultKind.REQUEST_LOST, FaultKind.SILENT):
        if faults.consume(lost, operation):
            await sleep(timeout_s)
            raise NoResponseError
    if faults.consume(FaultKind.REORDERED, operation):
        faults.hold(operation, call)
        await sleep(timeout_s)
        raise NoResponseError
    held = faults.release(operation)
    response = await _deliver_once(call, operation, faults, sleep, timeout_s)
    for held_call in held:
        await held_call()
    return response


async def _deliver_once(
    call: Callable[[], Awaitable[T]],
    operation: str,
    faults: FaultSwitches,
    sleep: Sleep,
    timeout_s: float,
) -> T:
    late = faults.consume(FaultKind.LATE, operation)
    if late:
        if late.delay_s >= timeout_s:
            faults.run_later(_delayed(call, late.delay_s, sleep))
            await sleep(timeout_s)
            raise NoResponseError
        await sleep(late.delay_s)
    doubled = faults.consume(FaultKind.DOUBLED, operation)
    response = await call()
    if doubled:
        faults.run_later(_delayed(call, doubled.delay_s, sleep))
    slow = faults.consume(FaultKind.SLOW, operation)
    if slow and slow.delay_s < timeout_s:
        await sleep(slow.delay_s)
    elif slow or faults.consume(FaultKind.ANSWER_LOST, operation):
        await sleep(timeout_s)
        raise NoResponseError
    return response


def _delayed(
    call: Callable[[], Awaitable[T]], delay_s: float, sleep: Sleep
) -> Callable[[], Awaitable[T]]:
    async def run() -> T:
        await sleep(delay_s)
        return await call()

    return run
