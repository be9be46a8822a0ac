"""Tests of cold targets: when they are cold, and fleets that send to them."""

import asyncio
import random

from hypothesis import given, settings, strategies
from testtools import TestCase

from jaytray_gateway.process.cold_permits import (
    PERMIT_TTL_S,
    ColdBound,
    ColdPermits,
)
from jaytray_gateway.process.cold_targets import SUSPICION_S, ColdTargets
from jaytray_gateway.process.permit_exchange import MAX_MEMBERS_ASKED
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_starts import FIRST_TARGETS_S, TargetStarts
from jaytray_gateway.version.route_table import Service
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_small_parts import Clock, entry
from packages.gateway.tests.request.cases import DISCONNECT, OK
from packages.gateway.tests.request.harness import GatewayHarness
from packages.gateway.tests.request.support import run_with_harness

COLD_START_S = 60.0
COLD_PER_S = 6.8
SERVICE = Service("svc", None, COLD_START_S, COLD_PER_S)
BOUND = ColdBound(1.5, 5.0)
ALLOWED_PER_S = COLD_PER_S * 1.5 + 5.0
MAX_COPY_AGE_S = 4.25
SETTLED_S = 6.0


def most_in_a_second(times_s: list[float]) -> int:
    return max(
        (sum(begin <= time < begin + 1.0 for time in times_s) for begin in times_s),
        default=0,
    )


class Fleet:
    """Members that send to one cold target as often as they are permitted."""

    def __init__(self, *, members: int, seed: int) -> None:
        self.rng = random.Random(seed)
        ids = [f"vm{number}" for number in range(members)]
        self.network = MemberNetwork(ids, self.rng)
        self.clock = asyncio.get_running_loop().time
        self.sent_at_s: list[float] = []
        self.copy_age_s_by_id = dict.fromkeys(ids, 0.0)
        # What the members have been, and by how much each member's view is behind.
        self.listings = [(self.clock(), frozenset(ids))]
        self.view_lag_s_by_id = dict.fromkeys(ids, 0.0)
        # Whether members hold back sends for a time, as if they were frozen.
        self.freezes = False
        self.permits_by_id = {own: self._permits(own) for own in ids}

    def _permits(self, own: str) -> ColdPermits:
        peers = self.network.peers_of(own)._replace(
            listed_vms=lambda: sorted(self._view(own))
        )
        cold = ColdTargets(
            peers=peers, clock=self.clock, find_service=lambda _name: SERVICE
        )
        cold.update([entry("t")])
        cold.record_evacuation_ended("a")
        permits = ColdPermits(
            cold=cold,
            bound=BOUND,
            peers=peers,
            clock=self.clock,
            copy_age_s=lambda: (
                self.copy_age_s_by_id[own] + self.view_lag_s_by_id[own]
            ),
            max_copy_age_s=MAX_COPY_AGE_S,
        )
        permits.note_members()
        return permits

    def _view(self, own: str) -> frozenset[str]:
        as_of_s = self.clock() - self.view_lag_s_by_id[own]
        earlier = [members for at_s, members in self.listings if at_s <= as_of_s]
        return earlier[-1] if earlier else self.listings[0][1]

    def list_members(self, members: set[str]) -> None:
        self.network.listed = members
        self.listings.append((self.clock(), frozenset(members)))

    async def play(self, duration_s: float, *, demand_per_s: float = 60.0) -> None:
        ends_s = self.clock() + duration_s
        tasks: set[asyncio.Task[None]] = set()
        while self.clock() < ends_s:
            await asyncio.sleep(self.rng.expovariate(demand_per_s))
            for permits in self.permits_by_id.values():
                permits.note_members()
            alive = sorted(self.network.listed - self.network.cut_off)
            tasks.add(asyncio.create_task(self._send(self.rng.choice(alive))))
        await asyncio.gather(*tasks)

    async def _send(self, own: str) -> None:
        permits, target = self.permits_by_id[own], entry("t")
        permit = await permits.acquire(target, max_wait_s=0.3)
        if not permit.is_granted:
            return
        await asyncio.sleep(permit.wait_s)
        if self.freezes and self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        if permits.try_use(target):
            self.sent_at_s.append(self.clock())


class FleetTests(TestCase):
    @settings(max_examples=8)
    @given(
        members=strategies.sampled_from([1, 8, 80]),
        seed=strategies.integers(0, 1000),
        loss=strategies.sampled_from([0.0, 0.05]),
        freezes=strategies.booleans(),
    )
    def test_fleet_keeps_to_the_bound_and_uses_the_target(
        self, members: int, seed: int, loss: float, freezes: bool
    ) -> None:
        async def check() -> None:
            fleet = Fleet(members=members, seed=seed)
            await asyncio.sleep(SETTLED_S)
            fleet.network.loss, fleet.freezes = loss, freezes
            await fleet.play(10.0)
            self.assertLessEqual(most_in_a_second(fleet.sent_at_s), ALLOWED_PER_S)
            self.assertGreater(len(fleet.sent_at_s), 10.0 * 3.0)

        run_virtual(check())

    @settings(max_examples=15)
    @given(seed=strategies.integers(0, 1000))
    def test_members_that_leave_and_return_keep_to_the_bound(self, seed: int) -> None:
        # Each member sees the changes later, by as much as its copy is old.
        async def check() -> None:
            fleet = Fleet(members=8, seed=seed)
            await asyncio.sleep(SETTLED_S)
            rng, everyone = random.Random(seed), sorted(fleet.network.member_ids)
            fleet.view_lag_s_by_id = {own: rng.uniform(0.0, 4.0) for own in everyone}

            async def change_members() -> None:
                for _ in range(10):
                    lost = set(rng.sample(everyone, rng.randint(1, 4)))
                    fleet.network.cut_off = lost
                    await asyncio.sleep(rng.uniform(0.1, 1.0))
                    fleet.list_members(set(everyone) - lost)
                    await asyncio.sleep(rng.uniform(0.1, 4.0))
                    fleet.network.cut_off = set()
                    fleet.list_members(set(everyone))
                    await asyncio.sleep(rng.uniform(0.1, 1.0))

            await asyncio.gather(fleet.play(30.0), change_members())
            self.assertLessEqual(most_in_a_second(fleet.sent_at_s), ALLOWED_PER_S)
            self.assertGreater(len(fleet.sent_at_s), 30.0)

        run_virtual(check())

    def test_next_member_grants_while_the_first_has_an_old_copy(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=8, seed=1)
            await asyncio.sleep(SETTLED_S)
            for member in fleet.network.member_ids:
                fleet.copy_age_s_by_id[member] = MAX_COPY_AGE_S + 1
            await fleet.play(1.0)
            self.assertEqual([], fleet.sent_at_s)
            for member in fleet.network.member_ids:
                granting = fleet.permits_by_id[member]
                fleet.copy_age_s_by_id[member] = 0.0
                if granting._is_granting("t"):
                    break
            await asyncio.sleep(2.0)
            await fleet.play(5.0)
            self.assertGreater(len(fleet.sent_at_s), 10)

        run_virtual(check())

    def test_member_that_has_just_started_grants_nothing(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=1, seed=1)
            await fleet.play(MAX_COPY_AGE_S)
            self.assertEqual([], fleet.sent_at_s)

        run_virtual(check())


class BoundTests(TestCase):
    def test_two_members_together_stay_within_the_bound(self) -> None:
        for cold_per_s, factor, slack in ((6.8, 1.5, 5.0), (40.0, 1.2, 2.0), (2, 1, 0)):
            rate = ColdBound(factor, slack).member_rate_per_s(cold_per_s)
            burst = max(1.0, 0.2 * rate) if rate else 0.0
            most = MAX_MEMBERS_ASKED * (rate * (1 + PERMIT_TTL_S) + burst)
            self.assertLessEqual(most, cold_per_s * factor + slack)
        self.assertGreater(BOUND.member_rate_per_s(6.8), 0.7 * 6.8)


class ColdTargetTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.service = SERVICE
        self.network = MemberNetwork(["vm", "other"], random.Random(1))
        self.network.listed = {"vm"}
        self.cold = self.make_cold("vm")

    def make_cold(self, own: str) -> ColdTargets:
        return ColdTargets(
            peers=self.network.peers_of(own),
            clock=self.clock,
            find_service=lambda _name: self.service,
        )

    def update(self, **changes: object) -> TargetEntry:
        target = entry("t")._replace(**changes)  # type: ignore[arg-type]
        self.cold.update([target])
        return target

    def test_entry_states_the_time_and_takes_it_back(self) -> None:
        target = self.update(cold_left_s=3.0)
        self.assertEqual(COLD_PER_S, self.cold.rate_per_s(target))
        self.assertGreater(self.cold.cost_ms(target), 0.0)
        self.clock.now_s += 3.0
        self.assertIsNone(self.cold.rate_per_s(target))
        self.update(cold_left_s=3.0)
        self.update(cold_left_s=0.0)
        self.assertIsNone(self.cold.rate_per_s(target))

    def test_targets_of_other_services_are_never_cold(self) -> None:
        self.service = Service("svc", None, COLD_START_S, 0.0)
        target = self.update(cold_left_s=3.0)
        self.cold.record_start(target)
        self.cold.suspect_restart(target)
        self.assertIsNone(self.cold.rate_per_s(target))
        self.assertEqual(0.0, self.cold.cost_ms(target))

    def test_start_during_traffic_is_cold(self) -> None:
        starts = TargetStarts(clock=self.clock)
        starts.on_start(self.cold.record_start)
        starts.update([entry("t1")])
        starts.update([entry("t1"), entry("t2")])
        starts.update([entry("t1", "2"), entry("t2")])
        starts.update([entry("t1", "2")])
        # The same start registers again.
        starts.update([entry("t1", "2"), entry("t2")])
        self.assertEqual(COLD_START_S, self.cold.left_s(entry("t1", "2")))
        self.assertEqual(0.0, self.cold.left_s(entry("t2")))
        self.clock.now_s += FIRST_TARGETS_S + 0.1
        starts.update([entry("t1", "2"), entry("t2"), entry("t3")])
        self.assertEqual(COLD_START_S, self.cold.left_s(entry("t3")))

    def test_targets_are_cold_after_an_evacuation(self) -> None:
        target = self.update()
        self.cold.record_evacuation_ended("b")
        self.assertEqual(0.0, self.cold.left_s(target))
        self.cold.record_evacuation_ended("a")
        self.assertEqual(COLD_START_S, self.cold.left_s(target))

    def test_suspected_restart_ends_with_a_later_entry_of_the_same_start(self) -> None:
        target = self.update()
        self.cold.suspect_restart(target)
        self.update(slots=5)
        self.assertGreater(self.cold.left_s(target), 0.0)
        self.clock.now_s += SUSPICION_S + 0.1
        self.update(slots=6)
        self.assertEqual(0.0, self.cold.left_s(target))

    def test_first_member_to_know_notifies_the_others(self) -> None:
        async def check() -> None:
            self.network.listed.add("other")
            other = self.make_cold("other")
            self.update()
            self.update(cold_left_s=3.0)
            await asyncio.sleep(0.1)
            self.assertEqual(3.0, other.left_s(entry("t")))

        run_virtual(check())


class RequestTests(TestCase):
    def test_request_without_a_permit_goes_to_a_warm_target(self) -> None:
        # The target turns cold, and this member may not grant permits yet.
        async def check(harness: GatewayHarness) -> None:
            harness.table().services_by_name["svc"] = SERVICE
            target = harness.directory.targets_by_id["t0"]
            harness.cold.record_response(target, COLD_START_S)
            for _ in range(3):
                self.assertEqual(200, (await harness.send_request()).status)
            self.assertEqual([0, 3], [len(t.heads) for t in harness.targets])

        run_with_harness(check, [OK], [OK])

    def test_target_whose_connection_broke_gets_no_unpermitted_request(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            harness.table().services_by_name["svc"] = SERVICE
            self.assertEqual(502, (await harness.send_request()).status)
            harness.services.health.record_success("t0")
            received = await harness.send_request()
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertEqual(1, len(harness.targets[0].heads))

        run_with_harness(check, [DISCONNECT, OK])
