"""Tests for the moving average of demand."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.demand_average import DemandAverage

WINDOW_S = 6.0
RATE = 20.0


class DemandAverageTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        # Requests begin some time after the process.
        self.now_s = 100.0
        self.average = DemandAverage(clock=lambda: self.now_s, window_s=WINDOW_S)
        self.now_s += 12.0

    def add_for(self, duration_s: float) -> None:
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += 1 / RATE
            self.average.add("m", 50.0)

    @parameterized.expand([(1.0,), (2.0,), (6.0,), (30.0,)])
    def test_constant_demand_is_known_soon(self, duration_s: float) -> None:
        self.add_for(duration_s)
        self.assertLess(abs(self.average.rates()["m"] / (50.0 * RATE) - 1), 0.1)

    def test_first_request_is_not_taken_for_much(self) -> None:
        self.average.add("m", 50.0)
        self.assertLess(self.average.rates()["m"], 60.0)

    def test_demand_that_ends_decays(self) -> None:
        self.add_for(10.0)
        self.now_s += 3 * WINDOW_S
        self.assertLess(self.average.rates()["m"], 0.06 * 50.0 * RATE)

    def test_nothing_is_known_at_first(self) -> None:
        self.assertEqual({}, self.average.rates())
