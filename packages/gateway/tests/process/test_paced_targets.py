"""Tests of the pace of targets that have started or failed, alone and in fleets."""

import asyncio
import random
from collections.abc import Callable

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.rendezvous import rank_members
from jaytray_gateway.process.answer_times import MIN_ANSWERS, SLOW_FACTOR, AnswerTimes
from jaytray_gateway.process.paced_targets import (
    MIN_PACED_MEMBERS,
    PACE_RETRY_S,
    PacedTargets,
)
from jaytray_gateway.process.recovery_pace import RecoveryPace
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_small_parts import entry
from packages.gateway.tests.request.cases import OK
from packages.gateway.tests.request.harness import ROUTE, GatewayHarness
from packages.gateway.tests.request.support import run_with_harness

SLOTS = 32
MEMBERS = 40
ANSWER_S = 0.2
# A request may wait for a permit twice.
SLOW_ROUTE = ROUTE._replace(objective_s=5 * PACE_RETRY_S)


class RecoveryPaceTests(TestCase):
    def test_window_doubles_when_it_was_answered_well(self) -> None:
        pace = RecoveryPace(slots=SLOTS)
        windows = []
        while not pace.is_ended:
            windows.append(pace.window)
            for number in [pace.send() for _ in range(int(pace.window))]:
                pace.record_answer(number, is_good=True)
        self.assertEqual([4, 8, 16], windows)
        self.assertTrue(pace.allows(1_000))

    def test_window_is_halved_once_for_what_was_sent_within_it(self) -> None:
        pace = RecoveryPace(slots=SLOTS, running=16)
        for number in [pace.send() for _ in range(16)]:
            pace.record_answer(number, is_good=False)
        self.assertEqual(8, pace.window)
        for _ in range(10):
            pace.record_answer(pace.send(), is_good=False)
        self.assertEqual(1, pace.window)
        self.assertTrue(pace.allows(0))
        self.assertFalse(pace.allows(1))

    @parameterized.expand([(0,), (1,)])
    def test_target_with_one_slot_is_not_paced(self, slots: int) -> None:
        self.assertTrue(RecoveryPace(slots=slots).is_ended)

    def test_answers_are_slow_by_their_peers(self) -> None:
        times = AnswerTimes()
        self.assertFalse(times.is_slow("svc", 100.0))
        for _ in range(MIN_ANSWERS):
            times.record("svc", 1.0)
        self.assertFalse(times.is_slow("svc", SLOW_FACTOR - 0.1))
        self.assertTrue(times.is_slow("svc", SLOW_FACTOR + 0.1))


class Target:
    """A target whose answers take `answer_s(in flight)`, None for an error."""

    def __init__(self, name: str, answer_s: Callable[[int], float | None]) -> None:
        self.entry: TargetEntry = entry(name)._replace(slots=SLOTS)
        self.answer_s = answer_s
        self.running = 0
        # Time and number in flight, at each request.
        self.loads: list[tuple[float, int]] = []
        self.failed = 0

    def most_running(self, begin_s: float, end_s: float) -> int:
        return max((n for at_s, n in self.loads if begin_s <= at_s < end_s), default=0)


class Fleet:
    """Members that send whatever the targets may get."""

    def __init__(
        self,
        targets: list[Target],
        *,
        members: int = MEMBERS,
        is_enabled: bool = True,
    ) -> None:
        self.rng = random.Random(1)
        ids = [f"vm{number}" for number in range(members)]
        self.network = MemberNetwork(ids, self.rng)
        self.clock = asyncio.get_running_loop().time
        self.targets = targets
        running_by_id = {t.entry.target_id: t for t in targets}
        self.pace_by_id = {
            own: PacedTargets(
                peers=self.network.peers_of(own),
                clock=self.clock,
                running_at=lambda target_id: running_by_id[target_id].running,
                member_count=lambda: len(ids),
                is_enabled=is_enabled,
            )
            for own in ids
        }
        for pace in self.pace_by_id.values():
            for _ in range(MIN_ANSWERS):
                peer = pace.begin(entry("peer"), service="svc", expected_ms=20.0)
                peer.record_answer(ANSWER_S)

    async def play(self, duration_s: float) -> None:
        ends_s = self.clock() + duration_s
        tasks: set[asyncio.Task[None]] = set()
        while self.clock() < ends_s:
            await asyncio.sleep(self.rng.expovariate(400.0 * len(self.targets)))
            alive = sorted(self.network.listed - self.network.cut_off)
            sent = self._send(self.rng.choice(alive), self.rng.choice(self.targets))
            tasks.add(asyncio.create_task(sent))
            tasks = {task for task in tasks if not task.done()}
        await asyncio.gather(*tasks)

    async def _send(self, own: str, target: Target) -> None:
        pace = self.pace_by_id[own]
        if not (await pace.acquire(target.entry)).is_granted or target.running >= SLOTS:
            pace.cancel(target.entry)
            return
        request = pace.begin(target.entry, service="svc", expected_ms=20.0)
        target.running += 1
        target.loads.append((self.clock(), target.running))
        answer_s = target.answer_s(target.running)
        await asyncio.sleep(answer_s or 0.01)
        target.running -= 1
        if answer_s is None:
            target.failed += 1
            request.record_trouble()
        else:
            request.record_answer(answer_s)
        request.end()

    def known(self) -> set[int]:
        return {pace.count() for pace in self.pace_by_id.values()}

    def start(self, target: Target) -> None:
        """Have one member see the start of the target."""
        self.pace_by_id["vm0"].record_start(target.entry)


class FleetTests(TestCase):
    def test_target_that_returns_empty_is_neither_flooded_nor_left_idle(self) -> None:
        async def check() -> None:
            target = Target("t", lambda _running: ANSWER_S)
            fleet = Fleet([target])
            fleet.start(target)
            await asyncio.sleep(0.05)
            # Members that don't see the restart themselves hear of it.
            self.assertEqual({1}, fleet.known())
            begun_s = fleet.clock()
            await fleet.play(3.0)
            self.assertEqual({0}, fleet.known())
            self.assertLessEqual(target.most_running(begun_s, begun_s + ANSWER_S), 4)
            self.assertLessEqual(
                target.most_running(begun_s, begun_s + 2 * ANSWER_S), 8
            )
            self.assertEqual(SLOTS, target.most_running(begun_s + 1.5, begun_s + 3.0))

        run_virtual(check())

    def test_target_that_returns_slow_is_spared(self) -> None:
        async def check() -> None:
            target = Target("t", lambda n: ANSWER_S * (1 if n <= 8 else 10))
            fleet = Fleet([target])
            fleet.start(target)
            await asyncio.sleep(0.05)
            await fleet.play(10.0)
            # The window doubles before the first slow answer is overdue.
            self.assertLessEqual(target.most_running(0.0, 10.0), 2 * 8 + 4)
            self.assertGreater(len(target.loads), 8 * 10.0)
            # It recovers in the end.
            target.answer_s = lambda _running: ANSWER_S
            await fleet.play(6.0)
            self.assertEqual({0}, fleet.known())

        run_virtual(check())

    def test_target_that_goes_down_again_gets_few_requests(self) -> None:
        async def check() -> None:
            target = Target("t", lambda _running: ANSWER_S)
            fleet = Fleet([target])
            fleet.start(target)
            await asyncio.sleep(0.05)
            await fleet.play(0.3)
            target.answer_s = lambda _running: None
            await fleet.play(0.5)
            self.assertLess(target.failed, 60)
            self.assertEqual(1, target.loads[-1][1])

        run_virtual(check())

    def test_all_targets_that_return_at_once_recover(self) -> None:
        async def check() -> None:
            targets = [Target(f"t{n}", lambda _running: ANSWER_S) for n in range(8)]
            fleet = Fleet(targets)
            begun_s = fleet.clock()
            for target in targets:
                fleet.start(target)
            await asyncio.sleep(0.05)
            await fleet.play(4.0)
            self.assertEqual({0}, fleet.known())
            for target in targets:
                self.assertLessEqual(
                    target.most_running(begun_s, begun_s + ANSWER_S), 4
                )

        run_virtual(check())

    @parameterized.expand([(0.0,), (0.05,)])
    def test_lost_granting_member_is_replaced(self, loss: float) -> None:
        async def check() -> None:
            target = Target("t", lambda _running: ANSWER_S)
            fleet = Fleet([target])
            fleet.start(target)
            await asyncio.sleep(0.05)
            fleet.network.loss = loss
            await fleet.play(0.3)
            granting = rank_members("t", fleet.network.listed)[0]
            fleet.network.cut_off.add(granting)
            await fleet.play(6.0)
            others = set(fleet.pace_by_id) - {granting}
            counts = {fleet.pace_by_id[member].count() for member in others}
            self.assertEqual({0}, counts)
            self.assertLessEqual(target.most_running(0.0, 0.3 + ANSWER_S), 16)

        run_virtual(check())

    def test_failing_target_that_others_use_goes_on_from_its_load(self) -> None:
        async def check() -> None:
            target = Target("t", lambda _running: ANSWER_S)
            fleet = Fleet([target])
            await fleet.play(1.0)
            asyncio.get_running_loop().call_later(
                0.5, lambda: fleet.pace_by_id["vm0"].record_failing(target.entry)
            )
            begun_s = fleet.clock()
            await fleet.play(2.0)
            self.assertGreater(target.most_running(begun_s + 0.8, begun_s + 1.2), 16)
            self.assertEqual({0}, fleet.known())

        run_virtual(check())

    def test_nothing_is_paced_in_small_fleets_or_unless_enabled(self) -> None:
        async def check(members: int, is_enabled: bool) -> None:
            target = Target("t", lambda _running: ANSWER_S)
            fleet = Fleet([target], members=members, is_enabled=is_enabled)
            fleet.start(target)
            await fleet.play(ANSWER_S)
            self.assertEqual({0}, fleet.known())
            self.assertEqual(SLOTS, target.most_running(0.0, 1.0))

        run_virtual(check(MIN_PACED_MEMBERS - 1, True))
        run_virtual(check(MIN_PACED_MEMBERS, False))


class RequestTests(TestCase):
    def test_request_waits_for_the_only_target_and_is_refused_in_time(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            harness.directory.member_count = MIN_PACED_MEMBERS
            target = harness.directory.targets_by_id["t0"]
            harness.pace.record_start(target)
            permit = await harness.pace.acquire(target)
            self.assertTrue(permit.is_granted)
            received = await harness.send_request()
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            waiting = asyncio.ensure_future(harness.send_request())
            await asyncio.sleep(0.0)
            harness.pace.cancel(target)
            self.assertEqual(200, (await waiting).status)
            self.assertEqual(1, len(harness.targets[0].heads))

        run_with_harness(check, [OK], route=SLOW_ROUTE)
