"""Tests for the quarantine of prompt parts, alone and in a simulated fleet."""

import random
from collections.abc import Callable
from typing import NamedTuple

from hypothesis import given, settings, strategies
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.errors import JaytrayError
from jaytray_gateway.process.prompt_part_guard import (
    CRASH_WINDOW_S,
    MAX_CRASHES,
    MAX_TIED_CRASHES,
    OUTAGE_WINDOW_S,
    PART_QUARANTINE_S,
    RESPONSE_BEGUN_S,
    SETTLE_S,
    SOUND_S,
    PartEvidence,
    PromptPartGuard,
)
from jaytray_gateway.process.target_entry import TargetEntry
from packages.gateway.tests.process.test_small_parts import Clock, entry

HARMFUL = "harmful"


def make_peer(clock: Clock) -> PromptPartGuard:
    return PromptPartGuard(
        clock=clock,
        notify_peers=lambda _evidence: None,
        on_explained=lambda _incarnation: None,
    )


class PromptPartGuardTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.sent: list[PartEvidence] = []
        self.explained: list[tuple[str, str]] = []
        self.guard = PromptPartGuard(
            clock=self.clock,
            notify_peers=self.sent.append,
            on_explained=self.explained.append,
        )
        self.crashes = 0

    def crash(self, *chains: str) -> None:
        """Break one attempt for each chain at a further target; count the crash."""
        self.crashes += 1
        for chain in chains:
            self.guard.record_break(tuple(chain.split()), entry(f"t{self.crashes}"))
        self.settle()

    def settle(self) -> None:
        self.clock.now_s += SETTLE_S
        self.guard.settle_crashes()

    def quarantined(self) -> set[str]:
        self.guard.settle_crashes()
        return set(self.guard.quarantined_until_s_by_part)

    def test_part_of_several_crashes_is_refused(self) -> None:
        for number in range(MAX_CRASHES):
            self.guard.check(("first", HARMFUL))
            self.crash(f"first {HARMFUL}", f"first bystander{number}")
            self.guard.record_begun_response(("first", "other"))
        error = self.assertRaises(JaytrayError, self.guard.check, ("x", HARMFUL))
        self.assertEqual("request_suspected", error.code)
        self.assertGreater(error.retry_after_s or 0.0, PART_QUARANTINE_S - 2 * SETTLE_S)
        self.guard.check(("first", "other"))

    def test_breaks_of_a_cut_off_member_are_withdrawn(self) -> None:
        # Soak seed 80001: a sound part was blamed for breaks by a member's own cut-off.
        peer = make_peer(self.clock)
        for number in range(MAX_CRASHES + 1):
            targets = [entry(f"t{number}"), entry(f"u{number}")]
            for target in targets:
                self.guard.record_break(("shared", f"own{number}"), target)
            self.clock.now_s += 0.01
            self.guard.withdraw_breaks(targets)
            self.settle()
        for evidence in self.sent:
            peer.apply_evidence(evidence)
        self.settle()
        self.assertEqual(set(), self.quarantined())
        self.assertEqual(frozenset(), peer.quarantined())

    def test_crash_that_others_have_seen_too_is_not_withdrawn(self) -> None:
        for number in range(MAX_CRASHES):
            target = entry(f"t{number}")
            self.guard.record_break(("shared", HARMFUL), target)
            seen = PartEvidence((HARMFUL,), False, target.target_id, target.incarnation)
            self.guard.apply_evidence(seen)
            self.guard.withdraw_breaks([target])
            self.settle()
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_parts_before_the_harmful_one_are_not_blamed(self) -> None:
        # No sound request with the shared parts ran between the crashes.
        for _ in range(MAX_CRASHES):
            self.crash(f"first second {HARMFUL}")
        self.assertEqual({HARMFUL}, self.quarantined())
        # A request that had been sent before the quarantine crashes another target.
        self.crash(f"first second {HARMFUL}", "first second sound")
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_harmful_part_before_varying_ones_is_blamed_soon(self) -> None:
        for _ in range(MAX_CRASHES):
            self.crash(f"{HARMFUL} second third")
        self.assertEqual({"third"}, self.quarantined())
        self.crash(f"{HARMFUL} other fourth")
        self.assertIn(HARMFUL, self.quarantined())

    def test_sound_response_starts_the_count_again(self) -> None:
        for _ in range(3 * MAX_CRASHES):
            self.crash("rare")
            self.guard.record_begun_response(("rare",))
        self.assertEqual(set(), self.quarantined())

    def test_part_that_was_sound_is_not_blamed_for_crashes_soon_after(self) -> None:
        # Soak seed 62000: targets were ended three times in a few seconds.
        self.guard.record_begun_response(("first", "topic"))
        for _ in range(MAX_CRASHES):
            self.crash("first topic")
        self.assertEqual(set(), self.quarantined())
        self.clock.now_s += SOUND_S
        for _ in range(MAX_CRASHES):
            self.crash("first topic")
        self.assertEqual({"topic"}, self.quarantined())

    def test_members_learn_which_parts_were_sound_elsewhere(self) -> None:
        # Soak seed 63023: the members that blamed a topic had served none of it lately.
        peer = make_peer(self.clock)
        self.guard.record_begun_response(("first", "topic"))
        for number in range(MAX_CRASHES):
            peer.record_break(("first", "topic"), entry(f"t{number + 1}"))
            self.crash("first topic")
            peer.settle_crashes()
        for evidence in self.sent:
            peer.apply_evidence(evidence)
        peer.check(("first", "topic"))

    def test_target_that_goes_on_has_not_crashed(self) -> None:
        # A target that resets some connections, while others work.
        for number in range(2 * MAX_CRASHES):
            target = entry(f"t{number}")
            sent_at_s = self.clock.now_s - 0.1
            self.guard.record_break(("rare",), target)
            self.guard.record_chunk(target, sent_at_s=sent_at_s)
            self.clock.now_s += CRASH_WINDOW_S + 0.1
            self.guard.record_chunk(target, sent_at_s=sent_at_s)
            self.settle()
        self.assertEqual(set(), self.quarantined())

    def test_chunks_read_late_do_not_refute_a_crash(self) -> None:
        for number in range(MAX_CRASHES):
            target = entry(f"t{number}")
            sent_at_s = self.clock.now_s - 0.1
            self.guard.record_break((HARMFUL,), target)
            self.clock.now_s += CRASH_WINDOW_S - 0.1
            self.guard.record_chunk(target, sent_at_s=sent_at_s)
            self.settle()
            # Requests to the target after its restart say nothing about the crash.
            self.guard.record_chunk(target, sent_at_s=self.clock.now_s)
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_breaks_at_a_target_that_is_down_do_not_count(self) -> None:
        target = entry("t")
        for _ in range(3 * MAX_CRASHES):
            self.guard.record_break(("rare",), target)
            self.settle()
        self.assertEqual(set(), self.quarantined())

    def test_simultaneous_breaks_at_several_targets_count_once(self) -> None:
        for number in range(2 * MAX_CRASHES):
            self.guard.record_break(("rare",), entry(f"t{number}"))
        self.settle()
        self.assertEqual(set(), self.quarantined())

    def test_crashes_in_quick_succession_are_told_apart(self) -> None:
        # hoofline tainted with three such requests a second: six crashes within 1.6 s.
        for number in range(2 * MAX_CRASHES):
            self.guard.record_break((HARMFUL,), entry(f"t{number}"))
            self.clock.now_s += 0.7 * OUTAGE_WINDOW_S
        self.settle()
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_part_that_was_beside_the_harmful_one_is_cleared(self) -> None:
        for number in range(MAX_CRASHES - 1):
            self.crash(HARMFUL, "beside")
        self.crash(HARMFUL)
        self.crash("beside")
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_parts_with_as_many_crashes_are_told_apart_by_the_next_one(self) -> None:
        # Troubled targets with real processes: all crash before any response begins.
        for _ in range(MAX_CRASHES):
            self.crash(f"first {HARMFUL}", "first beside", "first other")
        self.assertEqual(set(), self.quarantined())
        self.crash(f"first {HARMFUL}", "first other")
        self.assertEqual(set(), self.quarantined())
        self.crash(f"first {HARMFUL}", "first beside")
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_one_of_the_parts_that_stay_tied_is_blamed_by_all_members(self) -> None:
        for _ in range(MAX_TIED_CRASHES):
            self.crash(f"first {HARMFUL}", "first beside")
        self.assertEqual({min(HARMFUL, "beside")}, self.quarantined())
        self.crash(f"first {HARMFUL}", "first z")
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_part_that_another_member_blamed_wrongly_is_released(self) -> None:
        for _ in range(MAX_CRASHES):
            self.crash(f"first {HARMFUL}", "first beside")
        # Learned from the records of two members that saw other evidence.
        self.guard.quarantine("beside")
        self.assertEqual({"beside"}, self.quarantined())
        self.guard.quarantine(HARMFUL)
        self.assertEqual({HARMFUL}, self.quarantined())

    def test_explained_crashes_are_reported(self) -> None:
        for _ in range(MAX_CRASHES - 1):
            self.crash(HARMFUL, "beside")
        self.crash(HARMFUL)
        self.crash(HARMFUL)
        self.assertEqual([(f"t{n}", "1") for n in (1, 2, 3, 4)], self.explained)

    def test_crashes_of_a_part_that_another_member_blamed_are_reported(self) -> None:
        for _ in range(MAX_CRASHES - 1):
            self.crash(f"first {HARMFUL}", "first beside")
        self.guard.quarantine(HARMFUL)
        self.assertEqual([(f"t{n}", "1") for n in (1, 2)], self.explained)

    def test_crashes_of_a_part_that_stays_tied_are_reported(self) -> None:
        for _ in range(MAX_TIED_CRASHES):
            self.crash(f"first {HARMFUL}", "first beside")
        self.assertEqual(MAX_TIED_CRASHES, len(set(self.explained)))

    def test_one_crash_after_the_quarantine_is_enough(self) -> None:
        for _ in range(MAX_CRASHES):
            self.crash(HARMFUL)
        self.clock.now_s += PART_QUARANTINE_S
        self.guard.check((HARMFUL,))
        self.crash(HARMFUL)
        self.assertRaises(JaytrayError, self.guard.check, (HARMFUL,))

    def test_sound_response_ends_a_quarantine_at_all_members(self) -> None:
        for _ in range(MAX_CRASHES):
            self.crash("blamed")
        peer = make_peer(self.clock)
        peer.quarantine("blamed")
        self.guard.record_begun_response(("first", "blamed"))
        peer.apply_evidence(self.sent[-1])
        self.guard.check(("blamed",))
        peer.check(("blamed",))

    def test_members_share_their_evidence(self) -> None:
        peer = make_peer(self.clock)
        for _ in range(MAX_CRASHES):
            self.crash(HARMFUL)
            peer.apply_evidence(self.sent[-1])
            self.clock.now_s += SETTLE_S
        self.assertRaises(JaytrayError, peer.check, (HARMFUL,))


class Run(NamedTuple):
    """One request at a target; it begins its response at `begins_at_s`."""

    member: int
    target: TargetEntry
    parts: tuple[str, ...]
    sent_at_s: float
    begins_at_s: float


class Fleet:
    """Members before targets that crash when they respond to the harmful part.

    With `hears_sound_responses` False, members never learn that a part is sound.
    """

    MEMBERS, TARGETS, TICK_S = 8, 6, 0.05
    RESPONSE_S, DOWN_S, HARMFUL_SHARE = 1.0, 3.0, 0.06

    def __init__(self, rng: random.Random, *, hears_sound_responses: bool) -> None:
        self.rng, self.clock = rng, Clock()
        self.hears_sound_responses = hears_sound_responses
        self.guards = [
            PromptPartGuard(
                clock=self.clock,
                notify_peers=self._make_notify(number),
                on_explained=lambda _incarnation: None,
            )
            for number in range(self.MEMBERS)
        ]
        self.up_at_s = [0.0] * self.TARGETS
        self.incarnations = [1] * self.TARGETS
        self.runs: list[Run] = []
        self.crash_times_s: list[float] = []
        self.harmful_sends_s: list[float] = []
        self.blamed: set[str] = set()

    def _make_notify(self, own: int) -> Callable[[PartEvidence], None]:
        def notify(evidence: PartEvidence) -> None:
            for number, guard in enumerate(self.guards):
                if number != own:
                    guard.apply_evidence(evidence)

        return notify

    def play(self, position: int, duration_s: float) -> None:
        ends_s = self.clock.now_s + duration_s
        while self.clock.now_s < ends_s:
            self.clock.now_s += self.TICK_S
            self._send(position)
            self._advance_runs()
            for guard in self.guards:
                guard.settle_crashes()
                self.blamed |= set(guard.quarantined_until_s_by_part)

    def _send(self, position: int) -> None:
        now_s, rng = self.clock.now_s, self.rng
        parts = ["first", f"account{rng.randrange(3)}", f"topic{rng.randrange(20)}"]
        is_harmful = rng.random() < self.HARMFUL_SHARE
        if is_harmful:
            parts.insert(position, HARMFUL)
        up = [n for n in range(self.TARGETS) if self.up_at_s[n] <= now_s]
        member = rng.randrange(self.MEMBERS)
        try:
            self.guards[member].check(parts)
        except JaytrayError:
            return
        if not up:
            return
        number = rng.choice(up)
        if is_harmful:
            self.harmful_sends_s.append(now_s)
        target = entry(f"t{number}", str(self.incarnations[number]))
        begins_at_s = now_s + rng.uniform(0.05, 0.5)
        self.runs.append(Run(member, target, tuple(parts), now_s, begins_at_s))

    def _advance_runs(self) -> None:
        now_s = self.clock.now_s
        for run in list(self.runs):
            if run not in self.runs or now_s < run.begins_at_s:
                continue
            if HARMFUL in run.parts:
                self._crash(run.target)
                continue
            guard = self.guards[run.member]
            guard.record_chunk(run.target, sent_at_s=run.sent_at_s)
            if now_s > run.begins_at_s + RESPONSE_BEGUN_S:
                if self.hears_sound_responses:
                    guard.record_begun_response(run.parts)
            if now_s > run.begins_at_s + self.RESPONSE_S:
                self.runs.remove(run)

    def _crash(self, target: TargetEntry) -> None:
        now_s = self.clock.now_s
        self.crash_times_s.append(now_s)
        number = int(target.target_id[1:])
        self.up_at_s[number] = now_s + self.DOWN_S
        self.incarnations[number] += 1
        broken = [run for run in self.runs if run.target == target]
        self.runs = [run for run in self.runs if run.target != target]
        for run in broken:
            if now_s < run.begins_at_s + RESPONSE_BEGUN_S:
                self.guards[run.member].record_break(run.parts, target)


def sends_after_fifth_crash(fleet: Fleet, contact_s: float = 3.0) -> int:
    if len(fleet.crash_times_s) < 5:
        return 0
    from_s = fleet.crash_times_s[4] + contact_s
    return sum(sent_s > from_s for sent_s in fleet.harmful_sends_s)


class FleetTests(TestCase):
    @settings(max_examples=40)
    @given(strategies.integers(0, 10_000), strategies.sampled_from([0, 1, 2, 3]))
    def test_only_the_harmful_part_is_blamed(self, seed: int, position: int) -> None:
        fleet = Fleet(random.Random(seed), hears_sound_responses=True)
        fleet.play(position, duration_s=30.0)
        self.assertLessEqual(sends_after_fifth_crash(fleet), 3)
        still = set(fleet.guards[0].quarantined_until_s_by_part)
        sound = {"first", *(f"account{n}" for n in range(3))}
        self.assertEqual(set(), still & sound)

    @parameterized.expand([(0,), (1,)])
    def test_without_sound_responses_others_are_blamed(self, position: int) -> None:
        blamed: set[str] = set()
        for seed in range(10):
            fleet = Fleet(random.Random(seed), hears_sound_responses=False)
            fleet.play(position, duration_s=30.0)
            blamed |= fleet.blamed
        self.assertNotEqual({HARMFUL}, blamed)
