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
    """A member with its own fault injection in front of the key-value store."""

    def __init__(
        self, *, vm_id: str, store: KeyValueStore, ids: frozenset[str]
    ) -> None:
        loop = asyncio.get_running_loop()
        self.faults = FaultSwitches()
        key_value: KeyValueService = in_process_key_value(store, self.faults)
        self.record: bytes | None = None
        self.leadership = Leadership(
            own_id=vm_id,
            key=KEY,
            lease_s=LEASE_S,
            key_value=key_value,
            clock=loop.time,
            read_record=lambda: self.record,
            member_ids=lambda: ids,
        )
        self.task = asyncio.create_task(self.leadership.run())

    def is_held(self) -> bool:
        return self.leadership.is_held()


class Fleet:
    """Members that see the leadership record with a delay, as through a directory."""

    def __init__(self, *, size: int) -> None:
        ids = frozenset(f"vm-{n}" for n in range(size))
        self.store = KeyValueStore(clock=asyncio.get_running_loop().time)
        self.members = [
            Member(vm_id=vm_id, store=self.store, ids=ids) for vm_id in sorted(ids)
        ]
        self.most_holders = 0
        self.numbers: list[int] = []
        self.task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            found = self.store.get(KEY)
            for member in self.members:
                member.record = found.value if found else None
            holders = [m for m in self.members if m.is_held()]
            self.most_holders = max(self.most_holders, len(holders))
            for holder in holders:
                number = holder.leadership.fencing_number
                if number not in self.numbers:
                    self.numbers.append(number)
            await asyncio.sleep(0.1)

    def holder(self) -> Member | None:
        return next((m for m in self.members if m.is_held()), None)

    async def end(self) -> None:
        tasks = [self.task, *(member.task for member in self.members)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class LeadershipTests(TestCase):
    def test_one_member_holds_and_keeps_the_lease(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=5)
            await asyncio.sleep(3.0)
            first = fleet.holder()
            assert first is not None
            await asyncio.sleep(20.0)
            self.assertIs(first, fleet.holder())
            self.assertEqual(1, fleet.most_holders)
            await fleet.end()

        run_virtual(run())

    def test_another_takes_over_with_a_higher_number(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=5)
            await asyncio.sleep(3.0)
            first = fleet.holder()
            assert first is not None
            first.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(6.0)
            second = fleet.holder()
            assert second is not None
            self.assertIsNot(first, second)
            first.faults.clear()
            await asyncio.sleep(6.0)
            self.assertIs(second, fleet.holder())
            self.assertEqual(1, fleet.most_holders)
            self.assertEqual(sorted(fleet.numbers), fleet.numbers)
            await fleet.end()

        run_virtual(run())

    def test_stopped_holder_acts_no_more_and_is_followed(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=3)
            await asyncio.sleep(3.0)
            first = fleet.holder()
            assert first is not None
            first.leadership.stop()
            self.assertFalse(first.is_held())
            await asyncio.sleep(6.0)
            self.assertIsNotNone(fleet.holder())
            self.assertEqual(1, fleet.most_holders)
            await fleet.end()

        run_virtual(run())

    def test_nobody_holds_it_for_long_without_the_store(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=3)
            await asyncio.sleep(3.0)
            for member in fleet.members:
                member.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(LEASE_S)
            self.assertIsNone(fleet.holder())
            await fleet.end()

        run_virtual(run())

    def test_lost_answers_never_make_two_holders(self) -> None:
        async def run() -> None:
            fleet = Fleet(size=4)
            for member in fleet.members:
                member.faults.set(Fault(FaultKind.ANSWER_LOST, times=3))
            await asyncio.sleep(20.0)
            self.assertIsNotNone(fleet.holder())
            self.assertEqual(1, fleet.most_holders)
            await fleet.end()

        run_virtual(run())
