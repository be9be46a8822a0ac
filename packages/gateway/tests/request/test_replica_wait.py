"""Tests for which requests wait for a replica, and when rejected callers return."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.request.replica_wait import (
    MAX_SPREAD_S,
    ReturnSchedule,
    decide_wait,
)

KEY = ("svc", "m")


class DecideWaitTests(TestCase):
    @parameterized.expand(
        [
            # waited, longest, forecast, load time: whether it waits, Retry-After
            ("load_in_time", 0.0, 1.7, 1.2, 6.3, True, 1.2),
            ("load_too_late", 0.0, 1.7, 4.0, 6.3, False, 4.0),
            ("returned_near_the_end", 0.0, 1.7, 0.9, 6.3, True, 0.9),
            ("patient", 0.0, 12.0, 6.0, 6.3, True, 6.0),
            ("patient_behind_other_loads", 0.0, 12.0, 14.0, 6.3, False, 14.0),
            ("forecast_moved_back", 7.0, 12.0, 6.0, 6.3, False, 6.0),
            ("overdue", 1.0, 1.7, 0.0, 6.3, True, 0.5),
            ("no_longer", 1.7, 1.7, 0.0, 6.3, False, 0.5),
            ("no_forecast_long_load", 0.0, 1.7, None, 6.3, False, 6.3),
            ("no_forecast_short_load", 0.0, 1.7, None, 1.1, True, 1.1),
            ("no_forecast_until_the_end", 9.0, 12.0, None, 6.3, True, 0.5),
        ]
    )
    def test_decision(
        self,
        _name: str,
        waited_s: float,
        longest_s: float,
        ready_in_s: float | None,
        load_s: float,
        is_waiting: bool,
        retry_after_s: float,
    ) -> None:
        decision = decide_wait(
            waited_s=waited_s,
            longest_s=longest_s,
            ready_in_s=ready_in_s,
            load_s=load_s,
        )
        self.assertEqual((is_waiting, retry_after_s), decision)


class ReturnScheduleTests(TestCase):
    def test_rejected_callers_return_in_their_order_and_not_together(self) -> None:
        schedule = ReturnSchedule()
        returns_at_s = []
        for number in range(100):
            now_s = number * 0.02
            after_s = schedule.retry_after_s(
                KEY, now_s=now_s, ready_in_s=6.0 - now_s, takes_s=0.01
            )
            returns_at_s.append(now_s + after_s)
        self.assertEqual(sorted(returns_at_s), returns_at_s)
        self.assertEqual(100, len({round(at_s, 4) for at_s in returns_at_s}))
        self.assertGreaterEqual(returns_at_s[0], 6.0)
        self.assertLessEqual(returns_at_s[-1], 6.0 + MAX_SPREAD_S)

    def test_later_forecast_is_followed(self) -> None:
        schedule = ReturnSchedule()
        schedule.retry_after_s(KEY, now_s=0.0, ready_in_s=2.0, takes_s=0.1)
        after_s = schedule.retry_after_s(KEY, now_s=1.0, ready_in_s=5.0, takes_s=0.1)
        self.assertEqual(5.0, after_s)

    def test_models_are_scheduled_apart(self) -> None:
        schedule = ReturnSchedule()
        for _ in range(50):
            schedule.retry_after_s(KEY, now_s=0.0, ready_in_s=2.0, takes_s=0.03)
        other = ("svc", "other")
        after_s = schedule.retry_after_s(other, now_s=0.0, ready_in_s=2.0, takes_s=0.1)
        self.assertEqual(2.0, after_s)

    def test_past_returns_are_forgotten(self) -> None:
        schedule = ReturnSchedule()
        schedule.retry_after_s(KEY, now_s=0.0, ready_in_s=8.9, takes_s=0.1)
        schedule.drop_past(9.0)
        after_s = schedule.retry_after_s(KEY, now_s=9.0, ready_in_s=0.5, takes_s=8.0)
        self.assertEqual(0.5, after_s)
