"""Fault switches of the stand-ins.

A `Fault` names what goes wrong and for which operation; `FaultSwitches` holds the
faults that are switched on. `deliver` sends one call through the switches, as a
network between the caller and the stand-in would.
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
    """What goes wrong with a call.

    DOWN: no connection can be made. REQUEST_LOST: the request never arrives.
    ANSWER_LOST: it takes effect, the answer never arrives. LATE: the request arrives
    `delay_s` late. SLOW: it takes effect at once, the answer comes `delay_s` late.
    DOUBLED: it arrives again after `delay_s`. SILENT: accepted, never acted upon nor
    answered. REORDERED: it arrives after the next call of the same operation.
    STALE: reads answer as of `revision`. CROSSED: the answer carries another request
    id. CUT: a stream ends without its end mark after `pieces` pieces. STALLED: a
    stream falls silent after `pieces` pieces. SHORT: a stream leaves out a piece but
    announces the whole length. REFUSED: the stand-in answers that it did not run
    the request. FAILED: the stand-in runs the request and answers with an error.
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
    """One switched-on fault.

    `operation` is the name of the function it hits, empty for all. `times` is the
    number of calls it hits, 0 for all until it is cleared.
    """

    kind: FaultKind
    operation: str = ""
    times: int = 0
    delay_s: float = 0.0
    revision: int = 0
    pieces: int = 1


class NotDeliveredError(Exception):
    """The call surely did not reach the stand-in."""


class NoAnswerError(Exception):
    """No answer came within the caller's timeout; the call may have taken effect."""


class FaultSwitches:
    """The faults switched on between one caller and one stand-in."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []
        self._held_by_operation: dict[str, list[Callable[[], Awaitable[Any]]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def set(self, fault: Fault) -> None:
        """Switch `fault` on."""
        self._faults.append(fault)

    def clear(self, kind: FaultKind | None = None) -> None:
        """Switch off all faults, or those of one kind."""
        self._faults = [f for f in self._faults if kind is not None and f.kind != kind]

    def active(self) -> list[Fault]:
        """Return the faults that are on."""
        return list(self._faults)

    def take(self, kind: FaultKind, operation: str) -> Fault | None:
        """Return a fault that hits this call, and use up one of its times."""
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
        """Keep `call` until the next call of `operation` has been delivered."""
        self._held_by_operation.setdefault(operation, []).append(call)

    def release(self, operation: str) -> list[Callable[[], Awaitable[Any]]]:
        """Return the calls that were held back for `operation`."""
        return self._held_by_operation.pop(operation, [])

    def run_later(self, call: Callable[[], Awaitable[Any]]) -> asyncio.Task[None]:
        """Run `call` in the background; `close` ends it.

        Nobody waits for the answer, so its failure is not reported either.
        """

        async def run() -> None:
            with suppress(Exception):
                await call()

        task = asyncio.ensure_future(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel calls that are still on their way."""
        await cancel_all(self._tasks)


async def deliver(
    call: Callable[[], Awaitable[T]],
    *,
    operation: str,
    faults: FaultSwitches,
    sleep: Sleep,
    timeout_s: float,
) -> T:
    """Run `call` through the switches and return its answer.

    Raises `NotDeliveredError` or `NoAnswerError`, the latter after `timeout_s`.
    """
    if faults.take(FaultKind.DOWN, operation):
        raise NotDeliveredError
    for lost in (FaultKind.REQUEST_LOST, FaultKind.SILENT):
        if faults.take(lost, operation):
            await sleep(timeout_s)
            raise NoAnswerError
    if faults.take(FaultKind.REORDERED, operation):
        faults.hold(operation, call)
        await sleep(timeout_s)
        raise NoAnswerError
    held = faults.release(operation)
    answer = await _deliver_once(call, operation, faults, sleep, timeout_s)
    for held_call in held:
        await held_call()
    return answer


async def _deliver_once(
    call: Callable[[], Awaitable[T]],
    operation: str,
    faults: FaultSwitches,
    sleep: Sleep,
    timeout_s: float,
) -> T:
    late = faults.take(FaultKind.LATE, operation)
    if late:
        if late.delay_s >= timeout_s:
            faults.run_later(_delayed(call, late.delay_s, sleep))
            await sleep(timeout_s)
            raise NoAnswerError
        await sleep(late.delay_s)
    doubled = faults.take(FaultKind.DOUBLED, operation)
    answer = await call()
    if doubled:
        faults.run_later(_delayed(call, doubled.delay_s, sleep))
    slow = faults.take(FaultKind.SLOW, operation)
    if slow and slow.delay_s < timeout_s:
        await sleep(slow.delay_s)
    elif slow or faults.take(FaultKind.ANSWER_LOST, operation):
        await sleep(timeout_s)
        raise NoAnswerError
    return answer


def _delayed(
    call: Callable[[], Awaitable[T]], delay_s: float, sleep: Sleep
) -> Callable[[], Awaitable[T]]:
    async def run() -> T:
        await sleep(delay_s)
        return await call()

    return run
