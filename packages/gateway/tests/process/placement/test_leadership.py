"""Tests that there is one placement leader at a time, with rising fencing numbers."""

import asyncio

from testtools import TestCase

from jaytray_core.keyvalue import KeyValueService
from jaytray_gateway.process.placement.leadership import Leadership
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual

KEY = "own/placement"
LEASE_S = 3.0


class Member:
    """A member with its own fault injection in front of the key-value service."""

    def __init__(
        self, *, vm_id: str, store: KeyValueStore, ids: frozenset[str]
    ) -> None:
        loop = asyncio.get_running_loop()
        self.faults = FaultSwitches()
        key_value: KeyValueService = in_process_key_value(store, self.faults)
        self.record: bytes | None = None
        self.reaches_targets = True
        self.leadership = Leadership(
            own_id=vm_id,
            key=KEY,
            lease_s=LEASE_S,
            key_value=key_value,
            clock=loop.time,
            read_record=lambda: self.record,
            member_ids=lambda: ids,
            restored_at_s=lambda: -float("inf"),
            reaches_targets=lambda: self.reaches_targets,
            fencing_base=lambda: 0,
        )
        self.task = asyncio.create_task(self.leadership.run())

    def is_leader(self) -> bool:
        return self.leadership.is_leader()


class Fleet:
    """Members that see the leadership record with a delay, as through a directory."""

    def __init__(self, *, size: int) -> None:
        ids = frozenset(f"vm-{n}" for n in range(size))
        self.store = KeyValueStore(clock=asyncio.get_running_loop().time)
        self.members = [
            Member(vm_id=vm_id, store=self.store, ids=ids) for vm_id in sorted(ids)
        ]
        self.max_leaders = 0
        self.fencing_numbers: list[int] = []
        self.task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            found = self.store.get(KEY)
            for member in self.members:
                member.record = found.value if found else None
            leaders = [m for m in self.members if m.is_leader()]
            self.max_leaders = max(self.max_leaders, len(leaders))
            for leader in leaders:
                number = leader.leadership.fencing_number
                if number not in self.fencing_numbers:
                    self.fencing_numbers.append(number)
            await asyncio.sleep(0.1)

    def leader(self) -> Member | None:
        return next((m for m in self.members if m.is_leader()), None)

    async def end(self) -> None:
        tasks = [self.task, *(member.task for member in self.members)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class LeadershipTests(TestCase):
    def test_one_member_takes_and_renews_the_lease(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=5)
            await asyncio.sleep(3.0)
            first = fleet.leader()
            assert first is not None
            await asyncio.sleep(20.0)
            self.assertIs(first, fleet.leader())
            self.assertEqual(1, fleet.max_leaders)
            await fleet.end()

        run_virtual(run())

    def test_successor_has_a_higher_fencing_number(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=5)
            await asyncio.sleep(3.0)
            first = fleet.leader()
            assert first is not None
            first.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(6.0)
            second = fleet.leader()
            assert second is not None
            self.assertIsNot(first, second)
            first.faults.clear()
            await asyncio.sleep(6.0)
            self.assertIs(second, fleet.leader())
            self.assertEqual(1, fleet.max_leaders)
            self.assertEqual(sorted(fleet.fencing_numbers), fleet.fencing_numbers)
            await fleet.end()

        run_virtual(run())

    def test_stopped_leader_is_replaced(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=3)
            await asyncio.sleep(3.0)
            first = fleet.leader()
            assert first is not None
            first.leadership.stop()
            self.assertFalse(first.is_leader())
            await asyncio.sleep(6.0)
            self.assertIsNotNone(fleet.leader())
            self.assertEqual(1, fleet.max_leaders)
            await fleet.end()

        run_virtual(run())

    def test_member_that_reaches_no_target_leaves_the_lease_to_others(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=3)
            await asyncio.sleep(3.0)
            first = fleet.leader()
            assert first is not None
            first.reaches_targets = False
            await asyncio.sleep(4.0)
            second = fleet.leader()
            assert second is not None
            self.assertIsNot(first, second)
            second.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(4.0)
            self.assertNotIn(fleet.leader(), (None, first, second))
            self.assertEqual(1, fleet.max_leaders)
            self.assertEqual(sorted(fleet.fencing_numbers), fleet.fencing_numbers)
            await fleet.end()

        run_virtual(run())

    def test_leadership_ends_within_the_lease_without_the_store(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=3)
            await asyncio.sleep(3.0)
            for member in fleet.members:
                member.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(LEASE_S)
            self.assertIsNone(fleet.leader())
            await fleet.end()

        run_virtual(run())

    def test_lost_responses_never_make_two_leaders(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=4)
            for member in fleet.members:
                member.faults.set(Fault(FaultKind.ANSWER_LOST, times=3))
            await asyncio.sleep(20.0)
            self.assertIsNotNone(fleet.leader())
            self.assertEqual(1, fleet.max_leaders)
            await fleet.end()

        run_virtual(run())
