"""Tests for the placement controller against scripted targets.

Covers swaps of models, adapter loads, orders that take effect late, and memory limits.
"""

import asyncio
from collections.abc import Awaitable, Callable

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.ports import OrderResult, TargetOrder, TargetReport
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.gossip import Gossip, ReplicaRequest
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.membership import CountedMembers
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.placement.duty import PlacementDuty
from jaytray_gateway.process.replicas import Replicas
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.version.route_table import CallerLimits, RouteTable, Service
from jaytray_server.ports import PeerNetwork
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.placement.test_planner import ENGINE
from packages.gateway.tests.request.support import ADAPTER

OPTIONS = GatewayOptions(
    vm_id="vm",
    failure_domain="a",
    callers_address="127.0.0.1:1",
    probe_address="127.0.0.1:2",
    peers_address="127.0.0.1:3",
    metrics_address="",
    key_value_address="127.0.0.1:4",
    revocation_s=5.0,
    change_s=2.0,
    grace_s=8.0,
    repeat_ratio=0.2,
    repeat_extra=56.0,
    repeat_window_s=10.0,
    lease_s=3.0,
    load_window_s=5.0,
    load_window_factor=1.1,
)
LOAD_S = 1.0
REPORT_LAG_S = 0.15


class Engine:
    """A target that executes one model order at a time.

    `is_overfilled` is set once it was ordered to load more than fits. With
    `loses_answers`, orders take effect `late_s` seconds later and get no reply.
    """

    def __init__(self, *, target_id: str, models: str) -> None:
        self.target_id = target_id
        self.models = set(models)
        # Models in reports lag behind; whether an order is pending does not.
        self.reported_models = set(models)
        self.adapters: set[tuple[str, str]] = set()
        self.order_count = 0
        self.is_busy = False
        self.is_overfilled = False
        self.loses_answers = False
        self.late_s = 0.0
        self.highest_fence = 0
        self.unload_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def take(self, order: TargetOrder) -> OrderResult:
        if not self.loses_answers:
            return self._carry_out(order)
        self._later(self._late(order))
        await asyncio.sleep(0.6)
        return result(is_certain=False)

    def complete_foreign_load(self, model: str) -> None:
        self.models.add(model)
        self.is_busy = False
        self._later(self._report_models_later())

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

    async def _late(self, order: TargetOrder) -> None:
        await asyncio.sleep(self.late_s)
        self._carry_out(order)

    def _carry_out(self, order: TargetOrder) -> OrderResult:
        if order.fencing_number < self.highest_fence:
            return result(is_fenced_off=True)
        self.highest_fence = order.fencing_number
        if self.is_busy or order.expected_order_count != self.order_count:
            return result(is_outdated=True)
        self.order_count += 1
        if order.adapter:
            return self._take_adapter(order)
        self._check_room(order)
        self.is_busy = True
        self._later(self._finish(order))
        return result(is_accepted=True)

    def _take_adapter(self, order: TargetOrder) -> OrderResult:
        key = (order.model, order.adapter)
        if order.is_load:
            self.adapters.add(key)
            self.is_overfilled |= len(self.adapters) > ENGINE.adapter_slots
        else:
            self.adapters.discard(key)
        return result(is_accepted=True, is_done=not order.is_load)

    def _check_room(self, order: TargetOrder) -> None:
        if order.is_load and len(self.models | {order.model}) > 3:
            self.is_overfilled = True

    async def _finish(self, order: TargetOrder) -> None:
        await asyncio.sleep(LOAD_S if order.is_load else self.unload_s)
        if order.is_load:
            self.models.add(order.model)
        else:
            self.models.discard(order.model)
        self.is_busy = False
        await self._report_models_later()

    def _later(self, work: Awaitable[None]) -> None:
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


class Site:
    """The controller of the only member, with scripted targets, in virtual time."""

    def __init__(self, *engines: Engine) -> None:
        clock = asyncio.get_running_loop().time
        self.engine_by_id = {engine.target_id: engine for engine in engines}
        store = KeyValueStore(clock=clock)
        key_value = in_process_key_value(store, FaultSwitches())
        adapter = ADAPTER._replace(send_order=self._send, read_report=self._report)
        self.directory = Directory(
            key_value=key_value, adapter=adapter, clock=clock, bound_s=2.0
        )
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
        gossip = Gossip(
            peers=peers,
            loads=loads,
            counted=CountedMembers(clock=clock),
            replicas=self.replicas,
            replica_demand=self.demand,
        )
        self.duty = PlacementDuty(
            options=OPTIONS,
            key_value=key_value,
            adapter=adapter,
            directory=self.directory,
            gossip=gossip,
            loads=loads,
            health=TargetHealth(clock=clock),
            metrics=GatewayMetrics(),
            clock=clock,
        )
        self.tasks = [
            asyncio.create_task(self.duty.run()),
            asyncio.create_task(self._follow(key_value.get)),
        ]

    def holds(self, model: str, adapter: str = "") -> bool:
        return bool(self.replicas.holders_of("svc", model, adapter))

    async def until(self, is_true: Callable[[], bool], limit_s: float) -> float:
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
        return await self.engine_by_id[target_id].take(order)

    async def _report(self, address: str) -> TargetReport:
        await asyncio.sleep(0.001)
        return self.engine_by_id[address].report()

    async def _follow(self, get: Callable[[str], Awaitable[object]]) -> None:
        """Update the directory with a small delay."""
        while True:
            await asyncio.sleep(0.2)
            self.directory.targets_by_id = {
                target_id: engine.entry()
                for target_id, engine in self.engine_by_id.items()
            }
            found = await get("own/placement")
            if found is not None:
                value = getattr(found, "value", b"")
                self.directory.members_by_key["own/placement"] = value
            self.replicas.wake()


def run_site(check: Callable[[Site], Awaitable[None]], *engines: Engine) -> None:
    async def run() -> None:
        site = Site(*engines)
        await asyncio.sleep(2.0)
        await check(site)
        await site.end()

    run_virtual(run())


def asks_for(site: Site, model: str) -> bool:
    """Request a replica as a waiting request does; return whether it is loaded."""
    site.duty.ask("svc", model, "")
    return site.holds(model)


class DutyTests(TestCase):
    def test_waiting_model_is_swapped_in_without_delay(self) -> None:
        engine = Engine(target_id="t1", models="abc")

        async def check(site: Site) -> None:
            site.duty.ask("svc", "d", "")
            took_s = await site.until(lambda: site.holds("d"), 5.0)
            # The load itself, one retry of the load, and one update of the directory.
            self.assertLess(took_s, LOAD_S + 0.6)
            self.assertFalse(engine.is_overfilled)

        run_site(check, engine)

    def test_load_waits_for_an_unload_that_takes_long(self) -> None:
        engine = Engine(target_id="t1", models="abc")
        engine.unload_s = 2.0

        async def check(site: Site) -> None:
            site.duty.ask("svc", "d", "")
            await site.until(lambda: site.holds("d"), 8.0)
            self.assertFalse(engine.is_overfilled)

        run_site(check, engine)

    def test_adapter_is_loaded_in_tens_of_milliseconds(self) -> None:
        engine = Engine(target_id="t1", models="ab")

        async def check(site: Site) -> None:
            site.duty.ask("svc", "a", "a1")
            took_s = await site.until(lambda: site.holds("a", "a1"), 5.0)
            self.assertLess(took_s, 0.1)

        run_site(check, engine)

    def test_adapters_beyond_the_places_replace_unused_ones(self) -> None:
        engine = Engine(target_id="t1", models="ab")

        async def check(site: Site) -> None:
            for number in range(9):
                site.duty.ask("svc", "a", f"a{number}")
                await asyncio.sleep(1.2)
            self.assertTrue(site.holds("a", "a8"))
            self.assertFalse(engine.is_overfilled)

        run_site(check, engine)

    @parameterized.expand([(0.0,), (2.0,), (8.0,)])
    def test_orders_without_answers_never_overfill(self, late_s: float) -> None:
        engine = Engine(target_id="t1", models="abc")
        engine.loses_answers = True
        engine.late_s = late_s

        async def check(site: Site) -> None:
            for number in range(40):
                site.duty.ask("svc", "defgh"[number % 5], "")
                engine.loses_answers = number % 4 != 3
                await asyncio.sleep(0.5)
            engine.loses_answers = False
            await site.until(lambda: asks_for(site, "d"), 20.0)
            self.assertFalse(engine.is_overfilled)

        run_site(check, engine)

    @parameterized.expand([(step / 20,) for step in range(8)])
    def test_target_busy_with_another_holders_order_is_left_until_it_is_done(
        self, after_s: float
    ) -> None:
        engine = Engine(target_id="t1", models="ab")
        engine.is_busy = True

        async def check(site: Site) -> None:
            site.duty.ask("svc", "d", "")
            await asyncio.sleep(1.0 + after_s)
            engine.complete_foreign_load("c")
            await site.until(lambda: asks_for(site, "d"), 6.0)
            self.assertFalse(engine.is_overfilled)

        run_site(check, engine)

    def test_wish_is_met_before_the_site_knows_its_holder(self) -> None:
        engine = Engine(target_id="t1", models="ab")

        async def check(site: Site) -> None:
            site.duty.take_replica_request(ReplicaRequest("svc", "c", ""))
            await site.until(lambda: site.holds("c"), 5.0)

        run_site(check, engine)
