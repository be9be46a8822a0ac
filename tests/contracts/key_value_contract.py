"""Contract of `KeyValueService`."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, NamedTuple

from jaytray_core.errors import Execution
from jaytray_core.keyvalue import ABSENT_REVISION, MAX_VALUE_BYTES, KeyValueService
from jaytray_standins.faults import Fault, FaultKind
from tests.contracts.bench import (
    KeyValueBench,
    Outcome,
    assert_equal,
    expect_failure,
    run_until_complete,
)

MakeBench = Callable[[], AbstractAsyncContextManager[KeyValueBench]]
Case = Callable[[KeyValueBench], Awaitable[None]]
_TTL_S = 4.0
_UNAVAILABLE = Outcome("key_value_unavailable", Execution.NOT_RUN)
_UNCERTAIN = Outcome("key_value_uncertain", Execution.MAY_HAVE_RUN)


async def check_key_value_contract(make_bench: MakeBench) -> None:
    """Run every case on a fresh bench; raise `AssertionError` on a violation."""
    for case in [*CASES_BY_NAME.values(), *map(fault_case, FAULT_CASES)]:
        async with make_bench() as bench:
            await case(bench)


async def create_read_delete(bench: KeyValueBench) -> None:
    kv = bench.service
    assert_equal(None, await kv.get("a"))
    created = await kv.compare_and_swap("a", ABSENT_REVISION, b"\x00one", "")
    assert_equal(True, created.is_swapped)
    assert_equal(("a", b"\x00one", created.revision), await kv.get("a"))
    deleted = await kv.compare_and_swap("a", created.revision, None, "")
    assert_equal((True, ABSENT_REVISION), deleted)
    assert_equal(None, await kv.get("a"))


async def conflict_reports_found_revision(bench: KeyValueBench) -> None:
    kv = bench.service
    first = await kv.compare_and_swap("a", ABSENT_REVISION, b"1", "")
    for expected in (ABSENT_REVISION, first.revision + 5):
        result = await kv.compare_and_swap("a", expected, b"2", "")
        assert_equal((False, first.revision), result)
    assert_equal((False, 0), await kv.compare_and_swap("b", first.revision, b"2", ""))
    assert_equal(("a", b"1", first.revision), await kv.get("a"))


async def revisions_grow_across_keys(bench: KeyValueBench) -> None:
    kv = bench.service
    results = [await kv.compare_and_swap(key, 0, b"x", "") for key in "bca"]
    revisions = [result.revision for result in results]
    assert_equal(sorted(set(revisions)), revisions)


async def prefix_is_in_key_order(bench: KeyValueBench) -> None:
    kv = bench.service
    for key in ("p/2", "q/1", "p/1", "p"):
        await kv.compare_and_swap(key, 0, key.encode(), "")
    records = await kv.get_prefix("p/")
    assert_equal(["p/1", "p/2"], [record.key for record in records])
    assert_equal([b"p/1", b"p/2"], [record.value for record in records])


async def watch_from_a_read_misses_nothing(bench: KeyValueBench) -> None:
    kv = bench.service
    written = await kv.compare_and_swap("a", 0, b"1", "")
    read = await kv.read_prefix("")
    assert_equal(["a"], [record.key for record in read.records])
    assert_equal(True, read.revision >= written.revision)
    await kv.compare_and_swap("b", 0, b"2", "")
    batch = await kv.watch("", read.revision, 0.0)
    assert_equal(["b"], [record.key for record in batch.records])
    assert_equal(True, batch.records[0].revision > read.revision)


async def one_of_racing_swaps_wins(bench: KeyValueBench) -> None:
    kv = bench.service
    calls = [kv.compare_and_swap("a", 0, bytes([n]), "") for n in range(8)]
    results = await run_until_complete(bench.advance_time, asyncio.gather(*calls))
    assert_equal(1, sum(result.is_swapped for result in results))


async def lease_end_deletes_its_keys(bench: KeyValueBench) -> None:
    kv = bench.service
    lease_id = await kv.grant_lease(_TTL_S)
    written = await kv.compare_and_swap("a", 0, b"1", lease_id)
    await bench.advance_time(_TTL_S / 2)
    assert_equal(True, await kv.keep_lease(lease_id))
    await bench.advance_time(_TTL_S * 3 / 4)
    assert_equal(b"1", getattr(await kv.get("a"), "value", None))
    await bench.advance_time(_TTL_S / 2)
    assert_equal(None, await kv.get("a"))
    assert_equal(False, await kv.keep_lease(lease_id))
    assert_equal((False, 0), await kv.compare_and_swap("a", 0, b"2", lease_id))
    batch = await kv.watch("a", written.revision, 0.0)
    assert_equal([("a", b"")], [(r.key, r.value) for r in batch.records])


async def revoked_lease_deletes_its_keys(bench: KeyValueBench) -> None:
    kv = bench.service
    lease_id = await kv.grant_lease(_TTL_S)
    await kv.compare_and_swap("a", 0, b"1", lease_id)
    await kv.compare_and_swap("b", 0, b"1", "")
    await kv.revoke_lease(lease_id)
    assert_equal(["b"], [record.key for record in await kv.get_prefix("")])


async def write_without_lease_detaches_key(bench: KeyValueBench) -> None:
    kv = bench.service
    lease_id = await kv.grant_lease(_TTL_S)
    written = await kv.compare_and_swap("a", 0, b"1", lease_id)
    await kv.compare_and_swap("a", written.revision, b"2", "")
    await kv.revoke_lease(lease_id)
    assert_equal(b"2", getattr(await kv.get("a"), "value", None))


async def watch_returns_changes_at_once(bench: KeyValueBench) -> None:
    kv = bench.service
    first = await kv.compare_and_swap("a/1", 0, b"1", "")
    await kv.compare_and_swap("b/1", 0, b"1", "")
    last = await kv.compare_and_swap("a/2", 0, b"2", "")
    batch = await kv.watch("a/", first.revision, _TTL_S)
    assert_equal([("a/2", b"2", last.revision)], list(batch.records))
    assert_equal(last.revision, batch.revision)


async def watch_waits_for_a_change(bench: KeyValueBench) -> None:
    kv = bench.service
    waiting = asyncio.ensure_future(kv.watch("a", 0, 60.0))
    await bench.advance_time(1.0)
    assert_equal(False, waiting.done())
    await bench.service_without_faults.compare_and_swap("a", 0, b"1", "")
    batch = await run_until_complete(bench.advance_time, waiting)
    assert_equal(["a"], [record.key for record in batch.records])


async def watch_sees_a_lease_end(bench: KeyValueBench) -> None:
    kv = bench.service
    lease_id = await kv.grant_lease(_TTL_S)
    written = await kv.compare_and_swap("a", 0, b"1", lease_id)
    waiting = asyncio.ensure_future(kv.watch("a", written.revision, 60.0))
    await bench.advance_time(0.1)
    batch = await run_until_complete(bench.advance_time, waiting)
    assert_equal([("a", b"")], [(r.key, r.value) for r in batch.records])


async def watch_ends_empty_after_its_wait(bench: KeyValueBench) -> None:
    kv = bench.service
    written = await kv.compare_and_swap("b", 0, b"1", "")
    batch = await run_until_complete(
        bench.advance_time, kv.watch("a", written.revision, 1.0)
    )
    assert_equal(([], written.revision), batch)


async def too_large_value_is_refused(bench: KeyValueBench) -> None:
    value = b"x" * (MAX_VALUE_BYTES + 1)
    call = bench.service.compare_and_swap("a", 0, value, "")
    outcome = await expect_failure(bench.advance_time, call)
    assert_equal(Outcome("key_value_too_large", Execution.NOT_RUN), outcome)
    assert_equal(None, await bench.service.get("a"))
    limit = await bench.service.compare_and_swap("a", 0, value[1:], "")
    assert_equal(True, limit.is_swapped)


class FaultCase(NamedTuple):
    """A fault on one call, the expected failure if any, and whether it takes effect."""

    name: str
    fault: Fault
    operation: str
    outcome: Outcome | None
    takes_effect: bool


def _cases_of_fault(
    kind: FaultKind, outcome: Outcome | None, takes_effect: bool, delay_s: float = 0.0
) -> list[FaultCase]:
    """Return the cases of one fault for a write, a lease grant and the reads.

    A read that may have run is expected to fail as unavailable, not as uncertain.
    """
    cases = []
    for operation in ("compare_and_swap", "grant_lease", "get", "get_prefix", "watch"):
        is_write = operation in ("compare_and_swap", "grant_lease")
        is_uncertain = outcome == _UNCERTAIN
        expected = _UNAVAILABLE if is_uncertain and not is_write else outcome
        fault = Fault(kind, operation, times=1, delay_s=delay_s)
        name = f"{kind}_{operation}"
        cases.append(FaultCase(name, fault, operation, expected, takes_effect))
    return cases


# Exceeds the time by which any bench advances while it waits for a response.
_TOO_LATE_S = 1e6
FAULT_CASES = [
    *_cases_of_fault(FaultKind.DOWN, _UNAVAILABLE, False),
    *_cases_of_fault(FaultKind.REQUEST_LOST, _UNCERTAIN, False),
    *_cases_of_fault(FaultKind.SILENT, _UNCERTAIN, False),
    *_cases_of_fault(FaultKind.ANSWER_LOST, _UNCERTAIN, True),
    *_cases_of_fault(FaultKind.LATE, _UNCERTAIN, True, delay_s=_TOO_LATE_S),
    *_cases_of_fault(FaultKind.SLOW, None, True, delay_s=0.01),
    *_cases_of_fault(FaultKind.DOUBLED, None, True),
]


def fault_case(case: FaultCase) -> Case:
    """Return the check of a fault case, and that the next call succeeds."""

    async def check(bench: KeyValueBench) -> None:
        bench.set_fault(case.fault)
        call = _call(bench.service, case.operation)
        if case.outcome is None:
            await run_until_complete(bench.advance_time, call)
        else:
            assert_equal(case.outcome, await expect_failure(bench.advance_time, call))
        await bench.advance_time(2 * _TOO_LATE_S)
        if case.operation == "compare_and_swap":
            record = await bench.service_without_faults.get("a")
            assert_equal(case.takes_effect, record is not None)
        await run_until_complete(bench.advance_time, _call(bench.service, "get"))

    return check


def _call(kv: KeyValueService, operation: str) -> Awaitable[Any]:
    if operation == "compare_and_swap":
        return kv.compare_and_swap("a", 0, b"1", "")
    if operation == "grant_lease":
        return kv.grant_lease(_TTL_S)
    if operation == "watch":
        return kv.watch("a", 0, 0.0)
    return kv.get("a") if operation == "get" else kv.get_prefix("a")


async def stale_reads_show_an_older_revision(bench: KeyValueBench) -> None:
    kv = bench.service
    first = await kv.compare_and_swap("a", 0, b"1", "")
    await kv.compare_and_swap("a", first.revision, b"2", "")
    bench.set_fault(Fault(FaultKind.STALE, "get", 1, revision=first.revision))
    assert_equal(("a", b"1", first.revision), await kv.get("a"))
    assert_equal(b"2", getattr(await kv.get("a"), "value", None))


CASES_BY_NAME: dict[str, Case] = {
    case.__name__: case
    for case in (
        create_read_delete,
        conflict_reports_found_revision,
        revisions_grow_across_keys,
        prefix_is_in_key_order,
        watch_from_a_read_misses_nothing,
        one_of_racing_swaps_wins,
        lease_end_deletes_its_keys,
        revoked_lease_deletes_its_keys,
        write_without_lease_detaches_key,
        watch_returns_changes_at_once,
        watch_waits_for_a_change,
        watch_sees_a_lease_end,
        watch_ends_empty_after_its_wait,
        too_large_value_is_refused,
        stale_reads_show_an_older_revision,
    )
}
