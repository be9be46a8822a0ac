"""Tests for the placement controller against scripted targets.

Covers swaps of models, adapter loads, orders that take effect late, and memory limits.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.connection.target_pool import TargetConnectionPool
from jaytray_gateway.ports import OrderResult, TargetOrder, TargetReport
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.load_forecasts import LoadForecasts
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.member_messages import MemberMessages, ReplicaRequest
from jaytray_gateway.process.membership import RecentMembers
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.placement.controller import PlacementController
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.replicas import Replicas
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.process.target_reach import TargetReach
from jaytray_gateway.version.route_table import CallerLimits, RouteTable, Service
from jaytray_server.ports import PeerNetwork
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.placement.options import OPTIONS
from packages.gateway.tests.process.placement.test_planner import ENGINE
from packages.gateway.tests.request.wire_format import ADAPTER

LOAD_S = 1.0
REPORT_LAG_S = 0.15


class ScriptedTarget:
    """A target that executes one model order at a time.

    `is_overcommitted` is set once it was ordered to load more than fits. With
    `drops_responses`, orders take effect `delay_s` seconds later and get no response.
    """

    def __init__(self, *, target_id: str, models: str, version: str = "v1") -> None:
        self.target_id = target_id
        self.software_version = version
        self.models = set(models)
        # Models in reports lag behind; whether an order is pending does not.
        self.reported_models = set(models)
        self.adapters: set[tuple[str, str]] = set()
        self.order_count = 0
        self.is_busy = False
        self.is_overcommitted = False
        self.drops_responses = False
        self.delay_s = 0.0
        self.highest_fencing_number = 0
        self.unload_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle_order(self, order: TargetOrder) -> OrderResult:
        if not self.drops_responses:
            return self._execute(order)
        self._start_task(self._execute_late(order))
        await asyncio.sleep(0.6)
        return result(is_certain=False)

    def complete_other_leaders_load(self, model: str) -> None:
        self.models.add(model)
        self.is_busy = False
        self._start_task(self._report_models_later())

    async def _report_models_later(self) -> None:
        await asyncio.sleep(REPORT_LAG_S)
        self.reported_models = set(self.models)

    def report(self) -> TargetReport:
        by_model = {
            model: frozenset(a for m, a in self.adapters if m == model)
            for model in self.reported_models
        }
        return TargetReport(by_model, self.is_busy, self.order_count)

    def entry(self) -> TargetEntry:
        return TargetEntry(
            self.target_id,
            "1",
            "svc",
            self.software_version,
            self.target_id,
            "a",
            False,
            64,
            {
                model: frozenset(a for m, a in self.adapters if m == model)
                for model in self.models
            },
            frozenset(),
            frozenset(),
        )

    async def _execute_late(self, order: TargetOrder) -> None:
        await asyncio.sleep(self.delay_s)
        self._execute(order)

    def _execute(self, order: TargetOrder) -> OrderResult:
        if order.fencing_number < self.highest_fencing_number:
            return result(is_fenced_off=True)
        self.highest_fencing_number = order.fencing_number
        if self.is_busy or order.expected_order_count != self.order_count:
            return result(is_outdated=True)
        self.order_count += 1
        if order.adapter:
            return self._execute_adapter_order(order)
        self._check_room(order)
        self.is_busy = True
        self._start_task(self._finish(order))
        return result(is_accepted=True)

    def _execute_adapter_order(self, order: TargetOrder) -> OrderResult:
        key = (order.model, order.adapter)
        if order.is_load:
            self.adapters.add(key)
            self.is_overcommitted |= len(self.adapters) > ENGINE.adapter_slots
        else:
            self.adapters.discard(key)
        return result(is_accepted=True, is_done=not order.is_load)

    def _check_room(self, order: TargetOrder) -> None:
        if order.is_load and len(self.models | {order.model}) > 3:
            self.is_overcommitted = True

    async def _finish(self, order: TargetOrder) -> None:
        await asyncio.sleep(LOAD_S if order.is_load else self.unload_s)
        if order.is_load:
            self.models.add(order.model)
        else:
            self.models.discard(order.model)
        self.is_busy = False
        await self._report_models_later()

    def _start_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def result(
    *,
    is_certain: bool = True,
    is_accepted: bool = False,
    is_done: bool = False,
    is_fenced_off: bool = False,
    is_outdated: bool = False,
) -> OrderResult:
    return OrderResult(
        is_certain, False, is_accepted, is_done, is_fenced_off, is_outdated, ""
    )


class Harness:
    """The controller of the only member, with scripted targets, in virtual time."""

    def __init__(self, *targets: ScriptedTarget) -> None:
        clock = asyncio.get_running_loop().time
        self.target_by_id = {target.target_id: target for target in targets}
        store = KeyValueStore(clock=clock)
        key_value = in_process_key_value(store, FaultSwitches())
        adapter = ADAPTER._replace(send_order=self._send, read_report=self._report)
        self.directory = Directory(key_value=key_value, adapter=adapter, clock=clock)
        self.directory.route_table = RouteTable(
            1,
            {},
            {"svc": Service("svc", ENGINE)},
            {},
            {},
            CallerLimits(1, 1, 1.0, 1.0),
        )
        loads = LoadView(clock=clock)
        peers = PeerNetwork(
            vm_id="vm",
            send=lambda _to, _topic, _body: False,
            broadcast=lambda _topic, _body: None,
            set_handler=lambda _topic, _handler: None,
            neighbours=lambda: [],
            listed_vms=lambda: ["vm"],
        )
        self.replicas = Replicas(directory=self.directory, clock=clock)
        self.demand = DemandAverage(clock=clock, window_s=6.0)
        member_messages = MemberMessages(
            peers=peers,
            loads=loads,
            recent_members=RecentMembers(clock=clock),
            replicas=self.replicas,
            replica_demand=self.demand,
            forecasts=LoadForecasts(clock=clock),
            reach=TargetReach(
                directory=self.directory,
                pools=TargetConnectionPool(clock=clock),
                clock=clock,
                rng=random.Random(1),
            ),
            relays=RelayMembers(clock=clock, rng=random.Random(1)),
            topology=FleetTopology(own_id="vm"),
            hub_rates=dict,
        )
        self.controller = PlacementController(
            options=OPTIONS,
            key_value=key_value,
            adapter=adapter,
            directory=self.directory,
            member_messages=member_messages,
            loads=loads,
            health=TargetHealth(clock=clock),
            metrics=GatewayMetrics(),
            clock=clock,
        )
        self.tasks = [
            asyncio.create_task(self.controller.run()),
            asyncio.create_task(self._update_directory(key_value.get)),
        ]

    def has_replica(self, model: str, adapter: str = "") -> bool:
        return bool(self.replicas.targets_with_replica("svc", model, adapter))

    async def wait_until(self, is_true: Callable[[], bool], limit_s: float) -> float:
        """Return the seconds until `is_true` holds; fails after `limit_s`."""
        clock = asyncio.get_running_loop().time
        begun_s = clock()
        while not is_true():
            assert clock() - begun_s < limit_s, "condition not met in time"
            await asyncio.sleep(0.01)
        return clock() - begun_s

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _send(
        self, _address: str, target_id: str, order: TargetOrder
    ) -> OrderResult:
        await asyncio.sleep(0.001)
        return await self.target_by_id[target_id].handle_order(order)

    async def _report(self, address: str) -> TargetReport:
        await asyncio.sleep(0.001)
        return self.target_by_id[address].report()

    async def _update_directory(self, get: Callable[[str], Awaitable[object]]) -> None:
        """Update the directory with a small delay."""
        while True:
            await asyncio.sleep(0.2)
            self.directory.targets_by_id = {
                target_id: target.entry()
                for target_id, target in self.target_by_id.items()
            }
            found = await get("own/placement")
            if found is not None:
                value = getattr(found, "value", b"")
                self.directory.records_by_key["own/placement"] = value
            self.replicas.notify_waiters()


def run_with_harness(
    check: Callable[[Harness], Awaitable[None]], *targets: ScriptedTarget
) -> None:
    async def run() -> None:
        harness = Harness(*targets)
        await asyncio.sleep(2.0)
        await check(harness)
        await harness.end()

    run_virtual(run())


def request_and_check(harness: Harness, model: str) -> bool:
    """Request a replica as a waiting request does; return whether it is loaded."""
    harness.controller.request_replica("svc", model, "", None)
    return harness.has_replica(model)


class PlacementControllerTests(TestCase):
    def test_waiting_model_is_swapped_in_without_delay(self) -> None:
        target = ScriptedTarget(target_id="t1", models="abc")

        async def check(harness: Harness) -> None:
            harness.controller.request_replica("svc", "d", "", None)
            took_s = await harness.wait_until(lambda: harness.has_replica("d"), 5.0)
            # The load itself, one retry of the load, and one update of the directory.
            self.assertLess(took_s, LOAD_S + 0.6)
            self.assertFalse(target.is_overcommitted)

        run_with_harness(check, target)

    def test_load_waits_for_an_unload_that_takes_long(self) -> None:
        target = ScriptedTarget(target_id="t1", models="abc")
        target.unload_s = 2.0

        async def check(harness: Harness) -> None:
            harness.controller.request_replica("svc", "d", "", None)
            await harness.wait_until(lambda: harness.has_replica("d"), 8.0)
            self.assertFalse(target.is_overcommitted)

        run_with_harness(check, target)

    def test_adapter_is_loaded_in_tens_of_milliseconds(self) -> None:
        target = ScriptedTarget(target_id="t1", models="ab")

        async def check(harness: Harness) -> None:
            harness.controller.request_replica("svc", "a", "a1", None)
            took_s = await harness.wait_until(
                lambda: harness.has_replica("a", "a1"), 5.0
            )
            self.assertLess(took_s, 0.1)

        run_with_harness(check, target)

    def test_stream_gets_a_replica_at_its_own_version(self) -> None:
        old = ScriptedTarget(target_id="t1", models="abc")
        new = ScriptedTarget(target_id="t2", models="d", version="v2")

        async def check(harness: Harness) -> None:
            harness.controller.request_replica("svc", "d", "a1", "v1")
            await harness.wait_until(lambda: "d" in old.models, 5.0)
            harness.controller.request_replica("svc", "d", "a1", "v1")
            await harness.wait_until(lambda: ("d", "a1") in old.adapters, 5.0)
            self.assertEqual(set(), new.adapters)
            self.assertFalse(old.is_overcommitted)

        run_with_harness(check, old, new)

    def test_adapters_beyond_the_slots_replace_idle_ones(self) -> None:
        target = ScriptedTarget(target_id="t1", models="ab")

        async def check(harness: Harness) -> None:
            for number in range(9):
                harness.controller.request_replica("svc", "a", f"a{number}", None)
                await asyncio.sleep(1.2)
            self.assertTrue(harness.has_replica("a", "a8"))
            self.assertFalse(target.is_overcommitted)

        run_with_harness(check, target)

    @parameterized.expand([(0.0,), (2.0,), (8.0,)])
    def test_orders_without_responses_never_overcommit_memory(
        self, late_s: float
    ) -> None:
        target = ScriptedTarget(target_id="t1", models="abc")
        target.drops_responses = True
        target.delay_s = late_s

        async def check(harness: Harness) -> None:
            for number in range(40):
                harness.controller.request_replica("svc", "defgh"[number % 5], "", None)
                target.drops_responses = number % 4 != 3
                await asyncio.sleep(0.5)
            target.drops_responses = False
            await harness.wait_until(lambda: request_and_check(harness, "d"), 20.0)
            self.assertFalse(target.is_overcommitted)

        run_with_harness(check, target)

    @parameterized.expand([(step / 20,) for step in range(8)])
    def test_target_busy_with_another_leaders_order_gets_none_until_done(
        self, after_s: float
    ) -> None:
        target = ScriptedTarget(target_id="t1", models="ab")
        target.is_busy = True

        async def check(harness: Harness) -> None:
            harness.controller.request_replica("svc", "d", "", None)
            await asyncio.sleep(1.0 + after_s)
            target.complete_other_leaders_load("c")
            await harness.wait_until(lambda: request_and_check(harness, "d"), 6.0)
            self.assertFalse(target.is_overcommitted)

        run_with_harness(check, target)

    def test_replica_request_is_served_before_the_leader_record_is_seen(self) -> None:
        target = ScriptedTarget(target_id="t1", models="ab")

        async def check(harness: Harness) -> None:
            harness.controller.add_replica_request(ReplicaRequest("svc", "c", ""))
            await harness.wait_until(lambda: harness.has_replica("c"), 5.0)

        run_with_harness(check, target)
