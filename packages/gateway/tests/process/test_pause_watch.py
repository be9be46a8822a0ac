"""Tests of noticing that the process did not run."""

import asyncio
import time

import structlog
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_core.tasks import cancel_all
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.pause_watch import CHECK_INTERVAL_S, PauseWatch


class PauseWatchTests(TestCase):
    def logged_pauses_ms(self, pause_s: float) -> list[int]:
        """Return the pauses that are logged when the event loop is held up once."""

        async def run() -> None:
            watch = PauseWatch(clock=monotonic_clock, metrics=GatewayMetrics())
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(CHECK_INTERVAL_S / 2)
            time.sleep(pause_s)
            await asyncio.sleep(CHECK_INTERVAL_S * 2)
            await cancel_all([task])

        with structlog.testing.capture_logs() as lines:
            asyncio.run(run())
        return [
            line["paused_ms"] for line in lines if line["event"] == "process_paused"
        ]

    def test_pause_is_logged(self) -> None:
        (paused_ms,) = self.logged_pauses_ms(1.0)
        self.assertGreater(paused_ms, 800)

    def test_short_pause_is_not_logged(self) -> None:
        self.assertEqual([], self.logged_pauses_ms(0.05))

    def test_pause_is_known_at_its_end_and_forgotten_soon(self) -> None:
        async def run() -> tuple[float, float]:
            watch = PauseWatch(clock=monotonic_clock, metrics=GatewayMetrics())
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(CHECK_INTERVAL_S / 2)
            time.sleep(1.0)
            at_end_s = watch.current_pause_s()
            await asyncio.sleep(CHECK_INTERVAL_S * 3)
            later_s = watch.current_pause_s()
            await cancel_all([task])
            return at_end_s, later_s

        at_end_s, later_s = asyncio.run(run())
        self.assertGreater(at_end_s, 0.8)
        self.assertLess(later_s, 0.5)
