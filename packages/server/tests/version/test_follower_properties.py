"""Property tests of `DocumentFollower` under random faults, on virtual time."""

import asyncio
import random
from unittest import mock

from hypothesis import given, settings, strategies as st
from testtools import TestCase

from jaytray_core.keyvalue import KeyValueService
from jaytray_server.ports import PeerNetwork
from jaytray_server.version.follower import DocumentFollower
from jaytray_server.version.held_version import HeadComparison, HeldVersion
from jaytray_server.version.service_reader import IN_FORCE_BOUND_S, ServiceReader
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.virtual_loop import run_virtual
from tools.document_fleet import (
    Fleet,
    MakeFollower,
    account_section,
    default_follower,
)

VMS = 4
# One step: (action, VM number, seconds to wait afterwards).
Step = tuple[str, int, float]

SERVICE_FAULTS = {
    "down": Fault(FaultKind.DOWN),
    "slow": Fault(FaultKind.SLOW, delay_s=0.6),
    "watch silent": Fault(FaultKind.SILENT, "watch"),
    "answers lost": Fault(FaultKind.ANSWER_LOST, times=3),
}
OTHER_STEPS = ("apply", "apply", "cut", "heal", "restart", "stale", "double", "clear")
STEPS = st.lists(
    st.tuples(
        st.sampled_from([*SERVICE_FAULTS, *OTHER_STEPS]),
        st.integers(0, VMS - 1),
        st.sampled_from([0.0, 0.05, 1.0, 30.0]),
    ),
    min_size=3,
    max_size=12,
)


class FollowerPropertyTests(TestCase):
    @settings(max_examples=60)
    @given(STEPS)
    def test_versions_only_grow_and_arrive_in_time(self, steps: list[Step]) -> None:
        self.assertEqual([], run_virtual(find_violations(steps, default_follower)))

    def test_a_follower_that_takes_old_heads_is_found_out(self) -> None:
        def compare(
            held: HeldVersion, version: int, body_digest: str
        ) -> HeadComparison:
            is_same = (version, body_digest) == (held.version, held.body_digest)
            return HeadComparison.SAME if is_same else HeadComparison.NEWER

        steps: list[Step] = [("apply", 0, 30.0), ("apply", 0, 30.0), ("stale", 1, 30.0)]
        with mock.patch.object(HeldVersion, "compare", compare):
            violations = run_virtual(find_violations(steps, default_follower))
        self.assertIn("vm-1 went down", "; ".join(violations))

    def test_a_follower_without_its_timer_is_found_out(self) -> None:
        async def no_timer(reader: ServiceReader) -> None:
            await reader.read_head_once()

        steps: list[Step] = [("cut", 1, 0.0), ("watch silent", 1, 30.0)]
        steps += [("watch silent", 1, 0.05), ("apply", 0, 30.0)]
        with mock.patch.object(ServiceReader, "run_timer", no_timer):
            violations = run_virtual(find_violations(steps, default_follower))
        self.assertIn("vm-1 is late", "; ".join(violations))

    def test_a_follower_without_peers_is_found_out(self) -> None:
        def follower_without_handlers(
            key_value: KeyValueService, peers: PeerNetwork, rng: random.Random
        ) -> DocumentFollower:
            alone = peers._replace(set_handler=lambda _topic, _handler: None)
            return default_follower(key_value, alone, rng)

        steps: list[Step] = [("down", 2, 0.0), ("apply", 0, 30.0)]
        violations = run_virtual(find_violations(steps, follower_without_handlers))
        self.assertIn("vm-2 is late", "; ".join(violations))


async def find_violations(steps: list[Step], make_follower: MakeFollower) -> list[str]:
    """Run the steps, then apply one more version and wait for the bound.

    Each VM that reads current data from the service at that point, or that has such a
    VM as a neighbour, must then run this version. Versions must never decrease.
    """
    fleet = Fleet(vms=VMS, make_follower=make_follower)
    fleet.start(fleet.vm_ids)
    await apply_next(fleet)
    await asyncio.sleep(IN_FORCE_BOUND_S)
    for what, number, wait_s in steps:
        await run_step(fleet, what, f"vm-{number}")
        await asyncio.sleep(wait_s)
    version = await apply_next(fleet)
    expected_vms = [vm_id for vm_id in fleet.vm_ids if must_have_version(fleet, vm_id)]
    await asyncio.sleep(IN_FORCE_BOUND_S)
    found = fleet.versions()
    late = [f"{vm} is late: {found[vm]}" for vm in expected_vms if found[vm] != version]
    await fleet.stop(fleet.vm_ids)
    return late + order_violations(fleet)


async def run_step(fleet: Fleet, what: str, vm_id: str) -> None:
    """Change the faults, apply a version or restart a VM."""
    faults = fleet.faults_by_vm[vm_id]
    if what in SERVICE_FAULTS:
        faults.set(SERVICE_FAULTS[what])
    elif what == "stale":
        revision = max(1, fleet.store.revision - 4)
        faults.set(Fault(FaultKind.STALE, revision=revision, times=5))
    elif what == "apply":
        await apply_next(fleet)
    elif what == "cut":
        fleet.network.cut_off.add(vm_id)
    elif what == "heal":
        fleet.network.cut_off.discard(vm_id)
    elif what == "restart":
        await fleet.stop([vm_id])
        fleet.start([vm_id])
    elif what == "double":
        fleet.network.duplicates_messages = not fleet.network.duplicates_messages
    else:
        faults.clear()


async def apply_next(fleet: Fleet) -> int:
    """Apply a body that differs from all previous ones and return its version."""
    rate = 1 + fleet.store.revision
    return (await fleet.apply([account_section("a", rate)])).version


def must_have_version(fleet: Fleet, vm_id: str) -> bool:
    """Return whether this VM must have the version within the bound."""
    if reads_service(fleet, vm_id):
        return True
    neighbours = fleet.network.neighbours(vm_id)
    return any(reads_service(fleet, neighbour) for neighbour in neighbours)


def reads_service(fleet: Fleet, vm_id: str) -> bool:
    """Return whether reads by this VM return current data in time."""
    hindering = {FaultKind.DOWN, FaultKind.STALE, FaultKind.ANSWER_LOST}
    active = fleet.faults_by_vm[vm_id].active()
    slow = [fault for fault in active if fault.kind is FaultKind.SLOW]
    return not slow and all(fault.kind not in hindering for fault in active)


def order_violations(fleet: Fleet) -> list[str]:
    """Return the faults in the order and the bodies of adopted versions."""
    violations = []
    highest: dict[tuple[str, int], int] = {}
    digest_by_version: dict[int, str] = {}
    for vm_id, boot, version, digest in fleet.changes:
        if version <= highest.get((vm_id, boot), 0):
            violations.append(f"{vm_id} went down to {version}")
        highest[vm_id, boot] = version
        if digest_by_version.setdefault(version, digest) != digest:
            violations.append(f"{vm_id} has another body of {version}")
    return violations
