"""Tests of `DocumentFollower`: specific faults in a small fleet, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

from parameterized import parameterized
from testtools import TestCase

from jaytray_core import codec
from jaytray_core.document import store
from jaytray_core.document.model import Document
from jaytray_core.document.parts import encode_head, make_body
from jaytray_core.document.sections import Section
from jaytray_server.version import peer_messages as wire
from jaytray_server.version.service_reader import IN_FORCE_BOUND_S
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.virtual_loop import run_virtual
from tools.document_fleet import ENVIRONMENT, Fleet, account_section

VMS = 6
HOUR_S = 3600.0
DOWN = Fault(FaultKind.DOWN)


def body(value: int) -> list[Section]:
    """Return a body that depends on `value`."""
    return [account_section("changing", 1 + value), account_section("fixed", 1)]


def raise_error(document: Document) -> None:
    """Raise an error, as a faulty subsystem's callback would."""
    raise ValueError(document.version)


def set_fault_on_all(
    fleet: Fleet, fault: Fault, *, except_for: tuple[str, ...] = ()
) -> None:
    """Switch a fault on for all VMs except `except_for`."""
    for vm_id, switches in fleet.faults_by_vm.items():
        if vm_id not in except_for:
            switches.set(fault)


def clear_all(fleet: Fleet) -> None:
    """Switch all faults off."""
    for switches in fleet.faults_by_vm.values():
        switches.clear()


async def watches_silent(fleet: Fleet) -> None:
    """Watches never return and VMs are cut off from each other: only timers work."""
    set_fault_on_all(fleet, Fault(FaultKind.SILENT, "watch"))
    fleet.network.cut_off.update(fleet.vm_ids)
    await asyncio.sleep(100)


async def watches_late(fleet: Fleet) -> None:
    """Watches return after a long delay, and messages between VMs are duplicated."""
    set_fault_on_all(fleet, Fault(FaultKind.LATE, "watch", delay_s=20))
    fleet.network.duplicates_messages = True
    await asyncio.sleep(100)


async def service_seen_by_one(fleet: Fleet) -> None:
    """Only one VM reaches the service; the others depend on messages between VMs."""
    set_fault_on_all(fleet, DOWN, except_for=("vm-3",))
    await asyncio.sleep(30)


async def service_slow(fleet: Fleet) -> None:
    """Every response takes 0.7 s."""
    set_fault_on_all(fleet, Fault(FaultKind.SLOW, delay_s=0.7))
    await asyncio.sleep(100)


async def no_peers(fleet: Fleet) -> None:
    """VMs are cut off from each other."""
    fleet.network.cut_off.update(fleet.vm_ids)


async def restart_of_all(fleet: Fleet) -> None:
    """All VMs restart at once."""
    await fleet.stop(fleet.vm_ids)
    fleet.start(fleet.vm_ids)


async def long_outage_before(fleet: Fleet) -> None:
    """The service was down for an hour and has just recovered."""
    set_fault_on_all(fleet, DOWN)
    await asyncio.sleep(HOUR_S)
    clear_all(fleet)


async def restarted_in_outage(fleet: Fleet) -> None:
    """One VM restarts while the service is down for it alone."""
    fleet.faults_by_vm["vm-1"].set(DOWN)
    await fleet.stop(["vm-1"])
    fleet.start(["vm-1"])


# Injects a fault into the fleet.
InjectFault = Callable[[Fleet], Awaitable[None]]

BOUND_CASES: list[tuple[str, InjectFault]] = [
    (f.__name__, f)
    for f in (
        watches_silent,
        watches_late,
        service_seen_by_one,
        service_slow,
        no_peers,
        restart_of_all,
        long_outage_before,
        restarted_in_outage,
    )
]


class FollowerTests(TestCase):
    @parameterized.expand(BOUND_CASES)
    def test_version_is_in_force_within_the_bound(
        self, _name: str, inject_fault: InjectFault
    ) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=VMS)
            fleet.start(fleet.vm_ids)
            await fleet.apply(body(1))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            await inject_fault(fleet)
            await fleet.apply(body(2))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            self.assertEqual(dict.fromkeys(fleet.vm_ids, 2), fleet.versions())
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())

    def test_vm_starting_in_an_outage_takes_the_document_from_vms(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=VMS)
            fleet.start(fleet.vm_ids)
            await fleet.apply(body(1))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            set_fault_on_all(fleet, DOWN)
            await asyncio.sleep(HOUR_S)
            await fleet.stop(["vm-0", "vm-1"])
            fleet.start(["vm-0", "vm-1"])
            await asyncio.sleep(IN_FORCE_BOUND_S)
            self.assertEqual(dict.fromkeys(fleet.vm_ids, 1), fleet.versions())
            accounts = fleet.followers["vm-0"].current().accounts_by_name
            self.assertEqual({"changing", "fixed"}, set(accounts))
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())

    def test_old_data_after_an_outage_changes_nothing(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=VMS)
            fleet.start(fleet.vm_ids)
            await fleet.apply(body(1))
            old_revision = fleet.store.revision
            await fleet.apply(body(2))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            set_fault_on_all(fleet, Fault(FaultKind.STALE, revision=old_revision))
            await asyncio.sleep(HOUR_S)
            self.assertEqual(dict.fromkeys(fleet.vm_ids, 2), fleet.versions())
            await fleet.stop(["vm-0"])
            fleet.start(["vm-0"])
            await asyncio.sleep(IN_FORCE_BOUND_S)
            self.assertEqual(2, fleet.versions()["vm-0"])
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())

    def test_partition_heals(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=VMS)
            fleet.start(fleet.vm_ids)
            await fleet.apply(body(1))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            isolated = ("vm-4", "vm-5")
            fleet.network.cut_off.update(isolated)
            for vm_id in isolated:
                fleet.faults_by_vm[vm_id].set(DOWN)
            await fleet.apply(body(2))
            await asyncio.sleep(HOUR_S)
            self.assertEqual([2, 2, 2, 2, 1, 1], list(fleet.versions().values()))
            fleet.network.cut_off.clear()
            await asyncio.sleep(IN_FORCE_BOUND_S)
            self.assertEqual(dict.fromkeys(fleet.vm_ids, 2), fleet.versions())
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())

    def test_change_that_does_not_build_is_refused_whole(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=2)
            fleet.start(fleet.vm_ids)
            await fleet.apply(body(1))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            before = fleet.followers["vm-0"].current()
            await fleet.apply([*body(2), Section("from_the_future x", {})])
            await asyncio.sleep(IN_FORCE_BOUND_S)
            follower = fleet.followers["vm-0"]
            self.assertIs(before, follower.current())
            status = follower.status()
            self.assertEqual((2, 1), (status["rejected_version"], status["alarms"]))
            await fleet.apply(body(3))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            self.assertEqual({"vm-0": 3, "vm-1": 3}, fleet.versions())
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())

    def test_same_version_with_another_body_is_an_alarm(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=2)
            fleet.start(fleet.vm_ids)
            head = await fleet.apply(body(1))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            other = make_body(body(9))
            contradiction = head._replace(body_digest=other.body_digest)
            key = store.head_key(ENVIRONMENT)
            record = fleet.store.get(key)
            assert record is not None
            value = encode_head(contradiction)
            fleet.store.compare_and_swap(key, record.revision, value, "")
            await asyncio.sleep(IN_FORCE_BOUND_S)
            status = fleet.followers["vm-0"].status()
            self.assertEqual(head.body_digest, status["body_digest"])
            self.assertTrue(status["alarms"] > 0)
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())

    def test_failing_callback_stops_neither_others_nor_following(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=1)
            fleet.start(fleet.vm_ids)
            follower = fleet.followers["vm-0"]
            seen: list[int] = []
            follower.on_change(raise_error)
            follower.on_change(lambda document: seen.append(document.version))
            await fleet.apply(body(1))
            await fleet.apply(body(2))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            self.assertEqual(2, seen[-1])
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())

    def test_head_whose_parts_nobody_has_does_not_block_the_next(self) -> None:
        async def scenario() -> None:
            fleet = Fleet(vms=2)
            fleet.start(fleet.vm_ids)
            head = await fleet.apply(body(1))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            nowhere = make_body(body(77))
            bogus = head._replace(version=1000, body_digest=nowhere.body_digest)
            message = codec.encode_msgpack(wire.HeadMessage(bogus))
            fleet.network.deliver_later("vm-1", "vm-0", wire.HEAD_TOPIC, message)
            await asyncio.sleep(IN_FORCE_BOUND_S)
            self.assertEqual(1, fleet.versions()["vm-0"])
            head = await fleet.apply(body(2))
            await asyncio.sleep(IN_FORCE_BOUND_S)
            status = fleet.followers["vm-0"].status()
            self.assertEqual(head.body_digest, status["body_digest"])
            await fleet.stop(fleet.vm_ids)

        run_virtual(scenario())
