"""Tests of idempotent calls through several VMs under key-value service faults."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TypeVar
from unittest import mock

from hypothesis import given, settings, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.errors import Execution, JaytrayError
from jaytray_core.targets import WholeResponse
from jaytray_server.process.idempotency.idempotency import (
    REPLAYED_HEADER,
    Claim,
    IdempotentCall,
    make_call,
    run_once,
)
from jaytray_server.process.idempotency.shard_log import ShardLog
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.key_value.store import KeyValueStore
from packages.server.tests.request.peers import FakeNetwork
from packages.server.tests.request.support import make_idempotency
from packages.server.tests.request.virtual_loop import loop_clock, run_virtual

T = TypeVar("T")
VMS = ("vm1", "vm2", "vm3")


class Fleet:
    """Three VMs that share a key-value service; counts the runs of each key."""

    def __init__(self) -> None:
        self.store = KeyValueStore(clock=loop_clock)
        self.network = FakeNetwork(vm_ids=VMS)
        self.faults_by_vm = {vm: FaultSwitches() for vm in VMS}
        self.idempotency_by_vm = {
            vm: make_idempotency(self.store, self.faults_by_vm[vm], self.network, vm)
            for vm in VMS
        }
        self.runs_by_key: Counter[str] = Counter()

    async def send(self, vm: str, key: str, body: bytes = b"1") -> str:
        """Send one call; return the body of the response or the refusal code."""
        run = self._runner(key)
        try:
            response = await run_once(
                self.idempotency_by_vm[vm],
                _call(key, body),
                run,
                lambda: Execution.MAY_HAVE_RUN,
            )
        except JaytrayError as err:
            return err.code
        return response.body.decode()

    def set_faults(self, fault: Fault) -> None:
        """Inject a fault on every VM."""
        for faults in self.faults_by_vm.values():
            faults.set(fault)

    async def close(self) -> None:
        """Close without waiting for outcomes that are not yet recorded."""
        for idempotency in self.idempotency_by_vm.values():
            await idempotency.close(max_wait_s=0.0)

    def _runner(self, key: str) -> Callable[[Claim], Awaitable[WholeResponse]]:
        async def run(_claim: Claim) -> WholeResponse:
            self.runs_by_key[key] += 1
            await asyncio.sleep(0)
            return WholeResponse("", 200, [], f"run {self.runs_by_key[key]}".encode())

        return run


def _call(key: str, body: bytes = b"1") -> IdempotentCall:
    return make_call(
        account="lakeshore",
        key=key,
        method="POST",
        path="/book",
        query="",
        body=body,
        max_run_s=5.0,
    )


def _run(test: Callable[[Fleet], Awaitable[T]]) -> T:
    async def run() -> T:
        fleet = Fleet()
        try:
            return await test(fleet)
        finally:
            await fleet.close()

    return run_virtual(run())


class IdempotencyTests(TestCase):
    def test_second_call_through_another_vm_gets_the_first_response(self) -> None:
        async def test(fleet: Fleet) -> None:
            self.assertEqual("run 1", await fleet.send("vm1", "a"))
            for vm in VMS:
                replayed = await fleet.idempotency_by_vm[vm].claim(_call("a"))
                self.assertIsInstance(replayed, WholeResponse)
                assert isinstance(replayed, WholeResponse)
                self.assertIn(REPLAYED_HEADER, replayed.headers)
                self.assertEqual("run 1", await fleet.send(vm, "a"))

        _run(test)

    def test_other_body_is_refused(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.send("vm1", "a")
            code = await fleet.send("vm2", "a", b"2")
            self.assertEqual("idempotency_key_reused", code)

        _run(test)

    def test_running_and_unknown_calls_are_refused(self) -> None:
        async def test(fleet: Fleet) -> None:
            claim = await fleet.idempotency_by_vm["vm1"].claim(_call("a"))
            assert isinstance(claim, Claim)
            self.assertEqual("idempotency_running", await fleet.send("vm2", "a"))
            fleet.idempotency_by_vm["vm1"].record_unknown(claim)
            await fleet.idempotency_by_vm["vm1"].close(max_wait_s=1.0)
            self.assertEqual("idempotency_unknown", await fleet.send("vm2", "a"))

        _run(test)

    def test_released_call_may_run(self) -> None:
        async def test(fleet: Fleet) -> None:
            claim = await fleet.idempotency_by_vm["vm1"].claim(_call("a"))
            assert isinstance(claim, Claim)
            fleet.idempotency_by_vm["vm1"].record_release(claim)
            await fleet.idempotency_by_vm["vm1"].close(max_wait_s=1.0)
            self.assertEqual("run 1", await fleet.send("vm2", "a"))

        _run(test)

    def test_many_calls_share_writes(self) -> None:
        async def test(fleet: Fleet) -> None:
            keys = [f"k{number}" for number in range(300)]
            await asyncio.gather(
                *(fleet.send(VMS[i % 3], key) for i, key in enumerate(keys))
            )
            self.assertEqual({1}, set(fleet.runs_by_key.values()))
            self.assertEqual(300, len(fleet.runs_by_key))
            writes = fleet.store.calls_by_function["compare_and_swap"]
            self.assertLess(writes, 200)

        _run(test)

    @parameterized.expand(
        [
            ("down", Fault(FaultKind.DOWN)),
            ("lost", Fault(FaultKind.REQUEST_LOST)),
            ("answers_lost", Fault(FaultKind.ANSWER_LOST, "compare_and_swap")),
            ("silent", Fault(FaultKind.SILENT)),
        ]
    )
    def test_no_run_without_a_record(self, _name: str, fault: Fault) -> None:
        async def test(fleet: Fleet) -> None:
            fleet.set_faults(fault)
            self.assertIn(
                await fleet.send("vm1", "a"), ("idempotency_unavailable", "run 1")
            )
            is_recorded = bool(fleet.store.get_prefix("idempotency/"))
            self.assertEqual(is_recorded, bool(fleet.runs_by_key["a"]))

        _run(test)

    def test_lost_response_to_the_claim_is_resolved_by_reading(self) -> None:
        async def test(fleet: Fleet) -> None:
            fleet.set_faults(Fault(FaultKind.ANSWER_LOST, "compare_and_swap", times=1))
            self.assertEqual("run 1", await fleet.send("vm1", "a"))
            self.assertEqual("run 1", await fleet.send("vm2", "a"))

        _run(test)

    def test_entries_are_written_directly_while_the_owner_is_silent(self) -> None:
        async def test(fleet: Fleet) -> None:
            fleet.network.silent_topics.add("idempotency.committed")
            for number in range(4):
                for vm in VMS:
                    self.assertEqual("run 1", await fleet.send(vm, f"k{number}"))

        _run(test)


FAULTS = st.sampled_from(
    [
        Fault(FaultKind.DOWN, "compare_and_swap", times=2),
        Fault(FaultKind.REQUEST_LOST, "compare_and_swap", times=1),
        Fault(FaultKind.ANSWER_LOST, "compare_and_swap", times=2),
        Fault(FaultKind.ANSWER_LOST, "get", times=1),
        Fault(FaultKind.LATE, "compare_and_swap", times=1, delay_s=0.07),
        Fault(FaultKind.DOUBLED, "compare_and_swap", times=2, delay_s=0.01),
        Fault(FaultKind.REORDERED, "compare_and_swap", times=1),
    ]
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(VMS),
        st.sampled_from(["a", "b"]),
        st.none() | FAULTS,
        st.sampled_from([(), ("vm1",), ("vm2",)]),
    ),
    min_size=2,
    max_size=5,
)
Steps = list[tuple[str, str, Fault | None, tuple[str, ...]]]


async def _doubled_runs(fleet: Fleet, steps: Steps) -> int:
    """Send all calls concurrently; return how many runs were repeats."""
    sends = []
    for vm, key, fault, cut_off in steps:
        if fault is not None:
            fleet.faults_by_vm[vm].set(fault)
        fleet.network.cut_off = set(cut_off)
        sends.append(fleet.send(vm, key))
    await asyncio.gather(*sends)
    return sum(runs - 1 for runs in fleet.runs_by_key.values())


class AtMostOnceTests(TestCase):
    @settings(max_examples=30)
    @given(steps=STEPS)
    def test_never_twice(self, steps: Steps) -> None:
        self.assertEqual(0, _run(lambda fleet: _doubled_runs(fleet, steps)))

    def test_detects_a_log_that_ignores_the_revision(self) -> None:
        async def careless_append(log: ShardLog, entries: list[object]) -> None:
            """Append entries without regard to the ones already in the log."""
            with mock.patch.object(log, "live_record", return_value=None):
                log.records_by_key.clear()
                await real_append(log, entries)  # type: ignore[arg-type]

        real_append = ShardLog.append
        steps: Steps = [("vm1", "a", None, ()), ("vm1", "a", None, ())]

        async def test(fleet: Fleet) -> int:
            first = await _doubled_runs(fleet, steps[:1])
            return first + await _doubled_runs(fleet, steps[1:])

        self.assertEqual(0, _run(test))
        with mock.patch.object(ShardLog, "append", careless_append):
            self.assertEqual(1, _run(test))
