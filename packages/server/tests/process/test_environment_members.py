"""Tests of environment members and of the scoped key-value service."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.rendezvous import owner_of
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_server.connection.scoped_key_value import scope_key_value
from jaytray_server.process.environment_members import (
    READ_INTERVAL_S,
    UNLISTED_RETENTION_S,
    EnvironmentMembers,
)
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore

ENVIRONMENT_BY_ID = {"vm-1": "production", "vm-2": "production", "vm-3": "trial"}
ENTRIES = [
    VmEntry(vm_id, "a", "b", "zone-a", VmState.LIVE) for vm_id in ENVIRONMENT_BY_ID
]


class Fleet:
    """Three VMs with one key-value service and one virtual clock."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.store = KeyValueStore(clock=lambda: self.now_s)
        self.faults = FaultSwitches()
        self.members_by_id = {vm_id: self.start(vm_id) for vm_id in ENVIRONMENT_BY_ID}

    def start(self, vm_id: str, environment: str = "") -> EnvironmentMembers:
        return EnvironmentMembers(
            vm_id=vm_id,
            environment=environment or ENVIRONMENT_BY_ID[vm_id],
            key_value=in_process_key_value(self.store, self.faults, timeout_s=0.01),
            clock=lambda: self.now_s,
        )

    async def refresh(self, rounds: int = 2) -> None:
        for _round in range(rounds):
            for members in self.members_by_id.values():
                await members.refresh(ENTRIES)
            self.now_s += READ_INTERVAL_S

    def seen_by(self, vm_id: str) -> list[str]:
        found = self.members_by_id[vm_id].in_environment(ENTRIES)
        return [entry.vm_id for entry in found]


class EnvironmentMembersTests(TestCase):
    def test_each_vm_sees_its_environment(self) -> None:
        fleet = Fleet()
        asyncio.run(fleet.refresh())
        self.assertEqual(["vm-1", "vm-2"], fleet.seen_by("vm-1"))
        self.assertEqual(["vm-3"], fleet.seen_by("vm-3"))

    def test_nothing_is_read_while_all_are_known(self) -> None:
        fleet = Fleet()
        asyncio.run(fleet.refresh())
        before = dict(fleet.store.calls_by_function)
        asyncio.run(fleet.refresh(rounds=5))
        self.assertEqual(before, dict(fleet.store.calls_by_function))

    @parameterized.expand(
        [
            ("down", FaultKind.DOWN),
            ("answers lost", FaultKind.ANSWER_LOST),
            ("silent", FaultKind.SILENT),
        ]
    )
    def test_start_in_an_outage(self, _name: str, kind: FaultKind) -> None:
        fleet = Fleet()
        fleet.faults.set(Fault(kind))
        asyncio.run(fleet.refresh())
        self.assertEqual(["vm-1", "vm-2", "vm-3"], fleet.seen_by("vm-1"))
        fleet.faults.clear()
        asyncio.run(fleet.refresh())
        self.assertEqual(["vm-1", "vm-2"], fleet.seen_by("vm-1"))

    def test_vm_that_starts_in_an_outage_is_included_by_the_others(self) -> None:
        fleet = Fleet()
        asyncio.run(fleet.refresh())
        entries = [*ENTRIES, make_entry("vm-4")]
        members = fleet.members_by_id["vm-1"]
        asyncio.run(members.refresh(entries))
        self.assertEqual(2, len(members.in_environment(entries)))
        fleet.faults.set(Fault(FaultKind.DOWN))
        fleet.now_s += READ_INTERVAL_S
        asyncio.run(members.refresh(entries))
        found = [entry.vm_id for entry in members.in_environment(entries)]
        self.assertEqual(["vm-1", "vm-2", "vm-4"], found)

    def test_stale_data_removes_no_vm(self) -> None:
        fleet = Fleet()
        asyncio.run(fleet.refresh())
        fleet.faults.set(Fault(FaultKind.STALE, revision=1))
        members = fleet.members_by_id["vm-1"]
        asyncio.run(members.refresh([*ENTRIES, make_entry("vm-4")]))
        self.assertEqual(["vm-1", "vm-2"], fleet.seen_by("vm-1"))

    def test_unlisted_registrations_are_deleted_after_a_time(self) -> None:
        fleet = Fleet()
        asyncio.run(fleet.refresh())
        # vm-7 never registers, so the other VMs keep reading the registrations.
        listed = [ENTRIES[0], *(make_entry(vm_id) for vm_id in ("vm-5", "vm-7"))]
        running = [fleet.members_by_id["vm-1"], fleet.start("vm-5", "production")]
        ids = {entry.vm_id for entry in listed}
        due = {vm for vm in ("vm-2", "vm-3") if owner_of(vm, ids) != "vm-7"}
        self.assertNotEqual(set(), due)
        for is_past in (False, True):
            for members in running:
                asyncio.run(members.refresh(listed))
            keys = {record.key for record in fleet.store.get_prefix("members/")}
            for vm_id in due:
                self.assertEqual(is_past, f"members/{vm_id}" not in keys)
            self.assertIn("members/vm-1", keys)
            fleet.now_s += UNLISTED_RETENTION_S + 1


def make_entry(vm_id: str) -> VmEntry:
    return VmEntry(vm_id, "a", "b", "zone-a", VmState.LIVE)


class ScopedKeyValueTests(TestCase):
    def test_records_of_scopes_are_apart(self) -> None:
        async def scenario() -> None:
            store = KeyValueStore(clock=lambda: 0.0)
            service = in_process_key_value(store, FaultSwitches(), timeout_s=0.01)
            one = scope_key_value(service, prefix="one/")
            two = scope_key_value(service, prefix="two/")
            await one.compare_and_swap("a/b", 0, b"1", "")
            self.assertIsNone(await two.get("a/b"))
            found = await one.get("a/b")
            self.assertEqual("a/b", found.key if found else "")
            listed = await one.get_prefix("a/")
            self.assertEqual(["a/b"], [record.key for record in listed])
            batch = await one.watch("a/", 0, 0.0)
            self.assertEqual(["a/b"], [record.key for record in batch.records])

        asyncio.run(scenario())
