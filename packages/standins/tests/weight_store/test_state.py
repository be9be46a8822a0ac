"""Tests of the limits of the weight store."""

import asyncio

from hypothesis import given, strategies as st
from testtools import TestCase

from jaytray_standins.virtual_time import VirtualClock
from jaytray_standins.weight_store.state import WeightStoreState


class WeightStoreStateTests(TestCase):
    @given(st.lists(st.sampled_from([0.0, 0.1, 0.7, 2.0]), max_size=20))
    def test_limits_hold(self, gaps: list[float]) -> None:
        clock = VirtualClock()
        store = WeightStoreState(clock=clock, loads_per_second=2, concurrent_loads=3)
        spans = []
        for gap in gaps:
            asyncio.run(clock.advance(gap))
            end_s = store.begin_load(1.7)
            spans.append((end_s - 1.7, end_s))
        starts = sorted(start for start, _ in spans)
        for earlier, later in zip(starts, starts[1:], strict=False):
            self.assertTrue(later - earlier >= 0.5 - 1e-9)
        for start in starts:
            at_once = sum(s <= start + 1e-9 < e for s, e in spans)
            self.assertTrue(at_once <= 3)

    def test_adapters_slow_down_beyond_the_limit(self) -> None:
        clock = VirtualClock()
        store = WeightStoreState(clock=clock, adapters_at_full_speed=30)
        ends = [store.begin_adapter_load(0.03) for _ in range(60)]
        self.assertEqual([0.03] * 30, ends[:30])
        self.assertAlmostEqual(0.06, ends[-1])
