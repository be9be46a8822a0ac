"""Tests of the share table and of one VM's own share."""

import asyncio

from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_server.process.limits.share_table import (
    TOTAL_PARTS,
    ShareTable,
    claim,
    create_table,
    decode_table,
    give_away,
    spread_parts,
)
from jaytray_server.process.limits.shares import SHARES_KEY, OwnShare
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore

SETTLE_S = 20.0


def total(table: ShareTable) -> int:
    """Return the sum of all parts."""
    return sum(entry.parts for entry in table.entries_by_vm.values())


class ShareTableTests(TestCase):
    @given(st.integers(1, 40), st.data())
    def test_changes_keep_the_sum(self, vms: int, data: st.DataObject) -> None:
        names = [f"vm-{number}" for number in range(vms)]
        table = create_table(names)
        self.assertEqual(TOTAL_PARTS, total(table))
        gone = data.draw(st.sets(st.sampled_from(names), max_size=vms - 1))
        table = claim(table, gone, [name for name in names if name not in gone])
        self.assertEqual(TOTAL_PARTS, total(table))
        giver = next(iter(table.entries_by_vm))
        parts = data.draw(st.integers(0, table.entries_by_vm[giver].parts))
        table = give_away(table, giver, {"vm-new": parts})
        self.assertEqual(TOTAL_PARTS, total(table))
        self.assertNotIn(-1, {min(e.parts, 0) for e in table.entries_by_vm.values()})

    @given(
        st.integers(0, 1000),
        st.dictionaries(st.text(max_size=3), st.integers(0, 300), min_size=1),
    )
    def test_spread_raises_the_poorest(self, parts: int, owned: dict[str, int]) -> None:
        given_parts = spread_parts(parts, owned)
        self.assertEqual(parts, sum(given_parts.values()))
        after = {vm: owned[vm] + given_parts.get(vm, 0) for vm in owned}
        if given_parts:
            raised = [after[vm] for vm in given_parts]
            self.assertLessEqual(max(raised), min(after.values()) + 1)

    def test_only_owned_parts_can_be_given(self) -> None:
        table = create_table(["a", "b"])
        self.assertRaises(ValueError, give_away, table, "a", {"b": TOTAL_PARTS})


class OwnShareTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.store = KeyValueStore(clock=lambda: self.now, sleep=self.no_sleep)
        self.faults = FaultSwitches()

    async def no_sleep(self, _seconds: float) -> None:
        return None

    def share(self, vm_id: str, incarnation: str) -> OwnShare:
        return OwnShare(
            vm_id=vm_id,
            incarnation=incarnation,
            key_value=self.key_value(),
            clock=lambda: self.now,
            settle_s=SETTLE_S,
            on_parts=lambda _parts: None,
        )

    def key_value(self) -> KeyValueService:
        return in_process_key_value(self.store, self.faults)

    async def started(self, vm_id: str, incarnation: str) -> OwnShare:
        share = self.share(vm_id, incarnation)
        if await share.read() is None:
            await share.create(["a", "b"])
        await share.register()
        return share

    @parameterized.expand(
        [
            ("answer_lost", FaultKind.ANSWER_LOST, 3 * TOTAL_PARTS // 4),
            ("request_lost", FaultKind.REQUEST_LOST, 3 * TOTAL_PARTS // 4),
            ("service_down", FaultKind.DOWN, TOTAL_PARTS // 2),
        ]
    )
    def test_transfer_is_settled_after(
        self, _name: str, kind: FaultKind, receiver_parts: int
    ) -> None:
        async def scenario() -> None:
            donor = await self.started("a", "one")
            self.faults.set(Fault(kind, "compare_and_swap", times=1))
            try:
                await donor.give_away({"b": TOTAL_PARTS // 4})
            except JaytrayError:
                lowered = receiver_parts != TOTAL_PARTS // 2
                expected = TOTAL_PARTS // 4 if lowered else TOTAL_PARTS // 2
                self.assertLessEqual(donor.parts, expected)
            await donor.settle_transfer()
            receiver = await self.started("b", "two")
            self.assertEqual(receiver_parts, receiver.parts)
            self.assertLessEqual(donor.parts + receiver.parts, TOTAL_PARTS)

        asyncio.run(scenario())

    def test_new_process_waits_until_old_loans_have_expired(self) -> None:
        async def scenario() -> None:
            await self.started("a", "one")
            restarted = await self.started("a", "two")
            self.assertEqual(0, restarted.parts)
            self.now = SETTLE_S
            restarted.apply_due_increase()
            self.assertEqual(TOTAL_PARTS // 2, restarted.parts)

        asyncio.run(scenario())

    def test_write_of_an_earlier_process_fails(self) -> None:
        async def scenario() -> None:
            old = await self.started("a", "one")
            await self.started("a", "two")
            self.assertFalse(await old.give_away({"b": 1}))
            self.assertEqual(0, old.parts)
            self.assertEqual(TOTAL_PARTS // 2, self.parts_recorded("a"))

        asyncio.run(scenario())

    def parts_recorded(self, vm_id: str) -> int:
        record = self.store.get(SHARES_KEY)
        assert record is not None
        return decode_table(record.value).entries_by_vm[vm_id].parts
