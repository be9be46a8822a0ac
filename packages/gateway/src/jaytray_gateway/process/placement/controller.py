"""Placement control loop: loads and unloads models and adapters to follow demand."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from jaytray_core.clock import MonotonicClock
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.load_forecasts import LoadForecast
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.member_messages import MemberMessages, ReplicaRequest
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.placement.adapter_choice import (
    are_adapter_slots_full,
    choose_target,
    choose_victim,
)
from jaytray_gateway.process.placement.engine_reach import reaches_engines
from jaytray_gateway.process.placement.fencing_base import FencingBase
from jaytray_gateway.process.placement.forecast_sender import ForecastSender
from jaytray_gateway.process.placement.forecasts import forecast_ready_s
from jaytray_gateway.process.placement.leadership import Leadership
from jaytray_gateway.process.placement.load_rate_limiter import LoadRateLimiter
from jaytray_gateway.process.placement.orders import OrderSender
from jaytray_gateway.process.placement.planner import ModelStep, next_steps
from jaytray_gateway.process.placement.replica_demand import Demand
from jaytray_gateway.process.placement.replica_requests import ReplicaRequests
from jaytray_gateway.process.placement.target_plan import TargetPlan
from jaytray_gateway.process.placement.target_plans import TargetPlans
from jaytray_gateway.process.replicas import ReplicaNotice
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.replica_names import replica_name, split_replica
from jaytray_gateway.version.route_table import Engine, Service

# Key of the leader's leased record, relative to the platform adapter's own prefix.
LEADER_KEY = "placement"
PLAN_INTERVAL_S = 0.25
# Shortest interval: at overload, each rejected request is also a replica request.
MIN_PLAN_INTERVAL_S = 0.05
# Time to load an adapter: 9 to 29 ms by the deployment files, plus the time
# that the response takes.
ADAPTER_LOAD_S = 0.032
# Interval and total time for retrying a load after the unload that frees its memory.
SWAP_RETRY_INTERVAL_S = 0.05
SWAP_RETRY_LIMIT_S = 0.6


class PlacementController:
    """Placement controller; only the member that holds the lease sends orders."""

    def __init__(
        self,
        *,
        options: GatewayOptions,
        key_value: KeyValueService,
        adapter: PlatformAdapter,
        directory: Directory,
        member_messages: MemberMessages,
        loads: LoadView,
        health: TargetHealth,
        metrics: GatewayMetrics,
        fencing_base: FencingBase,
        clock: MonotonicClock,
    ) -> None:
        self._own_id = options.vm_id
        self._directory = directory
        self._member_messages = member_messages
        self._loads = loads
        self._clock = clock
        key = adapter.records_prefix + LEADER_KEY
        self._leadership = Leadership(
            own_id=options.vm_id,
            key=key,
            lease_s=options.lease_s,
            key_value=key_value,
            clock=clock,
            read_record=lambda: directory.records_by_key.get(key),
            restored_at_s=lambda: directory.restored_at_s,
            member_ids=member_messages.member_ids,
            reaches_targets=lambda: reaches_engines(directory, member_messages),
            fencing_base=lambda: fencing_base.base,
        )
        self._load_limiter = LoadRateLimiter(
            window_s=options.load_window_s,
            factor=options.load_window_factor,
            clock=clock,
        )
        self._orders = OrderSender(
            own_id=options.vm_id,
            adapter=adapter,
            leadership=self._leadership,
            takes_orders=lambda target: not directory.evacuations.is_requested(
                target.failure_domain
            ),
            health=health,
            metrics=metrics,
            clock=clock,
        )
        self._plans = TargetPlans(
            adapter=adapter,
            orders=self._orders,
            health=health,
            clock=clock,
            on_loaded=self._on_loaded,
            start_task=self._start_task,
        )
        self._requests = ReplicaRequests(clock=clock)
        self._loading_adapters: set[ReplicaRequest] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._term = 0
        self._forecast_sender = ForecastSender(
            broadcast=member_messages.broadcast_forecasts,
            member_count=lambda: len(member_messages.member_ids()),
            clock=clock,
        )
        self._has_requests = asyncio.Event()

    def request_replica(
        self, service: str, model: str, adapter: str, software_version: str | None
    ) -> None:
        """Request a replica from the leader, for a caller's request that needs it."""
        request = ReplicaRequest(service, model, adapter, software_version)
        leader_id = self._leadership.leader_id()
        if leader_id == self._own_id:
            self.add_replica_request(request)
        elif leader_id is not None:
            self._member_messages.send_replica_request(leader_id, request)

    def leader_id(self) -> str | None:
        """Return the VM id of the leader, this one included, None if not known."""
        return self._leadership.leader_id()

    def add_replica_request(self, request: ReplicaRequest) -> None:
        """Record a replica request from this or another member and wake the planner."""
        self._requests.add(request)
        self._has_requests.set()

    def stop(self) -> None:
        """Send no more orders."""
        self._leadership.stop()

    async def run(self) -> None:
        """Compete for the lease and, while holding it, plan until cancelled."""
        leadership_task = asyncio.create_task(self._leadership.run())
        try:
            while True:
                await wait_until_set(self._has_requests, PLAN_INTERVAL_S)
                self._has_requests.clear()
                self._plan()
                await asyncio.sleep(MIN_PLAN_INTERVAL_S)
        finally:
            leadership_task.cancel()
            for task in self._tasks:
                task.cancel()

    def _plan(self) -> None:
        is_leader = self._leadership.is_leader()
        self._directory.is_placement_leader = is_leader
        if not is_leader:
            self._plans.clear()
            return
        if self._term != self._leadership.fencing_number:
            self._term = self._leadership.fencing_number
            self._plans.clear()
        self._requests.drop_expired()
        table = self._directory.route_table
        if table is None:
            return
        forecasts: list[LoadForecast] = []
        for service in table.services_by_name.values():
            if service.engine is not None:
                forecasts += self._plan_service(service, service.engine)
        self._forecast_sender.send(forecasts)

    def _plan_service(self, service: Service, engine: Engine) -> list[LoadForecast]:
        """Start the next steps for a service; returns forecasts of its loads."""
        entries_by_id = {
            target.target_id: target
            for target in self._directory.targets_of(service.name)
            if not self._directory.evacuations.is_requested(target.failure_domain)
        }
        plans = self._plans.refresh(engine, entries_by_id)
        self._load_requested_adapters(service, engine, plans, entries_by_id)
        demand = self._current_demand(service, engine, plans)
        steps = next_steps(
            engine,
            plans,
            demand,
            loads_allowed=self._load_limiter.allowed(engine.loads_per_s),
            now_s=self._clock(),
        )
        plan_by_id = {plan.target_id: plan for plan in plans}
        for step in steps:
            plan = plan_by_id[step.target_id]
            plan.has_model_step = True
            entry = entries_by_id[step.target_id]
            self._start_task(self._execute(step, plan, entry, engine))
        awaited = sorted(
            demand.awaited, key=lambda model: -demand.rates.get(model, 0.0)
        )
        ready_s = forecast_ready_s(engine, plans, awaited, self._clock())
        return [
            LoadForecast(
                service=service.name,
                model=model,
                ready_in_s=seconds,
                demand=round(demand.rates.get(model, 0.0) / 1000, 3),
            )
            for model, seconds in ready_s.items()
        ]

    def _current_demand(
        self, service: Service, engine: Engine, plans: list[TargetPlan]
    ) -> Demand:
        rates = {
            name: rate
            for name, rate in self._member_messages.replica_rates().items()
            if split_replica(name)[0] in engine.models_by_name
        }
        loaded = set().union(*(plan.models for plan in plans))
        in_use_by_target = {
            plan.target_id: self._loads.replicas_in_use(plan.target_id)
            for plan in plans
        }
        return Demand(
            rates,
            self._requests.models_of(service.name) - loaded,
            in_use_by_target,
            self._requests.versioned_models_of(service.name),
        )

    def _load_requested_adapters(
        self,
        service: Service,
        engine: Engine,
        plans: list[TargetPlan],
        entries_by_id: dict[str, TargetEntry],
    ) -> None:
        for request in self._requests.adapters_of(service.name):
            if request in self._loading_adapters:
                continue
            self._loading_adapters.add(request)
            self._start_task(self._load_adapter(request, engine, plans, entries_by_id))

    async def _load_adapter(
        self,
        request: ReplicaRequest,
        engine: Engine,
        plans: list[TargetPlan],
        entries_by_id: dict[str, TargetEntry],
    ) -> None:
        """Load an adapter on a target that has its model, evicting an idle one."""
        try:
            target_id = choose_target(
                engine,
                [
                    plan
                    for plan in plans
                    if request.software_version in (None, plan.software_version)
                ],
                request.model,
                request.adapter,
                rates=self._member_messages.replica_rates(),
                loads=self._loads,
                now_s=self._clock(),
            )
            if target_id is None:
                return
            entry = entries_by_id[target_id]
            async with self._orders.lock_of(target_id):
                ready_in_s = await self._place_adapter(request, entry, engine)
            if ready_in_s is not None:
                await asyncio.sleep(ready_in_s)
                name = replica_name(request.model, request.adapter)
                self._announce(entry, name, is_present=True)
                self._requests.drop(request)
        finally:
            self._loading_adapters.discard(request)

    async def _place_adapter(
        self, request: ReplicaRequest, entry: TargetEntry, engine: Engine
    ) -> float | None:
        """Load with the lock held; return the seconds it takes, None if not ordered."""
        plan = self._plans.find(entry.target_id)
        if plan is None or plan.has_model_step:
            return None
        if (request.model, request.adapter) in plan.used_at_s_by_adapter:
            return 0.0
        if are_adapter_slots_full(engine, plan):
            victim = choose_victim(
                plan,
                rates=self._member_messages.replica_rates(),
                loads=self._loads,
                now_s=self._clock(),
            )
            if victim is None:
                return None
            self._announce(entry, replica_name(*victim), is_present=False)
            if not await self._orders.send(
                plan, entry, engine, is_load=False, model=victim[0], adapter=victim[1]
            ):
                plan.used_at_s_by_adapter[victim] = self._clock()
                return None
        is_accepted = await self._orders.send(
            plan,
            entry,
            engine,
            is_load=True,
            model=request.model,
            adapter=request.adapter,
        )
        return ADAPTER_LOAD_S if is_accepted else None

    async def _execute(
        self, step: ModelStep, plan: TargetPlan, entry: TargetEntry, engine: Engine
    ) -> None:
        get_logger().info(
            "placement_step",
            target=step.target_id,
            operation="load" if step.is_load else "unload",
            model=step.model,
            makes_room_for=step.makes_room_for,
        )
        if not plan.has_cached_weights(step.makes_room_for or step.model):
            self._load_limiter.record_load()
        try:
            async with self._orders.lock_of(entry.target_id):
                # While this step waited for the lock, a report may have replaced the
                # plan, which would not know of the order.
                if self._plans.find(entry.target_id) is not plan:
                    return
                if step.is_load:
                    await self._order_load(plan, entry, engine, step.model)
                else:
                    await self._swap(step, plan, entry, engine)
        finally:
            plan.has_model_step = plan.model_order is not None

    async def _swap(
        self, step: ModelStep, plan: TargetPlan, entry: TargetEntry, engine: Engine
    ) -> None:
        """Unload a model, then load the one that needs its memory.

        The load is retried until the target accepts it. The target does so as soon as
        the unload is complete, which the directory shows only later.
        """
        plan.reserved_model = step.makes_room_for
        plan.reserved_at_s = self._clock()
        self._announce(entry, step.model, is_present=False)
        if not await self._orders.send(
            plan, entry, engine, is_load=False, model=step.model, adapter=""
        ):
            plan.reserved_model = ""
            self._announce(entry, step.model, is_present=True)
            return
        until_s = self._clock() + SWAP_RETRY_LIMIT_S
        while plan.reserved_model and self._clock() < until_s:
            await asyncio.sleep(SWAP_RETRY_INTERVAL_S)
            if plan.avoided_until_s > self._clock():
                return
            if await self._order_load(plan, entry, engine, step.makes_room_for):
                return

    async def _order_load(
        self, plan: TargetPlan, entry: TargetEntry, engine: Engine, model: str
    ) -> bool:
        return await self._orders.send(
            plan, entry, engine, is_load=True, model=model, adapter=""
        )

    def _on_loaded(self, entry: TargetEntry, model: str) -> None:
        """Announce a completed load, which serves all requests that waited for it."""
        self._announce(entry, model, is_present=True)
        self._requests.drop_served(entry, model)

    def _announce(self, entry: TargetEntry, replica: str, *, is_present: bool) -> None:
        notice = ReplicaNotice(
            target_id=entry.target_id,
            incarnation=entry.incarnation,
            replica=replica,
            is_present=is_present,
        )
        self._member_messages.broadcast_notices([notice])

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            get_logger().error("placement_task_failed", error=repr(task.exception()))
