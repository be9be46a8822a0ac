"""Tests of fleets before targets that fall over when they reject many requests."""

import asyncio
import random

from hypothesis import given, settings, strategies
from testtools import TestCase

from jaytray_gateway.process.brittle_targets import BrittleTargets
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_small_parts import entry

SLOTS = 4
MAX_REJECTIONS_PER_S = 3
RUN_S = 0.2
RESTART_S = 3.0
CONTACT_S = 3.0
DURATION_S = 10.0


class BrittleTarget:
    """Runs requests in its slots, rejects others, and falls over after many."""

    def __init__(self, *, name: str, waiting: int) -> None:
        self.name = name
        self.start = 1
        self.running = 0
        # Requests that it lets wait at first.
        self.waiting = waiting
        self.rejected_at_s: list[float] = []
        self.fell_at_s: list[float] = []
        self.served = 0

    def entry(self) -> TargetEntry:
        return entry(self.name, str(self.start))._replace(slots=SLOTS)

    def is_up(self, now_s: float) -> bool:
        return not self.fell_at_s or now_s - self.fell_at_s[-1] > RESTART_S

    async def serve(self) -> bool:
        """Return whether the request was run."""
        now_s = asyncio.get_running_loop().time()
        if self.running >= SLOTS + (self.waiting if now_s < CONTACT_S else 0):
            self.rejected_at_s = [
                rejected_s
                for rejected_s in self.rejected_at_s
                if now_s - rejected_s < 1
            ] + [now_s]
            if len(self.rejected_at_s) > MAX_REJECTIONS_PER_S and self.is_up(now_s):
                self.fell_at_s.append(now_s)
                self.rejected_at_s = []
                self.start += 1
            return False
        self.running += 1
        await asyncio.sleep(RUN_S)
        self.running -= 1
        self.served += 1
        return True


class Fleet:
    """Members that send to brittle targets, twice what these can run."""

    def __init__(
        self, *, members: int, targets: int, seed: int, keeps_slots: bool
    ) -> None:
        self.rng = random.Random(seed)
        ids = [f"vm{number}" for number in range(members)]
        self.network = MemberNetwork(ids, self.rng)
        self.clock = asyncio.get_running_loop().time
        self.targets = [
            BrittleTarget(name=f"t{number}", waiting=4) for number in range(targets)
        ]
        self.keeps_slots = keeps_slots
        self.brittle_by_id = {
            own: BrittleTargets(
                peers=self.network.peers_of(own),
                clock=self.clock,
                running_at=lambda _target_id: 0,
            )
            for own in ids
        }

    async def play(self) -> None:
        demand_per_s = 2 * SLOTS * len(self.targets) / RUN_S
        tasks: set[asyncio.Task[None]] = set()
        while self.clock() < DURATION_S:
            await asyncio.sleep(self.rng.expovariate(demand_per_s))
            alive = sorted(self.network.listed - self.network.cut_off)
            tasks.add(asyncio.create_task(self._send(self.rng.choice(alive))))
            tasks = {task for task in tasks if not task.done()}
        await asyncio.gather(*tasks)

    async def _send(self, own: str) -> None:
        target = self.rng.choice(self.targets)
        if not target.is_up(self.clock()):
            return
        brittle = self.brittle_by_id[own]
        known = target.entry()
        sent_at_s = self.clock()
        if self.keeps_slots:
            permit = await brittle.acquire(known, hold_s=1.0)
            if not permit.is_granted:
                return
        is_run = await target.serve()
        brittle.record_response(known, MAX_REJECTIONS_PER_S, sent_at_s=sent_at_s)
        brittle.release(known, is_rejected=not is_run)

    def late_falls(self) -> int:
        return sum(
            fell_s > CONTACT_S for target in self.targets for fell_s in target.fell_at_s
        )


class BrittleTargetTests(TestCase):
    @settings(max_examples=10)
    @given(
        members=strategies.sampled_from([1, 8, 32]),
        targets=strategies.sampled_from([1, 4]),
        seed=strategies.integers(0, 1000),
        loss=strategies.sampled_from([0.0, 0.03]),
    )
    def test_targets_stay_up_and_are_used(
        self, members: int, targets: int, seed: int, loss: float
    ) -> None:
        async def check() -> None:
            fleet = Fleet(members=members, targets=targets, seed=seed, keeps_slots=True)
            fleet.network.loss = loss
            await fleet.play()
            self.assertLessEqual(fleet.late_falls(), 2 + targets / 10)
            served = sum(target.served for target in fleet.targets)
            capacity = targets * SLOTS * DURATION_S / RUN_S
            self.assertGreater(served, 0.5 * capacity)

        run_virtual(check())

    def test_loss_of_members_neither_idles_nor_fells_the_targets(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=8, targets=4, seed=1, keeps_slots=True)

            async def lose_members() -> None:
                for member in sorted(fleet.network.listed)[:6]:
                    await asyncio.sleep(1.0)
                    fleet.network.cut_off.add(member)
                    await asyncio.sleep(0.5)
                    fleet.network.listed.discard(member)

            await asyncio.gather(fleet.play(), lose_members())
            self.assertLessEqual(fleet.late_falls(), 2 + 4 / 10)

        run_virtual(check())

    def test_members_that_keep_no_count_fell_the_targets(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=8, targets=4, seed=1, keeps_slots=False)
            await fleet.play()
            self.assertGreater(fleet.late_falls(), 2 + 4 / 10)

        run_virtual(check())
