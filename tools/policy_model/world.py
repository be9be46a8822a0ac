"""Simulates a site with the server's own routers and planner.

Each VM has its own target table, cache index and router. Load reports reach the VMs
with a delay; cache events reach only the two VMs that observe a target. One planner
runs a pass per second, and its orders, paced by the limits of the weight store, change
the simulated targets.
"""

from random import Random

from jaytray_core.document.model import Document, TrafficClass
from jaytray_core.errors import JaytrayError
from jaytray_core.rendezvous import rank_members
from jaytray_core.targets import LoadReport, Order, OrderKind
from jaytray_server.ports import Router, RoutingRequest
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.demand import Demand, DemandMeter
from jaytray_server.process.placement.changes import (
    PlannedChange,
    PlanSettings,
    order_for,
)
from jaytray_server.process.placement.memory import LOAD_KINDS
from jaytray_server.process.placement.pacing import LoadLimits, LoadPacer
from jaytray_server.process.placement.planner import plan
from jaytray_server.process.placement.state import TargetState
from jaytray_server.process.target_table import TargetTable
from jaytray_server.request.routing import make_router
from tools.policy_model.outcome import Outcome, Policy
from tools.policy_model.sites import EVENT_TIMES, Site, Workload, make_document
from tools.policy_model.targets import (
    ADAPTER_LOAD_S,
    MODEL_LOAD_S,
    UNLOAD_S,
    Call,
    FakeTarget,
    Running,
)

TICK_S = 0.05
VMS = 8
REPORT_EVERY_TICKS = 20
REPORT_LAG_TICKS = 10
PROGRESS_EVERY_TICKS = 10
PLANNING_PASS_EVERY_TICKS = 20
UNUSABLE_AFTER_S = 5.0
ADAPTER_WAIT_S = 5.0
WARM_UP_S = 40.0


class _Vm:
    """One VM: its router and the state that the router decides on."""

    def __init__(
        self, *, simulation: "Simulation", number: int, policy: Policy
    ) -> None:
        self.name = f"vm-{number}"
        self.table = TargetTable(
            clock=simulation.clock,
            counts_own_requests=policy.counts_own_requests,
        )
        self.cache_index = CacheIndex(clock=simulation.clock)
        self.demand = DemandMeter(clock=simulation.clock)
        domains = simulation.site.domains
        self.router: Router = make_router(
            table=self.table,
            cache_index=self.cache_index,
            current_document=lambda: simulation.document,
            clock=simulation.clock,
            random=Random(f"{simulation.seed}/{number}"),
            vm_failure_domain=domains[number % len(domains)],
            policy=policy.routing,
            demand=self.demand,
        )


class Simulation:
    """A simulation run of one policy at one site with one seed."""

    def __init__(self, *, site: Site, policy: Policy, seed: int) -> None:
        self.site = site
        self.policy = policy
        self.seed = seed
        self.tick = 0
        self.document: Document = make_document(site)
        self.targets = {
            name: FakeTarget(target=target)
            for name, target in self.document.targets_by_name.items()
        }
        self.vms = [_Vm(simulation=self, number=n, policy=policy) for n in range(VMS)]
        self.workload = Workload(site=site, document=self.document, seed=seed, vms=VMS)
        limits = LoadLimits(site.loads_per_second, site.concurrent_loads)
        self.pacer = LoadPacer(clock=self.clock, limits=limits)
        self.reports: list[tuple[int, LoadReport]] = []
        self.calls_awaiting_adapter: list[tuple[Call, str]] = []
        self.orders = 0
        self.moves = 0
        self.adapter_loads = 0
        self.down_since_s: dict[str, float] = {}
        self.unsettled_orders_by_target: dict[str, list[Order]] = {
            name: [] for name in self.targets
        }
        self.offered_by_account: dict[str, int] = {}
        self.attained_by_account: dict[str, int] = {}
        self.refused = 0
        self.unreachable_s = 0.0
        self.unreachable_since_s: dict[str, float] = {}
        self.longest_unreachable_s = 0.0

    def clock(self) -> float:
        """Return the virtual time in seconds."""
        return self.tick * TICK_S

    def run(self) -> Outcome:
        """Run the simulation to its end."""
        self._place_initial_models()
        while self.clock() < EVENT_TIMES.end_s:
            self._inject_faults()
            if self.tick % REPORT_EVERY_TICKS == 0:
                self._collect_reports()
            self._deliver_reports()
            if self.tick % PLANNING_PASS_EVERY_TICKS == 0:
                self._run_planning_pass()
            is_shifted = self.clock() >= EVENT_TIMES.shift_at_s
            for call in self.workload.calls(self.clock(), TICK_S, is_shifted):
                self._handle_arrival(call)
            self._retry_waiting_calls()
            for name, target in self.targets.items():
                self._advance_target(name, target)
            self._check_reachability()
            self.tick += 1
        return self._outcome()

    def _handle_arrival(self, call: Call) -> None:
        if self._is_counted(call):
            offered = self.offered_by_account
            offered[call.account] = offered.get(call.account, 0) + 1
        self._route(call, frozenset())

    def _route(self, call: Call, excluded: frozenset[str]) -> None:
        request = RoutingRequest(
            call.request_id,
            call.name,
            call.account,
            TrafficClass.INTERACTIVE,
            call.prompt_tokens,
            call.output_tokens,
            call.prefix_digests,
            excluded,
            call.deadline_s,
        )
        vm = self.vms[call.vm]
        try:
            decision = vm.router.choose(request)
        except JaytrayError:
            self.refused += self._is_counted(call)
            return
        target = self.targets[decision.target]
        if not target.is_up or not target.is_ready(call.model):
            if not target.is_up:
                vm.router.record_failure(decision.target)
            if len(excluded) < 3:
                self._route(call, excluded | {decision.target})
            return
        if decision.needs_adapter_load and not target.is_ready(call.name):
            self.calls_awaiting_adapter.append((call, decision.target))
            return
        vm.router.record_start(decision.target, call.request_id, call.output_tokens)
        target.submit(call)

    def _retry_waiting_calls(self) -> None:
        waiting, self.calls_awaiting_adapter = self.calls_awaiting_adapter, []
        for call, name in waiting:
            vm = self.vms[call.vm]
            if self.targets[name].is_ready(call.name):
                vm.router.record_start(name, call.request_id, call.output_tokens)
                self.targets[name].submit(call)
            elif vm.table.ready_replicas(call.name):
                self._route(call, frozenset())
            elif self.clock() - call.arrived_at_s < ADAPTER_WAIT_S:
                self.calls_awaiting_adapter.append((call, name))

    def _advance_target(self, name: str, target: FakeTarget) -> None:
        for running in target.advance(self.clock(), TICK_S):
            self.vms[running.call.vm].router.record_finish(
                name, running.call.request_id
            )
            self._count_ended(running)
        if self.tick % PROGRESS_EVERY_TICKS:
            return
        for accelerator in target.accelerators:
            for running in accelerator.decoding:
                left = int(running.call.output_tokens - running.tokens)
                router = self.vms[running.call.vm].router
                router.record_progress(name, running.call.request_id, left)

    def _count_ended(self, running: Running) -> None:
        call = running.call
        if not self._is_counted(call) or running.first_token_at_s is None:
            return
        ended_at_s = self.clock() + TICK_S
        interval_s = (ended_at_s - running.first_token_at_s) / call.output_tokens
        model = self.document.models_by_name[call.model]
        is_attained = (
            running.first_token_at_s <= call.deadline_s
            and interval_s <= model.inter_token_deadline_s
        )
        attained = self.attained_by_account
        attained[call.account] = attained.get(call.account, 0) + is_attained

    def _is_counted(self, call: Call) -> bool:
        return call.arrived_at_s >= WARM_UP_S

    def _collect_reports(self) -> None:
        for target in self.targets.values():
            if target.is_up:
                self.reports.append(
                    (self.tick + REPORT_LAG_TICKS, target.report(self.clock()))
                )

    def _deliver_reports(self) -> None:
        due = [report for tick, report in self.reports if tick <= self.tick]
        self.reports = [entry for entry in self.reports if entry[0] > self.tick]
        names = [vm.name for vm in self.vms]
        for report in due:
            observers = rank_members(report.target, names)[:2]
            for vm in self.vms:
                vm.table.record_report(report)
                if vm.name in observers:
                    last = vm.cache_index.last_sequence(report.target)
                    events = self.targets[report.target].cache_events
                    newer = [event for event in events if event.sequence > last]
                    vm.cache_index.apply_events(report.target, newer)

    def _place_initial_models(self) -> None:
        """Place the minimum replicas of each model before the start.

        Every policy starts from this placement; its loads are not counted.
        """
        for _ in range(30):
            changes = self._plan_changes({}, PlanSettings())
            for change in changes:
                self._send_order(change, ready_at_s=0.0)
            for target in self.targets.values():
                target.advance(0.0, 0.0)
            self._drop_settled_orders()
            if not changes:
                break
        self.moves = 0
        self.adapter_loads = 0
        self._collect_reports()
        self.reports = [(0, report) for _, report in self.reports]

    def _run_planning_pass(self) -> None:
        self._drop_settled_orders()
        if not self.policy.moves_models:
            return
        demand: dict[str, Demand] = {}
        for vm in self.vms:
            for name, own in vm.demand.own_demand().items():
                known = demand.get(name, Demand(0.0, 0.0))
                demand[name] = Demand(
                    known.tokens_per_s + own.tokens_per_s,
                    known.peak_tokens_per_s + own.peak_tokens_per_s,
                )
        for change in self._plan_changes(demand, self.policy.plan):
            loading = self._count_loading_models()
            if not self.pacer.allows(
                change, models_loading=loading, adapters_loading=0
            ):
                continue
            now = self.clock()
            if change.kind is OrderKind.LOAD_MODEL:
                self.pacer.note_load()
                self._send_order(change, ready_at_s=now + MODEL_LOAD_S)
            elif change.kind is OrderKind.LOAD_ADAPTER:
                self._send_order(change, ready_at_s=now + ADAPTER_LOAD_S)
            else:
                self._send_order(change, ready_at_s=now + UNLOAD_S)

    def _plan_changes(
        self, demand: dict[str, Demand], settings: PlanSettings
    ) -> list[PlannedChange]:
        wanted = {call.name: target for call, target in self.calls_awaiting_adapter}
        return plan(
            document=self.document,
            states=[self._target_state(name) for name in self.targets],
            demand_by_name=demand,
            settings=settings,
            requested_targets_by_adapter=wanted,
        )

    def _target_state(self, name: str) -> TargetState:
        target = self.targets[name]
        down_since_s = self.down_since_s.get(name, self.clock())
        orders = tuple(self.unsettled_orders_by_target[name])
        return TargetState(
            target=target.target,
            is_usable=self.clock() - down_since_s < UNUSABLE_AFTER_S,
            may_take_orders=target.is_up,
            residents=tuple(target.report(self.clock()).residents),
            orders=orders,
            unsettled_order_ids=frozenset(order.order_id for order in orders),
        )

    def _send_order(self, change: PlannedChange, *, ready_at_s: float) -> None:
        target = self.targets[change.target]
        self.orders += 1
        order_id = f"order-{self.orders}"
        order = order_for(change, order_id, fencing_number=self.orders)
        self.unsettled_orders_by_target[change.target].append(order)
        target.begin_order(order, now=self.clock(), ready_at_s=ready_at_s)
        self.moves += change.kind is OrderKind.LOAD_MODEL
        self.adapter_loads += change.kind is OrderKind.LOAD_ADAPTER

    def _drop_settled_orders(self) -> None:
        for name, target in self.targets.items():
            settled = set(target.settled_order_ids)
            self.unsettled_orders_by_target[name] = [
                order
                for order in self.unsettled_orders_by_target[name]
                if order.order_id not in settled and target.is_up
            ]

    def _count_loading_models(self) -> int:
        return sum(
            order.kind in LOAD_KINDS and order.name == order.model
            for orders in self.unsettled_orders_by_target.values()
            for order in orders
        )

    def _inject_faults(self) -> None:
        now = self.clock()
        dead = "server-0"
        lost = self.document.targets_by_name["server-1"].failure_domain
        if now == EVENT_TIMES.dead_target_at_s:
            self._crash(dead)
        if now == EVENT_TIMES.dead_target_back_at_s:
            self._restart(dead)
        if now == EVENT_TIMES.lost_domain_at_s:
            for name, target in self.targets.items():
                if target.target.failure_domain == lost:
                    self._crash(name)

    def _crash(self, name: str) -> None:
        self.down_since_s[name] = self.clock()
        for call in self.targets[name].crash():
            vm = self.vms[call.vm]
            vm.router.record_failure(name)
            vm.router.record_finish(name, call.request_id)
            self._route(call, frozenset({name}))

    def _restart(self, name: str) -> None:
        self.targets[name].is_up = True
        self.down_since_s.pop(name, None)

    def _check_reachability(self) -> None:
        now = self.clock()
        for model in self.document.models_by_name:
            if any(target.is_ready(model) for target in self.targets.values()):
                self.unreachable_since_s.pop(model, None)
                continue
            since = self.unreachable_since_s.setdefault(model, now)
            self.unreachable_s += TICK_S
            lasted_s = now - since + TICK_S
            self.longest_unreachable_s = max(self.longest_unreachable_s, lasted_s)

    def _outcome(self) -> Outcome:
        fractions = [
            self.attained_by_account.get(account, 0) / offered
            for account, offered in self.offered_by_account.items()
        ]
        return Outcome(
            sum(self.attained_by_account.values()),
            sum(self.offered_by_account.values()),
            self.refused,
            self.moves,
            self.adapter_loads,
            min(fractions),
            self.unreachable_s,
            self.longest_unreachable_s,
            max(target.overcommitted_mib for target in self.targets.values()),
            sum(len(target.accelerators) for target in self.targets.values()),
            EVENT_TIMES.end_s - WARM_UP_S,
        )
