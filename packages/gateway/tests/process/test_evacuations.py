"""Tests of evacuated failure domains, from the store's keys to sends and orders."""

import asyncio
import functools
import random
import time
from collections.abc import Awaitable, Callable

from hypothesis import given, settings, strategies
from testtools import TestCase

from jaytray_core.keyvalue import KeyValueRecord, PrefixRead, WatchBatch
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.evacuations import (
    EVACUATION_FRACTION,
    LOST_REQUEST_S,
    Evacuations,
)
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.placement import test_controller as placement
from packages.gateway.tests.process.test_directory import ADAPTER, Harness
from packages.gateway.tests.process.test_small_parts import Clock
from packages.gateway.tests.request.cases import OK
from packages.gateway.tests.request.harness import GatewayHarness, default_headers
from packages.gateway.tests.request.support import run_with_harness

BOUND_S = 5.0
# Age above which a member does not send, as `Admission` checks before each send.
MAX_COPY_AGE_S = BOUND_S * EVACUATION_FRACTION

STORE_FAULTS = (
    FaultKind.DOWN,
    FaultKind.ANSWER_LOST,
    FaultKind.LATE,
    FaultKind.SLOW,
    FaultKind.SILENT,
)


def request(evacuations: Evacuations, domain: str, as_of_s: float) -> None:
    evacuations.apply(domain, is_requested=True, absent_as_of_s=as_of_s)


def end(evacuations: Evacuations, domain: str) -> None:
    evacuations.apply(domain, is_requested=False, absent_as_of_s=0.0)


class EvacuationTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.evacuations = Evacuations(clock=self.clock, evacuation_s=BOUND_S)

    def test_bound_counts_from_the_last_copy_without_the_evacuation(self) -> None:
        request(self.evacuations, "a", self.clock.now_s - 2.0)
        self.assertFalse(self.evacuations.is_in_force("a"))
        self.assertGreater(self.evacuations.cost_ms("a"), 0.0)
        self.clock.now_s += MAX_COPY_AGE_S - 2.0
        self.assertTrue(self.evacuations.is_in_force("a"))
        self.assertFalse(self.evacuations.is_in_force("b"))

    def test_second_request_does_not_extend_the_time(self) -> None:
        request(self.evacuations, "a", self.clock.now_s)
        self.clock.now_s += MAX_COPY_AGE_S
        request(self.evacuations, "a", self.clock.now_s)
        self.assertTrue(self.evacuations.is_in_force("a"))

    def test_domains_are_evacuated_and_taken_back_one_by_one(self) -> None:
        ended: list[str] = []
        self.evacuations.on_ended(ended.append)
        request(self.evacuations, "a", -float("inf"))
        request(self.evacuations, "b", -float("inf"))
        end(self.evacuations, "a")
        end(self.evacuations, "a")
        self.assertFalse(self.evacuations.is_requested("a"))
        self.assertTrue(self.evacuations.is_in_force("b"))
        self.assertEqual(["a"], ended)

    def test_request_that_the_store_has_lost_holds_for_a_while(self) -> None:
        for domain in "ab":
            request(self.evacuations, domain, -float("inf"))
            self.evacuations.apply(
                domain, is_requested=False, absent_as_of_s=0.0, is_lost=True
            )
            self.assertTrue(self.evacuations.is_in_force(domain))
        request(self.evacuations, "b", self.clock.now_s)
        self.clock.now_s += LOST_REQUEST_S
        self.evacuations.update()
        self.assertFalse(self.evacuations.is_requested("a"))
        self.assertTrue(self.evacuations.is_in_force("b"))

    def test_deployment_without_the_bound_ignores_the_keys(self) -> None:
        evacuations = Evacuations(clock=self.clock)
        request(evacuations, "a", -float("inf"))
        self.assertFalse(evacuations.is_in_force("a"))
        self.assertEqual(0.0, evacuations.cost_ms("a"))


def usable(directory: Directory) -> int:
    """Return the targets that requests are sent to by this copy."""
    if directory.age_s() > MAX_COPY_AGE_S:
        return 0
    targets = directory.targets_by_id.values()
    found = directory.targets_of("svc")
    assert {t.target_id for t in found} == {
        t.target_id for t in targets if directory.takes_requests(t)
    }
    return len(found)


def directory_of(clock: Clock, restores: list[int]) -> Directory:
    """Return a directory whose store has returned from copies `restores[0]` times."""
    key_value = in_process_key_value(KeyValueStore(clock=clock), FaultSwitches())
    return Directory(
        key_value=key_value._replace(count_restores=lambda: restores[0]),
        adapter=ADAPTER,
        clock=clock,
        evacuations=Evacuations(clock=clock, evacuation_s=BOUND_S),
    )


def run_with_directory(check: Callable[[Harness], Awaitable[None]]) -> None:
    async def run() -> None:
        clock = asyncio.get_running_loop().time
        harness = Harness()
        harness.directory.evacuations = Evacuations(clock=clock, evacuation_s=BOUND_S)
        await harness.put("targets/t1", b"ready")
        await asyncio.sleep(1.0)
        await check(harness)
        await harness.end()

    run_virtual(run())


class DirectoryTests(TestCase):
    @settings(max_examples=25)
    @given(
        seed=strategies.integers(0, 1000),
        fault=strategies.sampled_from([None, *STORE_FAULTS]),
    )
    def test_no_request_is_sent_after_the_bound(
        self, seed: int, fault: FaultKind | None
    ) -> None:
        async def check(harness: Harness) -> None:
            rng = random.Random(seed)
            await asyncio.sleep(rng.uniform(0.0, 8.0))
            if fault is not None:
                harness.faults.set(Fault(fault, delay_s=rng.uniform(0.1, 3.0)))
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            await harness.put("evacuate/a", b"{}")
            acknowledged_s = asyncio.get_running_loop().time()
            await asyncio.sleep(rng.uniform(0.0, BOUND_S))
            if rng.random() < 0.5:
                harness.faults.clear()
            while asyncio.get_running_loop().time() < acknowledged_s + 15.0:
                if asyncio.get_running_loop().time() >= acknowledged_s + BOUND_S:
                    self.assertEqual(0, usable(harness.directory))
                await asyncio.sleep(0.05)

        run_with_directory(check)

    def test_request_ended_just_after_a_restore_of_the_store_ends(self) -> None:
        # Soak seeds 11 and 11009: it held for ten seconds, as if the store had lost it.
        clock, restores = Clock(), [0]
        directory = directory_of(clock, restores)
        key = KeyValueRecord("evacuate/a", b"{}", 2)
        directory.apply_read(PrefixRead([key], 2), clock.now_s)
        restores[0] += 1
        directory.apply_read(PrefixRead([key._replace(revision=5)], 5), clock.now_s)
        removal = KeyValueRecord("evacuate/a", b"", 6)
        directory.apply_batch(WatchBatch([removal], 6), clock.now_s)
        self.assertFalse(directory.evacuations.is_requested("a"))

    def test_request_lost_by_a_restore_of_the_store_holds_for_a_while(self) -> None:
        clock, restores = Clock(), [0]
        directory = directory_of(clock, restores)
        key = KeyValueRecord("evacuate/a", b"{}", 2)
        directory.apply_read(PrefixRead([key], 2), clock.now_s)
        restores[0] += 1
        directory.apply_read(PrefixRead([], 5), clock.now_s)
        self.assertTrue(directory.evacuations.is_in_force("a"))
        clock.now_s += LOST_REQUEST_S
        directory.evacuations.update()
        self.assertFalse(directory.evacuations.is_in_force("a"))

    def test_domain_is_evacuated_in_time_and_taken_back(self) -> None:
        async def check(harness: Harness) -> None:
            await harness.put("evacuate/a", b"not a value")
            await asyncio.sleep(0.7)
            # The load moves first; the targets are not dropped at once.
            self.assertTrue(harness.directory.evacuations.is_requested("a"))
            self.assertEqual(1, usable(harness.directory))
            await asyncio.sleep(BOUND_S - 0.7)
            self.assertEqual(0, usable(harness.directory))
            restarted = Harness(harness.store)
            restarted.directory.evacuations = Evacuations(
                clock=asyncio.get_running_loop().time, evacuation_s=BOUND_S
            )
            await asyncio.sleep(0.2)
            self.assertEqual(0, usable(restarted.directory))
            await restarted.end()
            await harness.put("evacuate/a", None)
            await asyncio.sleep(1.0)
            self.assertEqual(1, usable(harness.directory))

        run_with_directory(check)


def evacuate(harness: GatewayHarness, domain: str = "a") -> None:
    harness.directory.evacuations = Evacuations(
        clock=time.monotonic, evacuation_s=BOUND_S
    )
    request(harness.directory.evacuations, domain, -float("inf"))


class RequestTests(TestCase):
    def test_requests_are_refused_at_once_if_all_targets_are_evacuated(self) -> None:
        # The service could load the model, so that a request would wait for it.
        async def check(harness: GatewayHarness) -> None:
            harness.offer_unloaded_model()
            evacuate(harness)
            async with asyncio.timeout(0.2):
                received = await harness.send_request(
                    headers=[*default_headers(), (b"x-model", b"m")]
                )
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertIn(b"retry-after", received.headers)
            self.assertEqual([], harness.targets[0].heads)

        run_with_harness(check, [OK])

    def test_other_failure_domains_serve(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            by_id = harness.directory.targets_by_id
            by_id["t1"] = by_id["t1"]._replace(failure_domain="b")
            evacuate(harness)
            self.assertEqual(200, (await harness.send_request()).status)
            self.assertEqual([0, 1], [len(t.heads) for t in harness.targets])

        run_with_harness(check, [OK], [OK])


class PlacementTests(TestCase):
    def test_models_are_loaded_elsewhere_and_no_order_goes_inside(self) -> None:
        inside = placement.ScriptedTarget(target_id="t1", models="abc")
        outside = placement.ScriptedTarget(target_id="t2", models="")
        entry_inside = inside.entry

        def entry_in_b() -> TargetEntry:
            return entry_inside()._replace(failure_domain="b")

        inside.entry = entry_in_b  # type: ignore[method-assign]

        async def check(harness: placement.Harness) -> None:
            harness.directory.evacuations = Evacuations(
                clock=asyncio.get_running_loop().time, evacuation_s=BOUND_S
            )
            request(harness.directory.evacuations, "b", -float("inf"))
            for model in "ad":
                is_loaded = functools.partial(
                    placement.request_and_check, harness, model
                )
                await harness.wait_until(is_loaded, 10.0)
            self.assertEqual({"a", "d"}, outside.models)
            self.assertEqual(0, inside.order_count)

        placement.run_with_harness(check, inside, outside)
