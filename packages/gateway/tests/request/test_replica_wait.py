"""Tests for which requests wait for a replica."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.request.replica_wait import decide_wait


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
