"""Tests of the crash guards of a fleet before targets that a request crashes."""

import asyncio
import random

from hypothesis import given, settings, strategies
from testtools import TestCase

from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError
from jaytray_gateway.process.crash_guard import CrashGuard, RunEnd
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_small_parts import entry

# The stated bound: from this time after the third crash, at most three more sends.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
ATTEMPTS = 2
RESTART_S = 3.2
_TOPIC = "run_end"


class Fleet:
    """Members whose callers send one harmful request, each from time to time."""

    def __init__(self, *, members: int, targets: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ids = [f"vm{number}" for number in range(members)]
        self.network = MemberNetwork(self.ids, self.rng)
        self.clock = asyncio.get_running_loop().time
        self.guards_by_id = {own: self._make_guard(own) for own in self.ids}
        self.starts_by_target = {f"t{number}": 1 for number in range(targets)}
        self.up = set(self.starts_by_target)
        self.sent_at_s: list[float] = []
        self.crashed_at_s: list[float] = []

    def _make_guard(self, own: str) -> CrashGuard:
        peers = self.network.peers_of(own)

        def notify_peers(run_end: RunEnd) -> None:
            for member in self.ids:
                if member != own:
                    peers.send(member, _TOPIC, encode_msgpack(run_end))

        guard = CrashGuard(clock=self.clock, notify_peers=notify_peers)
        peers.set_handler(
            _TOPIC,
            lambda sender, body: guard.apply_run_end(
                decode_msgpack(body, RunEnd, peer=sender)
            ),
        )
        return guard

    async def play(self, duration_s: float, *, callers: int) -> None:
        """Have callers send the request, and once more at another member."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(callers):
                tasks.create_task(self._run_caller(duration_s))

    async def _run_caller(self, duration_s: float) -> None:
        ends_s = self.clock() + duration_s
        while self.clock() < ends_s:
            for member in self.rng.sample(self.ids, 2):
                await self._serve(member)
                await asyncio.sleep(self.rng.uniform(0.01, 0.1))
            await asyncio.sleep(self.rng.uniform(0.1, 4.0))

    async def _serve(self, member: str) -> None:
        guard = self.guards_by_id[member]
        tried: set[str] = set()
        for _ in range(ATTEMPTS):
            usable = sorted(self.up - tried)
            try:
                guard.check("digest")
            except JaytrayError:
                return
            if not usable:
                return
            target_id = self.rng.choice(usable)
            tried.add(target_id)
            await self._run_at(guard, target_id)

    async def _run_at(self, guard: CrashGuard, target_id: str) -> None:
        target = entry(target_id, str(self.starts_by_target[target_id]))
        sent_at_s = self.clock()
        self.sent_at_s.append(sent_at_s)
        await asyncio.sleep(self.rng.uniform(0.03, 0.12))
        if target_id in self.up:
            self.up.discard(target_id)
            self.crashed_at_s.append(self.clock())
            asyncio.get_running_loop().call_later(RESTART_S, self._restart, target_id)
        guard.record_broken_response("digest", target, sent_at_s=sent_at_s)

    def _restart(self, target_id: str) -> None:
        self.starts_by_target[target_id] += 1
        self.up.add(target_id)


class CrashWaveTests(TestCase):
    """hoofline: four targets ended within 0.3 s, and again when they were back."""

    @settings(max_examples=20)
    @given(
        members=strategies.sampled_from([1, 8, 64]),
        targets=strategies.sampled_from([2, 4, 12]),
        callers=strategies.sampled_from([1, 2, 4]),
        seed=strategies.integers(0, 1000),
    )
    def test_request_is_refused_soon_after_its_third_crash(
        self, members: int, targets: int, callers: int, seed: int
    ) -> None:
        async def check() -> None:
            fleet = Fleet(members=max(members, 2), targets=targets, seed=seed)
            await fleet.play(20.0, callers=callers)
            since_s = fleet.crashed_at_s[2] + CONTACT_S
            late = [sent_s for sent_s in fleet.sent_at_s if sent_s > since_s]
            self.assertLessEqual(len(late), MAX_LATE_SENDS, fleet.crashed_at_s)

        run_virtual(check())
