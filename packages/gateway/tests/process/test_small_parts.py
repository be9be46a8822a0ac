"""Tests for the retry budget, load view, target health and crash guard."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.errors import JaytrayError
from jaytray_gateway.process.crash_guard import (
    MAX_BREAKS,
    QUARANTINE_S,
    CrashGuard,
    RunEnd,
)
from jaytray_gateway.process.load_view import PEER_REPORT_TTL_S, LoadView, TargetLoad
from jaytray_gateway.process.retry_budget import RetryBudget
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import INITIAL_AVOID_S, TargetHealth

# Duration of a run until it breaks, and time between the breaks of separate faults.
RUN_S = 0.1
INTERVAL_S = 1.0


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def entry(target_id: str, incarnation: str = "1") -> TargetEntry:
    return TargetEntry(
        target_id,
        incarnation,
        "svc",
        "v1",
        "127.0.0.1:1",
        "a",
        False,
        4,
        {},
        frozenset(),
        frozenset(),
    )


class RetryBudgetTests(TestCase):
    @parameterized.expand([(1, 0), (8, 0), (8, 400), (64, 1000)])
    def test_fleet_stays_within_the_budget(self, members: int, requests: int) -> None:
        clock = Clock()
        budgets = [
            RetryBudget(ratio=0.2, extra=56, window_s=10, clock=clock)
            for _ in range(members)
        ]
        for budget in budgets:
            budget.member_count = members
        retries = 0
        for tick in range(100):
            clock.now_s += 0.1
            for number, budget in enumerate(budgets):
                if requests and (tick * members + number) % 3 == 0:
                    budget.record_request("svc")
                while budget.try_take("svc"):
                    retries += 1
        sent = requests and sum(
            (tick * members + n) % 3 == 0 for tick in range(100) for n in range(members)
        )
        # Each member may start one retry before it is earned.
        self.assertLessEqual(retries, 0.2 * sent + 56 + members)

    def test_a_retry_is_allowed_at_once(self) -> None:
        budget = RetryBudget(ratio=0.2, extra=56, window_s=10, clock=Clock())
        self.assertTrue(budget.try_take("svc"))


class LoadViewTests(TestCase):
    def test_own_and_peers_requests_add_up(self) -> None:
        clock = Clock()
        loads = LoadView(clock=clock)
        run = loads.start("t", 500, "m/a1", priority=1)
        loads.set_peer_report("vm-2", {"t": TargetLoad(2, {0: 70})}, {"t": ["m/a2"]})
        self.assertEqual(TargetLoad(3, {0: 70, 1: 500}), loads.load_of("t"))
        self.assertEqual({"m/a1", "m/a2"}, loads.replicas_in_use("t"))
        loads.mark_prompt_read("t", run)
        self.assertEqual(TargetLoad(3, {0: 70}), loads.load_of("t"))
        loads.finish("t", run)
        clock.now_s += PEER_REPORT_TTL_S + 0.1
        self.assertEqual(TargetLoad(0, {}), loads.load_of("t"))
        self.assertEqual(set(), loads.replicas_in_use("t"))


class TargetHealthTests(TestCase):
    def test_avoidance_grows_with_failures_and_ends_with_success(self) -> None:
        clock = Clock()
        health = TargetHealth(clock=clock)
        health.record_failure("t", "reset")
        self.assertTrue(health.is_avoided("t"))
        clock.now_s += INITIAL_AVOID_S
        self.assertFalse(health.is_avoided("t"))
        health.record_failure("t", "reset")
        clock.now_s += INITIAL_AVOID_S
        self.assertTrue(health.is_avoided("t"))
        health.record_success("t")
        self.assertFalse(health.is_avoided("t"))

    def test_error_response_does_not_avoid_the_target(self) -> None:
        health = TargetHealth(clock=Clock())
        health.record_error_response("t")
        self.assertFalse(health.is_avoided("t"))
        self.assertGreater(health.failure_rate("t"), 0.0)


class CrashGuardTests(TestCase):
    def test_request_is_refused_after_breaks_at_several_incarnations(self) -> None:
        clock = Clock()
        sent_run_ends: list[RunEnd] = []
        guard = CrashGuard(clock=clock, notify_peers=sent_run_ends.append)
        for number in range(MAX_BREAKS):
            clock.now_s += INTERVAL_S
            guard.check("digest")
            guard.record_broken_response(
                "digest", entry(f"t{number}"), sent_at_s=clock() - RUN_S
            )
        self.assertEqual(MAX_BREAKS, len(sent_run_ends))
        err = self.assertRaises(JaytrayError, guard.check, "digest")
        self.assertEqual("request_suspected", err.code)
        guard.check("other")
        clock.now_s += QUARANTINE_S + 1
        guard.check("digest")

    def test_breaks_at_one_incarnation_count_once(self) -> None:
        clock = Clock()
        guard = CrashGuard(clock=clock, notify_peers=lambda _run_end: None)
        for _ in range(MAX_BREAKS + 2):
            guard.record_broken_response(
                "digest", entry("t"), sent_at_s=clock() - RUN_S
            )
        guard.check("digest")

    def test_breaks_reported_by_peers_count(self) -> None:
        clock = Clock()
        guard = CrashGuard(clock=clock, notify_peers=lambda _run_end: None)
        for number in range(MAX_BREAKS):
            clock.now_s += INTERVAL_S
            guard.apply_run_end(RunEnd("digest", f"t{number}", "1", True, RUN_S))
        self.assertRaises(JaytrayError, guard.check, "digest")

    def test_complete_response_in_between_clears_the_request(self) -> None:
        # Reads without a body have the same digest; crashing targets cut off some.
        sent_run_ends: list[RunEnd] = []
        clock = Clock()
        guard = CrashGuard(clock=clock, notify_peers=sent_run_ends.append)
        for number in range(3 * MAX_BREAKS):
            clock.now_s += INTERVAL_S
            guard.check("digest")
            guard.record_broken_response(
                "digest", entry(f"t{number}"), sent_at_s=clock() - RUN_S
            )
            guard.record_complete_response("digest", entry("other"))
        self.assertFalse(sent_run_ends[-1].is_broken)
        peer = CrashGuard(clock=Clock(), notify_peers=lambda _run_end: None)
        for run_end in sent_run_ends:
            peer.apply_run_end(run_end)
        peer.check("digest")

    def test_breaks_whose_cause_is_known_do_not_count(self) -> None:
        # Identical sound requests ran beside those on a harmful prompt part.
        clock = Clock()
        guard = CrashGuard(clock=clock, notify_peers=lambda _run_end: None)
        for number in range(MAX_BREAKS):
            clock.now_s += INTERVAL_S
            guard.record_broken_response(
                "digest", entry(f"t{number}"), sent_at_s=clock() - RUN_S
            )
        self.assertRaises(JaytrayError, guard.check, "digest")
        guard.forget_crash(("t1", "1"))
        guard.check("digest")

    def test_breaks_at_targets_that_are_down_do_not_count(self) -> None:
        # Soak seeds 11009 and 13010: all targets were killed at once, and callers
        # retried at those that were not known to be down.
        clock = Clock()
        guard = CrashGuard(clock=clock, notify_peers=lambda _run_end: None)
        targets = [entry(f"t{number}") for number in range(MAX_BREAKS)]
        for _ in range(4):
            for target in targets:
                guard.record_broken_response(
                    "digest", target, sent_at_s=clock() - RUN_S
                )
            clock.now_s += INTERVAL_S
        guard.check("digest")
        # Breaks at a target that works again count as before.
        for target in targets:
            guard.record_complete_response("other", target)
            guard.record_broken_response("digest", target, sent_at_s=clock() - RUN_S)
            clock.now_s += INTERVAL_S
        self.assertRaises(JaytrayError, guard.check, "digest")

    def test_breaks_of_one_request_in_turn_count_however_close(self) -> None:
        # hoofline: a second attempt ended the next target within 0.2 s.
        clock = Clock()
        guard = CrashGuard(clock=clock, notify_peers=lambda _run_end: None)
        for number in range(MAX_BREAKS):
            guard.check("digest")
            sent_at_s = clock() + 0.001
            clock.now_s += RUN_S
            guard.record_broken_response(
                "digest", entry(f"t{number}"), sent_at_s=sent_at_s
            )
        self.assertRaises(JaytrayError, guard.check, "digest")

    def test_breaks_soon_after_a_complete_response_do_not_count(self) -> None:
        # Soak seed 11009: targets were killed, and identical requests broke in turn.
        clock = Clock()
        sent_run_ends: list[RunEnd] = []
        guard = CrashGuard(clock=clock, notify_peers=sent_run_ends.append)
        guard.record_complete_response("digest", entry("t9"))
        for number in range(MAX_BREAKS):
            sent_at_s = clock() + 0.001
            clock.now_s += RUN_S
            guard.record_broken_response(
                "digest", entry(f"t{number}"), sent_at_s=sent_at_s
            )
        guard.check("digest")
        self.assertEqual([], sent_run_ends)
        guard.quarantine("digest")
        guard.check("digest")
        self.assertEqual([False], [run_end.is_broken for run_end in sent_run_ends])

    def test_simultaneous_breaks_count_once(self) -> None:
        # Soak seed 101: all connections to targets were reset at once.
        clock = Clock()
        guard = CrashGuard(clock=clock, notify_peers=lambda _run_end: None)
        for number in range(MAX_BREAKS):
            guard.record_broken_response(
                "digest", entry(f"t{number}"), sent_at_s=clock() - RUN_S
            )
        guard.check("digest")
