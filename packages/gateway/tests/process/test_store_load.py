"""Tests of what a fleet costs the key-value service, in virtual time.

A lease renewal counts as a tenth of a call, as on the users' platform. The bound is the
one asked for the large fleet: 0.8 calls a second and member.
"""

import asyncio

from testtools import TestCase

from jaytray_core.tasks import wait_until_set
from jaytray_gateway.process.store_reach import RETRY_PAUSE_S, StoreReach
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.directory_fleet import (
    BOUND_S,
    MAX_AGE_S,
    HubFleet,
)

MAX_CALLS_PER_S = 0.8
RENEWAL_PRICE = 0.1
SETTLE_S = 6.0
# Members of a fleet of which each is played.
FLEET = 24


class ImpatientReach(StoreReach):
    """Repeats each failed call after the same pause."""

    async def wait_to_retry(self) -> None:
        await asyncio.sleep(RETRY_PAUSE_S)


def calls_per_s(fleet: HubFleet, duration_s: float) -> float:
    """Return the calls per second and member since the last reset."""
    cost = len(fleet.calls) + RENEWAL_PRICE * fleet.renewals
    return cost / duration_s / len(fleet.members)


async def calls_in_outage(reach_class: type[StoreReach]) -> float:
    """Return the calls per second and member while the store refuses all of them."""
    fleet = HubFleet(members=FLEET, has_groups=True, reach_class=reach_class)
    await asyncio.sleep(SETTLE_S)
    for member in fleet.members:
        member.faults.set(Fault(FaultKind.DOWN))
    fleet.reset()
    await asyncio.sleep(6.0)
    cost = calls_per_s(fleet, 6.0)
    await fleet.end()
    return cost


class StoreLoadTests(TestCase):
    def test_steady_fleet_has_two_watching_members_at_most(self) -> None:
        async def check() -> None:
            fleet = HubFleet(members=FLEET, has_groups=True)
            await asyncio.sleep(SETTLE_S)
            fleet.reset()
            await asyncio.sleep(20.0)
            self.assertLess(calls_per_s(fleet, 20.0), MAX_CALLS_PER_S / 2)
            watching = {c.member for c in fleet.calls if c.function == "watch"}
            self.assertLessEqual(len(watching), 2)
            # No member has to watch by itself.
            self.assertLess(max(fleet.max_age_s_by_id.values()), BOUND_S / 2)
            await fleet.end()
            self.assertEqual([], fleet.false_ages)

        run_virtual(check())

    def test_outage_does_not_multiply_calls(self) -> None:
        self.assertLess(run_virtual(calls_in_outage(StoreReach)), MAX_CALLS_PER_S)
        self.assertGreater(
            run_virtual(calls_in_outage(ImpatientReach)), MAX_CALLS_PER_S
        )

    def test_copies_are_young_soon_after_an_outage(self) -> None:
        async def check() -> None:
            fleet = HubFleet(members=FLEET, has_groups=True)
            await asyncio.sleep(SETTLE_S)
            for member in fleet.members:
                member.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(5.3)
            for member in fleet.members:
                member.faults.clear()
            await asyncio.sleep(1.0)
            oldest_s = max(member.directory.age_s() for member in fleet.members)
            await fleet.end()
            self.assertLess(oldest_s, 1.0)

        run_virtual(check())

    def test_members_stay_current_without_the_sources(self) -> None:
        # Sources that the store rejects, that are frozen, and that are cut off.
        async def check() -> None:
            fleet = HubFleet(members=FLEET, has_groups=True)
            await asyncio.sleep(SETTLE_S)
            watching = {c.member for c in fleet.calls[-40:] if c.function == "watch"}
            sources = [m for m in fleet.members if m.own_id in watching]
            others = [m for m in fleet.members if m.own_id not in watching]
            fleet.reset()
            for source in sources:
                source.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(6.0)
            for source in sources:
                source.faults.clear()
            await asyncio.gather(*(source.freeze(6.0) for source in sources))
            oldest_s = max(fleet.max_age_s_by_id[m.own_id] for m in others)
            await fleet.end()
            self.assertLess(oldest_s, MAX_AGE_S)
            self.assertEqual([], fleet.false_ages)

        run_virtual(check())


class StoreReachTests(TestCase):
    def test_any_success_ends_the_wait(self) -> None:
        async def check() -> None:
            fleet = HubFleet(members=1, has_hubs=False)
            await asyncio.sleep(1.0)
            (member,) = fleet.members
            member.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(1.5)
            self.assertTrue(await wait_until_set(member.reach.lost, 0.0))
            member.faults.clear()
            begun_s = fleet.clock()
            await member.reach.wait_to_retry()
            self.assertLess(fleet.clock() - begun_s, 2 * RETRY_PAUSE_S + 0.1)
            await fleet.end()

        run_virtual(check())
