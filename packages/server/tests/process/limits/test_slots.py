"""Tests of the fair queueing for the running slots of targets."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from testtools import TestCase

from jaytray_core.document.model import (
    Document,
    Target,
    TrafficClass,
    empty_document,
)
from jaytray_core.errors import JaytrayError
from jaytray_server.ports import SlotRequest
from jaytray_server.process.limits.slots import TargetSlots

TARGET = Target("t", "127.0.0.1:1", "d", 1, 1, False, 1, False)


def one_target() -> Document:
    """Return a document with one target that has one slot."""
    return empty_document("trial")._replace(targets_by_name={"t": TARGET})


def request(
    account: str,
    *,
    weight: float = 1.0,
    traffic_class: TrafficClass = TrafficClass.INTERACTIVE,
    max_wait_s: float = 60.0,
) -> SlotRequest:
    """Return a slot request of 100 tokens."""
    return SlotRequest("t", account, weight, 100, traffic_class, max_wait_s)


class SlotTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.started: list[str] = []
        self.slots = TargetSlots(
            current_document=one_target, clock=lambda: 0.0, max_waiting_per_account=20
        )

    async def run_one(self, wanted: SlotRequest) -> None:
        async with self.slots.acquire(wanted):
            self.started.append(f"{wanted.account}/{wanted.traffic_class}")
            await asyncio.sleep(0)

    def run_all(self, wanted: list[SlotRequest]) -> None:
        async def scenario() -> None:
            await asyncio.gather(*(self.run_one(one) for one in wanted))

        asyncio.run(scenario())

    def test_a_flooding_account_delays_no_other(self) -> None:
        self.run_all([request("big")] * 15 + [request("small")] * 3)
        last_small = max(
            position
            for position, name in enumerate(self.started)
            if name.startswith("small")
        )
        self.assertLess(last_small, 8)

    def test_larger_weight_gets_more_starts(self) -> None:
        heavy = [request("heavy", weight=3.0)] * 16
        self.run_all(heavy + [request("light")] * 16)
        first = Counter(name.split("/")[0] for name in self.started[:16])
        self.assertEqual(12, first["heavy"])

    def test_deferred_requests_get_few_starts(self) -> None:
        deferred = [request("d", traffic_class=TrafficClass.DEFERRED)] * 2
        self.run_all([request("i")] * 18 + deferred)
        positions = [
            position for position, name in enumerate(self.started) if "deferred" in name
        ]
        self.assertEqual(2, len(positions))
        self.assertLess(positions[0], 10)
        self.assertGreater(positions[0], 3)

    def test_full_queue_refuses(self) -> None:
        async def scenario() -> str:
            tasks = [asyncio.create_task(self.run_one(request("a"))) for _ in range(21)]
            await asyncio.sleep(0)
            error: JaytrayError | None = None
            try:
                await self.run_one(request("a"))
            except JaytrayError as err:
                error = err
            await asyncio.gather(*tasks)
            assert error is not None
            return error.code

        self.assertEqual("queue_full", asyncio.run(scenario()))

    def test_cancelled_waiter_is_removed_from_the_queue(self) -> None:
        async def cancel_waiting(start: Callable[[str], Awaitable[None]]) -> None:
            task = asyncio.ensure_future(start("b"))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        async def scenario() -> None:
            async with self.slots.acquire(request("a")):
                await cancel_waiting(lambda name: self.run_one(request(name)))
            await self.run_one(request("c", max_wait_s=0.0))

        asyncio.run(scenario())
        self.assertEqual(["c/interactive"], self.started)

    def test_request_that_cannot_start_in_time_is_refused_at_once(self) -> None:
        now = 0.0
        slots = TargetSlots(current_document=one_target, clock=lambda: now)

        async def scenario() -> float | None:
            nonlocal now
            async with slots.acquire(request("a")):
                now = 10.0
            async with slots.acquire(request("a")):
                try:
                    async with slots.acquire(request("b", max_wait_s=1.0)):
                        return None
                except JaytrayError as err:
                    self.assertEqual("deadline_unreachable", err.code)
                    return err.retry_after_s

        self.assertEqual(10.0, asyncio.run(scenario()))

    def test_cancelled_requests_do_not_count_against_their_account(self) -> None:
        async def scenario() -> None:
            async with self.slots.acquire(request("x")):
                cancelled = asyncio.create_task(self.run_one(request("a")))
                await asyncio.sleep(0)
                cancelled.cancel()
                await asyncio.gather(cancelled, return_exceptions=True)
                tasks = [
                    asyncio.create_task(self.run_one(request(name))) for name in "ab"
                ]
                await asyncio.sleep(0)
            await asyncio.gather(*tasks)

        asyncio.run(scenario())
        self.assertEqual(["a/interactive", "b/interactive"], self.started)
