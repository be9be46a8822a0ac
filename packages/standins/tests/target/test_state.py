"""Tests of the memory, slots, cache and load reports of the target stand-in."""

import asyncio
from typing import Any

from testtools import TestCase

from jaytray_core.codec import encode_json
from jaytray_core.targets import CacheEventKind, InferRequest, Order, OrderKind
from jaytray_standins.target.accelerators import LoadTimes
from jaytray_standins.target.records import OvercommitError, requests_containing
from jaytray_standins.target.state import TargetState
from jaytray_standins.virtual_time import VirtualClock


def make_state(clock: VirtualClock, **options: Any) -> TargetState:
    return TargetState(
        name="t",
        accelerators=1,
        accelerator_memory_mib=100,
        checks_fencing=False,
        clock=clock,
        sleep=clock.sleep,
        load_times=LoadTimes(1.0, 0.1, 2.0),
        **options,
    )


def load(name: str, memory_mib: int, kind: OrderKind = OrderKind.LOAD_MODEL) -> Order:
    return Order(f"{kind}-{name}", kind, name, name, "1", 0, memory_mib, 1)


def request(request_id: str, prompt: str = "x", priority: int = 0) -> InferRequest:
    body = encode_json({"model": "a", "prompt": prompt, "max_tokens": 3})
    return InferRequest(request_id, "/v1/completions", "a", body, 0, "", priority, 1.0)


async def run_one(state: TargetState, infer_request: InferRequest) -> None:
    async for _event in state.run(infer_request, [("authorization", "sk-1")]):
        pass


class TargetStateTests(TestCase):
    def test_unloading_memory_still_counts(self) -> None:
        async def run() -> None:
            clock = VirtualClock()
            state = make_state(clock)
            state.apply_order(load("a", 60))
            await clock.advance(2.0)
            state.apply_order(load("a", 60, OrderKind.UNLOAD_MODEL))
            state.assert_not_overcommitted()
            state.apply_order(load("b", 60))
            self.assertRaises(OvercommitError, state.assert_not_overcommitted)
            [overcommit] = state.overcommits
            self.assertEqual((120, 100), (overcommit.used_mib, overcommit.capacity_mib))

        asyncio.run(run())

    def test_memory_is_free_after_unloading(self) -> None:
        async def run() -> None:
            clock = VirtualClock()
            state = make_state(clock)
            state.apply_order(load("a", 60))
            await clock.advance(2.0)
            state.apply_order(load("a", 60, OrderKind.UNLOAD_MODEL))
            await clock.advance(2.0)
            state.apply_order(load("b", 60))
            state.assert_not_overcommitted()

        asyncio.run(run())

    def test_unload_waits_for_running_requests(self) -> None:
        async def run() -> None:
            clock = VirtualClock()
            state = make_state(clock, token_interval_s=5.0)
            state.add_ready(load("a", 60))
            running = asyncio.ensure_future(run_one(state, request("r1")))
            await clock.advance(1.0)
            state.apply_order(load("a", 60, OrderKind.UNLOAD_MODEL))
            await clock.advance(6.0)
            self.assertEqual(1, len(state.load_report().residents))
            await clock.advance(30.0)
            await running
            self.assertEqual([], state.load_report().residents)
            self.assertEqual(1, state.accelerators.unloads_in_use)

        asyncio.run(run())

    def test_smallest_priority_gets_the_next_slot(self) -> None:
        async def run() -> None:
            clock = VirtualClock()
            state = make_state(clock, max_running_requests=1)
            state.add_ready(load("a", 60))
            requests = [request("r1"), request("late", "y", 9), request("soon", "z", 1)]
            tasks = [asyncio.ensure_future(run_one(state, r)) for r in requests]
            await clock.advance(0.001)
            report = state.load_report()
            self.assertEqual((1, 2), (report.running_requests, report.queued_requests))
            await clock.advance(10.0)
            await asyncio.gather(*tasks)
            ran = [r.request_id for r in state.ran_requests]
            self.assertEqual(["r1", "soon", "late"], ran)
            self.assertEqual(3, len(requests_containing("sk-1", list(state.ran_requests))))

        asyncio.run(run())

    def test_cache_is_bounded_and_its_events_are_delayed_and_lossy(self) -> None:
        async def run() -> None:
            clock = VirtualClock()
            state = make_state(
                clock,
                cache_tokens=128,
                cache_event_delay_s=1.0,
                lose_every_cache_event=3,
            )
            state.add_ready(load("a", 60))
            task = asyncio.ensure_future(run_one(state, request("r1", "x" * 1_024)))
            await clock.advance(0.5)
            await task
            self.assertEqual([], state.cache_events(0))
            await clock.advance(1.0)
            events = state.cache_events(0)
            self.assertEqual([1, 2, 4, 5], [event.sequence for event in events])
            self.assertEqual(CacheEventKind.EVICTED, events[-1].kind)

        asyncio.run(run())

    def test_load_report_lags(self) -> None:
        async def run() -> None:
            clock = VirtualClock()
            state = make_state(clock, report_lag_s=2.0)
            state.apply_order(load("a", 60))
            for _ in range(4):
                await clock.advance(0.5)
                state.load_report()
            self.assertEqual([], state.load_report().residents)
            for _ in range(8):
                await clock.advance(0.5)
                report = state.load_report()
                self.assertTrue(report.taken_at_s <= clock() - 2.0)
            self.assertEqual(1, len(report.residents))

        asyncio.run(run())
