"""Tests for the rate limits of targets: one member, and fleets in virtual time."""

import asyncio
import random
from collections.abc import Iterable

from hypothesis import given, settings, strategies
from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.permit_exchange import MAX_MISSED_REPLIES, SILENT_S
from jaytray_gateway.process.target_limits import (
    MAX_RETURN_WAIT_S,
    SendSchedule,
    TargetLimits,
)
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_small_parts import entry

TARGET = entry("t")
# The stated bound: over any 4 s one and a half times what the limit allows, and 5 more.
WINDOW_S = 4.0


def most_in_window(times_s: Iterable[float]) -> int:
    times = sorted(times_s)
    return max(
        (sum(begin <= time < begin + WINDOW_S for time in times) for begin in times),
        default=0,
    )


def allowed(rate_per_s: float) -> float:
    return 1.5 * rate_per_s * WINDOW_S + 5


class Fleet:
    """Members that send to one limited target as often as they are permitted."""

    def __init__(
        self, *, members: int, rate_per_s: float, seed: int, shares: bool = True
    ) -> None:
        self.rate_per_s = rate_per_s
        self.rng = random.Random(seed)
        ids = [f"vm{number}" for number in range(members)]
        self.network = MemberNetwork(ids, self.rng)
        clock = asyncio.get_running_loop().time
        # Without shared permits each member is a network of its own.
        self.limits_by_id = {
            own: TargetLimits(
                peers=(
                    self.network if shares else MemberNetwork([own], self.rng)
                ).peers_of(own),
                clock=clock,
            )
            for own in ids
        }
        self.sent_at_s: list[float] = []

    async def play(self, duration_s: float, *, demand_per_s: float) -> None:
        clock = asyncio.get_running_loop().time
        ends_s = clock() + duration_s
        tasks: set[asyncio.Task[None]] = set()
        while clock() < ends_s:
            await asyncio.sleep(self.rng.expovariate(demand_per_s))
            alive = sorted(self.network.listed - self.network.cut_off)
            tasks.add(asyncio.create_task(self._send(self.rng.choice(alive))))
        await asyncio.gather(*tasks)

    async def _send(self, own: str) -> None:
        limits = self.limits_by_id[own]
        permit = await limits.acquire(TARGET, max_wait_s=0.3)
        if permit.is_granted:
            await asyncio.sleep(permit.wait_s)
            now_s = asyncio.get_running_loop().time()
            self.sent_at_s.append(now_s)
            limits.record_response(TARGET, self.rate_per_s, sent_at_s=now_s)


class FleetTests(TestCase):
    @settings(max_examples=15)
    @given(
        members=strategies.sampled_from([1, 8, 64]),
        rate_per_s=strategies.sampled_from([0.5, 1.4, 2.4, 20.0]),
        seed=strategies.integers(0, 1000),
        loss=strategies.sampled_from([0.0, 0.03]),
    )
    def test_fleet_keeps_to_the_limit_and_uses_it(
        self, members: int, rate_per_s: float, seed: int, loss: float
    ) -> None:
        async def check() -> None:
            fleet = Fleet(members=members, rate_per_s=rate_per_s, seed=seed)
            for limits in fleet.limits_by_id.values():
                limits.record_response(TARGET, rate_per_s, sent_at_s=0.0)
            fleet.network.loss = loss
            await fleet.play(20.0, demand_per_s=3 * rate_per_s)
            self.assertLessEqual(most_in_window(fleet.sent_at_s), allowed(rate_per_s))
            self.assertGreater(len(fleet.sent_at_s), 0.7 * 20.0 * rate_per_s)

        run_virtual(check())

    @parameterized.expand([(1.4,), (20.0,)])
    def test_loss_of_members_neither_idles_nor_floods_the_target(
        self, rate_per_s: float
    ) -> None:
        async def check() -> None:
            fleet = Fleet(members=8, rate_per_s=rate_per_s, seed=1)
            for limits in fleet.limits_by_id.values():
                limits.record_response(TARGET, rate_per_s, sent_at_s=0.0)
            lost = list(fleet.network.member_ids)[:7]
            for member in lost:
                fleet.network.cut_off.add(member)
                await fleet.play(3.0, demand_per_s=4 * rate_per_s)
                fleet.network.listed.discard(member)
            self.assertLessEqual(most_in_window(fleet.sent_at_s), allowed(rate_per_s))
            self.assertGreater(len(fleet.sent_at_s), 0.5 * 21.0 * rate_per_s)

        run_virtual(check())

    def test_members_alone_exceed_the_limit(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=8, rate_per_s=2.4, seed=1, shares=False)
            for limits in fleet.limits_by_id.values():
                limits.record_response(TARGET, 2.4, sent_at_s=0.0)
            await fleet.play(20.0, demand_per_s=40.0)
            self.assertGreater(most_in_window(fleet.sent_at_s), allowed(2.4))

        run_virtual(check())

    def test_limit_is_announced_to_all_members(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=8, rate_per_s=1.0, seed=1)
            first, *others = fleet.limits_by_id.values()
            first.record_response(TARGET, 1.0, sent_at_s=0.0)
            await asyncio.sleep(0.1)
            self.assertEqual({1}, {limits.limited_targets() for limits in others})
            await asyncio.sleep(0.1)
            others[0].record_response(TARGET, None, sent_at_s=0.2)
            await asyncio.sleep(0.1)
            for limits in fleet.limits_by_id.values():
                self.assertEqual(0, limits.limited_targets())

        run_virtual(check())


class LimitTests(TestCase):
    """Limits known to one member without peers."""

    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        self.limits = TargetLimits(
            peers=MemberNetwork(["vm"], random.Random(1)).peers_of("vm"),
            clock=lambda: self.now_s,
        )

    def permits(self, count: int, target_id: str = "t", incarnation: str = "1") -> int:
        async def acquire() -> int:
            target = entry(target_id, incarnation)
            asked = [self.limits.acquire(target, max_wait_s=0.0) for _ in range(count)]
            return sum([(await permit).is_granted for permit in asked])

        return asyncio.run(acquire())

    def test_targets_without_a_limit_are_not_held_back(self) -> None:
        self.limits.record_response(TARGET, 1.0, sent_at_s=self.now_s)
        self.assertEqual(50, self.permits(50, "other"))
        self.assertLess(self.permits(50), 3)

    def test_response_to_an_earlier_request_does_not_lift_the_limit(self) -> None:
        sent_at_s = self.now_s - 0.5
        self.limits.record_response(TARGET, 1.0, sent_at_s=sent_at_s)
        self.limits.record_response(TARGET, None, sent_at_s=sent_at_s)
        self.assertLess(self.permits(50), 3)
        self.limits.record_response(TARGET, None, sent_at_s=self.now_s + 0.1)
        self.assertEqual(50, self.permits(50))

    def test_restarted_target_has_no_limit(self) -> None:
        self.limits.record_response(TARGET, 1.0, sent_at_s=self.now_s)
        self.assertEqual(50, self.permits(50, incarnation="2"))

    def test_limit_of_zero_permits_nothing(self) -> None:
        self.limits.record_response(TARGET, 0.0, sent_at_s=self.now_s)
        self.assertEqual(0, self.permits(50))

    def test_refused_requests_are_told_to_come_back_one_by_one(self) -> None:
        schedule = SendSchedule(incarnation="1", now_s=0.0)
        waits_s = []
        for _ in range(40):
            permit = schedule.reserve(2.0, now_s=0.0, max_wait_s=0.0)
            if not permit.is_granted:
                waits_s.append(permit.wait_s)
        self.assertEqual(sorted(waits_s), waits_s)
        self.assertLessEqual(waits_s[-1], MAX_RETURN_WAIT_S)
        self.assertAlmostEqual(0.5, waits_s[1] - waits_s[0])

    def test_silent_member_is_asked_again_later(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=2, rate_per_s=1.0, seed=1)
            for limits in fleet.limits_by_id.values():
                limits.record_response(TARGET, 1.0, sent_at_s=0.0)
            fleet.network.cut_off.add("vm0")
            loop = asyncio.get_running_loop()
            for _ in range(MAX_MISSED_REPLIES):
                await fleet.limits_by_id["vm1"].acquire(TARGET, max_wait_s=0.0)
            begun_s = loop.time()
            await fleet.limits_by_id["vm1"].acquire(TARGET, max_wait_s=0.0)
            self.assertEqual(begun_s, loop.time())
            fleet.network.cut_off.clear()
            await asyncio.sleep(SILENT_S + 0.1)
            permit = await fleet.limits_by_id["vm1"].acquire(TARGET, max_wait_s=0.0)
            self.assertTrue(permit.is_granted)

        run_virtual(check())
