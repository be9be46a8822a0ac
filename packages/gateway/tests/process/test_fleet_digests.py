"""Tests of digests between members of a simulated fleet, in virtual time."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.fleet_digests import (
    INTERVAL_S_PER_MEMBER,
    MAX_INTERVAL_S,
    SILENT_HUB_S,
)
from jaytray_gateway.process.hub_demand import RATES_TTL_S
from jaytray_gateway.process.load_view import PEER_REPORT_TTL_S, TargetLoad
from jaytray_gateway.process.member_messages import (
    REPORT_INTERVAL_S,
    REPORT_S_PER_MEMBER,
)
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.hub_fleet import HubFleet

# Time after which a figure is known to all: from a member to its hub, to the other
# hubs, and to their members.
SPREAD_S = 3 * MAX_INTERVAL_S
# Time after which all members have found their hubs.
SETTLED_S = 3.0


def run_fleet(
    count: int, check: Callable[[HubFleet], Awaitable[None]], *, seed: int = 1
) -> None:
    """Run a check on a settled fleet in which each member has one request at `t`."""

    async def scenario() -> None:
        fleet = HubFleet(count, seed=seed)
        for member in fleet.by_id.values():
            member.start_requests(1)
        await asyncio.sleep(SETTLED_S)
        await check(fleet)
        await fleet.end()

    run_virtual(scenario())


class FleetDigestTests(TestCase):
    def check_counts(self, fleet: HubFleet, expected: int) -> None:
        counts = {own: member.running() for own, member in fleet.by_id.items()}
        self.assertEqual(dict.fromkeys(counts, expected), counts)

    @parameterized.expand([(16,), (59,), (89,)])
    def test_each_member_knows_the_load_of_the_fleet(self, count: int) -> None:
        """Guards against a member counting its own requests twice, or not at all."""

        async def check(fleet: HubFleet) -> None:
            self.check_counts(fleet, count)
            member = fleet.by_id["gw-003"]
            self.assertEqual(
                TargetLoad(count, {1: 10 * count}), member.loads.load_of("t")
            )
            member.start_requests(5)
            self.assertEqual(count + 5, member.running())
            await asyncio.sleep(SPREAD_S)
            self.check_counts(fleet, count + 5)
            for number in range(1, 7):
                member.loads.finish("t", number)
            self.assertEqual(count - 1, member.running())
            await asyncio.sleep(SPREAD_S)
            self.check_counts(fleet, count - 1)

        run_fleet(count, check)

    @parameterized.expand([(16,), (24,), (59,), (89,)])
    def test_figures_are_as_fresh_as_direct_reports(self, count: int) -> None:
        """Guards against hops that wait for each other."""

        async def check(fleet: HubFleet) -> None:
            delays_s = []
            clock = asyncio.get_running_loop().time
            for source in fleet.ids[:12]:
                begun_s = clock()
                fleet.by_id[source].start_requests(1, target=source)
                waiting = set(fleet.ids) - {source}
                while waiting:
                    await asyncio.sleep(0.02)
                    known = {o for o in waiting if fleet.by_id[o].running(source)}
                    waiting -= known
                    delays_s += [clock() - begun_s] * len(known)
            direct_s = max(REPORT_INTERVAL_S, REPORT_S_PER_MEMBER * (count - 1))
            # Each message takes 0.02 s at most, and two hops are added.
            hops_s = 2 * fleet.network.delays_s[1] + 0.02
            self.assertLessEqual(sum(delays_s) / len(delays_s), direct_s / 2 + hops_s)
            self.assertLessEqual(max(delays_s), direct_s + hops_s)

        run_fleet(count, check)

    @parameterized.expand([(16,), (59,), (89,), (300,)])
    def test_messages_grow_with_the_square_root(self, count: int) -> None:
        async def check(fleet: HubFleet) -> None:
            network = fleet.network
            network.sent_by_member.clear()
            network.received_by_member.clear()
            intervals = 20
            interval_s = min(MAX_INTERVAL_S, INTERVAL_S_PER_MEMBER * count)
            await asyncio.sleep(intervals * interval_s)
            # Each member sent one report to each other at this interval before.
            direct_s = max(REPORT_INTERVAL_S, REPORT_S_PER_MEMBER * (count - 1))
            sent = network.sent_by_member.total() / count / (intervals * interval_s)
            self.assertLessEqual(sent, (count - 1) / direct_s / 2)
            if count > 50:
                self.assertLessEqual(sent, (count - 1) / direct_s / 5)
            for counter in (network.sent_by_member, network.received_by_member):
                self.assertLessEqual(counter.total() / count / intervals, 4)
                self.assertLessEqual(max(counter.values()) / intervals, 3 * count**0.5)

        run_fleet(count, check)

    def test_lost_hub_is_replaced_by_the_other_one(self) -> None:
        async def check(fleet: HubFleet) -> None:
            first = fleet.hubs()[0]
            second = fleet.by_id[first].topology.own_hubs()[1]
            fleet.lose(first)
            await asyncio.sleep(SILENT_HUB_S + PEER_REPORT_TTL_S + SPREAD_S)
            # The record is still there.
            self.check_counts(fleet, 58)
            self.assertIn(second, fleet.hubs())
            fleet.list_members([own for own in fleet.ids if own != first])
            await asyncio.sleep(SPREAD_S)
            self.check_counts(fleet, 58)

        run_fleet(59, check)

    @parameterized.expand([(seed,) for seed in range(3)])
    def test_no_member_is_without_figures_when_a_hub_is_lost(self, seed: int) -> None:
        """Guards against a hub that takes over later than the last figures expire."""

        async def check(fleet: HubFleet) -> None:
            first = fleet.hubs()[0]
            group = fleet.members_of(first)
            fleet.lose(first)
            for _ in range(50):
                await asyncio.sleep(0.1)
                for member in fleet.by_id.values():
                    self.assertGreaterEqual(member.running(), 58 - len(group))
                    self.assertLessEqual(member.running(), 59 + len(group))

        run_fleet(59, check, seed=seed)

    def test_woken_hub_serves_its_group_again(self) -> None:
        """Guards against members that stay away, and figures that count twice."""

        async def check(fleet: HubFleet) -> None:
            hub = fleet.hubs()[0]
            await fleet.freeze(hub, 4.0)
            await asyncio.sleep(PEER_REPORT_TTL_S + 2 * SPREAD_S)
            self.check_counts(fleet, 59)
            self.assertIn(hub, fleet.hubs())
            self.assertEqual(
                set(fleet.members_of(hub)), set(fleet.by_id[hub].digests.reporters())
            )

        run_fleet(59, check)

    def test_figures_of_a_group_that_is_cut_off_expire(self) -> None:
        async def check(fleet: HubFleet) -> None:
            hub = fleet.hubs()[0]
            group = {hub, *fleet.members_of(hub)}
            fleet.network.cut_off |= group
            await asyncio.sleep(PEER_REPORT_TTL_S + SPREAD_S)
            for own, member in fleet.by_id.items():
                expected = 1 if own in group else 59 - len(group)
                self.assertEqual(expected, member.running())
            fleet.network.cut_off.clear()
            await asyncio.sleep(PEER_REPORT_TTL_S + SETTLED_S)
            self.check_counts(fleet, 59)

        run_fleet(59, check)

    @parameterized.expand([(True,), (False,)])
    def test_restarted_member_counts_with_its_new_requests(self, is_hub: bool) -> None:
        """Guards against the requests of an earlier process under the same id."""

        async def check(fleet: HubFleet) -> None:
            hub = fleet.hubs()[0]
            own = hub if is_hub else fleet.members_of(hub)[0]
            fleet.lose(own)
            fleet.network.cut_off.clear()
            fleet.by_id[own] = fleet.start_member(own, boot_epoch_ms=2)
            fleet.list_members(fleet.ids)
            fleet.by_id[own].start_requests(3)
            await asyncio.sleep(SETTLED_S + PEER_REPORT_TTL_S)
            self.check_counts(fleet, 61)

        run_fleet(59, check)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_late_doubled_and_lost_messages(self, seed: int) -> None:
        """Direct reports in such a network are missing for a tenth of the members."""

        async def check(fleet: HubFleet) -> None:
            network = fleet.network
            network.doubled, network.loss, network.delays_s = 0.2, 0.1, (0.0, 0.3)
            counts = []
            for _ in range(40):
                await asyncio.sleep(0.25)
                counts += [member.running() for member in fleet.by_id.values()]
            self.assertAlmostEqual(59, sum(counts) / len(counts), delta=5.9)
            self.assertLessEqual(max(counts), 59 * 1.25)
            far_off = [count for count in counts if abs(count - 59) > 15]
            self.assertLessEqual(len(far_off) / len(counts), 0.01)
            network.doubled, network.loss, network.delays_s = 0.0, 0.0, (0.0, 0.02)
            await asyncio.sleep(PEER_REPORT_TTL_S + SETTLED_S)
            self.check_counts(fleet, 59)

        run_fleet(59, check, seed=seed)

    def test_views_of_the_membership_differ(self) -> None:
        """Guards against reports that are lost at a member which is not a hub."""

        async def check(fleet: HubFleet) -> None:
            hub = fleet.hubs()[0]
            others = [own for own in fleet.ids if own != hub]
            # A third of the members does not see the hub's record, the hub neither.
            for own in (*fleet.ids[::3], hub):
                fleet.by_id[own].topology.update(others)
            await asyncio.sleep(PEER_REPORT_TTL_S + SETTLED_S)
            self.check_counts(fleet, 59)
            # A member that sees too few for groups of its own.
            fleet.by_id[hub].topology.update(fleet.ids[:3])
            await asyncio.sleep(PEER_REPORT_TTL_S + SETTLED_S)
            del fleet.by_id[hub]
            self.check_counts(fleet, 58)

        run_fleet(59, check)

    def test_members_that_come_and_go(self) -> None:
        async def check(fleet: HubFleet) -> None:
            for count in (57, 56, 57, 59):
                for own in fleet.ids[count:]:
                    fleet.by_id[own].loads.finish("t", 1)
                fleet.list_members(fleet.ids[:count])
                await asyncio.sleep(PEER_REPORT_TTL_S + SPREAD_S)
                for own in fleet.ids[:count]:
                    self.assertIn(fleet.by_id[own].running(), range(56, count + 1))

        run_fleet(59, check)

    def test_demand_and_use_reach_the_leader_only(self) -> None:
        async def check(fleet: HubFleet) -> None:
            for member in fleet.by_id.values():
                member.demand.add("m", 10.0)
            leader = "gw-007"
            for member in fleet.by_id.values():
                member.leader = leader
            await asyncio.sleep(SETTLED_S)
            for own, member in fleet.by_id.items():
                heard = member.digests.hub_rates().get("m", 0.0)
                rate = member.demand.rates()["m"]
                if own == leader:
                    # Without the leader's own, and not older than direct reports were
                    # in this fleet: the averages have decayed since.
                    self.assertGreaterEqual(heard / rate, 58 - 0.5)
                    self.assertLessEqual(heard / rate, 58 * math.exp(1.16 / 6.0))
                    member.loads.finish("t", 1)
                    self.assertEqual({"m"}, member.loads.replicas_in_use("t"))
                else:
                    self.assertEqual(0.0, heard)
                    member.loads.finish("t", 1)
                    self.assertEqual(set(), member.loads.replicas_in_use("t"))
            for member in fleet.by_id.values():
                member.task.cancel()
            await asyncio.sleep(RATES_TTL_S + SPREAD_S)
            self.assertEqual({}, fleet.by_id[leader].digests.hub_rates())

        run_fleet(59, check)

    def test_members_that_reach_a_service_are_known(self) -> None:
        async def check(fleet: HubFleet) -> None:
            cut_off = fleet.ids[::3]
            for own in cut_off:
                fleet.by_id[own].cut_off = ["svc"]
            await asyncio.sleep(SETTLED_S + 2 * SPREAD_S)
            for own in cut_off:
                chosen = {
                    relay.vm_id
                    for _ in range(60)
                    if (relay := fleet.by_id[own].relays.choose("svc", set()))
                }
                self.assertGreaterEqual(len(chosen), math.isqrt(59))
                self.assertEqual(set(), chosen & set(cut_off))

        run_fleet(59, check)
