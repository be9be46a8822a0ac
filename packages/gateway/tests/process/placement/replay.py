"""Replays the planner's decisions under a scripted load, in virtual time.

Targets load one model at a time, keep copies of weights in memory and on disk, and read
prompts one after another. Requests wait for a model, or are rejected and return once,
as callers do. Arrivals are drawn from a fixed seed.
"""

import random
from typing import NamedTuple

from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.member_messages import ReplicaRequest
from jaytray_gateway.process.placement.controller import PLAN_INTERVAL_S
from jaytray_gateway.process.placement.load_rate_limiter import LoadRateLimiter
from jaytray_gateway.process.placement.planner import ModelStep, next_steps
from jaytray_gateway.process.placement.replica_demand import Demand
from jaytray_gateway.process.placement.replica_requests import ReplicaRequests
from jaytray_gateway.process.placement.target_plan import PendingOrder, TargetPlan
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.version.route_table import Engine

TICK_S = 0.05
DEMAND_WINDOW_S = 6.0


class RequestClass(NamedTuple):
    """Requests of one latency objective; times in seconds.

    `patience_s` is how long a caller waits for the first event, `deadline_s` how long
    it tries in all. A first event after `objective_s` is worth half.
    """

    objective_s: float
    patience_s: float
    deadline_s: float
    prefill_s: float
    generation_s: float


class Arrivals(NamedTuple):
    """Mean requests per second of a class by model, from second `begin_s` on."""

    begin_s: float
    request_class: RequestClass
    rate_by_model: dict[str, float]


class Outcome(NamedTuple):
    """Worth served by second of arrival, and the requests that there were."""

    worth_by_s: dict[int, float]
    requests_by_s: dict[int, int]
    served_models: set[str]

    def share(self, begin_s: int, end_s: int) -> float:
        """Return the share of the possible worth of requests that arrived then."""
        seconds = range(begin_s, end_s)
        requests = sum(self.requests_by_s.get(s, 0) for s in seconds)
        return sum(self.worth_by_s.get(s, 0.0) for s in seconds) / max(requests, 1)

    def worst_share(self, begin_s: int, end_s: int, *, window_s: int) -> float:
        """Return the lowest share of a window of that length in the given seconds."""
        return min(
            self.share(s, s + window_s) for s in range(begin_s, end_s - window_s + 1)
        )


class _Request(NamedTuple):
    model: str
    request_class: RequestClass
    first_sent_s: float
    arrived_s: float
    is_return: bool


class _Target:
    """Contents and runs of one target."""

    def __init__(self, *, target_id: str, models: set[str]) -> None:
        self.target_id = target_id
        self.models = set(models)
        self.hidden: set[str] = set()
        self.in_memory: list[str] = []
        self.on_disk: list[str] = []
        self.order: tuple[bool, str, float] | None = None
        self.then_load = ""
        self.prompts_read_at_s = 0.0
        self.runs: list[tuple[float, str]] = []

    def entry(self) -> TargetEntry:
        return TargetEntry(
            self.target_id,
            "1",
            "svc",
            "v1",
            "127.0.0.1:1",
            "a",
            False,
            64,
            {name: frozenset() for name in self.models},
            frozenset(self.in_memory),
            frozenset(self.on_disk),
        )

    def keep_copy(self, engine: Engine, model: str, memory_gb: float) -> None:
        """Add the copies that a load leaves; the oldest ones yield."""
        weights_mb = engine.models_by_name[model].weights_mb
        for copies, limit_gb in ((self.in_memory, memory_gb), (self.on_disk, 1e9)):
            if model in copies:
                copies.remove(model)
            copies.append(model)
            while len(copies) * weights_mb > limit_gb:
                copies.pop(0)


class Replay:
    """One replay; `run` returns its outcome."""

    def __init__(
        self,
        *,
        engine: Engine,
        models_by_target: dict[str, str],
        arrivals: list[Arrivals],
        copies_gb: float,
        seed: int,
        lost_at_s: dict[str, float] | None = None,
    ) -> None:
        self._engine = engine
        self._copies_gb = copies_gb
        self._arrivals = arrivals
        self._lost_at_s = lost_at_s or {}
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._targets = [
            _Target(target_id=name, models=set(models.split()))
            for name, models in models_by_target.items()
        ]
        for target in self._targets:
            for model in sorted(target.models):
                target.keep_copy(engine, model, copies_gb)
        self._plan_by_id = {
            target.target_id: TargetPlan(
                entry=target.entry(),
                adapters_by_model=target.entry().adapters_by_model,
                order_count=0,
            )
            for target in self._targets
        }
        self._demand = DemandAverage(clock=self._clock, window_s=DEMAND_WINDOW_S)
        self._limiter = LoadRateLimiter(window_s=5.0, factor=1.0, clock=self._clock)
        self._requests = ReplicaRequests(clock=self._clock)
        self._waiting: list[_Request] = []
        self._returns: list[tuple[float, _Request]] = []
        self._outcome = Outcome({}, {}, set())

    def run(self, duration_s: float) -> Outcome:
        """Play the load for `duration_s` and return what was served."""
        planned_s = -1.0
        while self._now_s < duration_s:
            self._lose_targets()
            self._finish_orders()
            self._arrive()
            self._serve_waiting()
            if self._now_s - planned_s >= PLAN_INTERVAL_S:
                planned_s = self._now_s
                self._plan()
            self._now_s += TICK_S
        return self._outcome

    def _lose_targets(self) -> None:
        for target_id, at_s in self._lost_at_s.items():
            if at_s <= self._now_s and target_id in self._plan_by_id:
                del self._plan_by_id[target_id]
                self._targets = [t for t in self._targets if t.target_id != target_id]

    def _clock(self) -> float:
        return self._now_s

    def _arrive(self) -> None:
        due = [request for at_s, request in self._returns if at_s <= self._now_s]
        self._returns = [r for r in self._returns if r[0] > self._now_s]
        for request in due:
            self._accept(request._replace(arrived_s=self._now_s, is_return=True))
        current: dict[RequestClass, dict[str, float]] = {}
        for arrivals in self._arrivals:
            if arrivals.begin_s <= self._now_s:
                current[arrivals.request_class] = arrivals.rate_by_model
        for request_class, rate_by_model in current.items():
            for model, rate in rate_by_model.items():
                if self._rng.random() < rate * TICK_S:
                    now_s = self._now_s
                    second = int(now_s)
                    counts = self._outcome.requests_by_s
                    counts[second] = counts.get(second, 0) + 1
                    self._accept(_Request(model, request_class, now_s, now_s, False))

    def _accept(self, request: _Request) -> None:
        request_class = request.request_class
        slots = max(self._engine.slots, 1)
        cost_s = request_class.prefill_s + request_class.generation_s / slots
        self._demand.add(request.model, 1000 * cost_s)
        self._waiting.append(request)

    def _serve_waiting(self) -> None:
        still_waiting: list[_Request] = []
        for request in self._waiting:
            holders = [
                t
                for t in self._targets
                if request.model in t.models and request.model not in t.hidden
            ]
            if holders:
                self._serve(
                    request,
                    min(holders, key=lambda t: (t.prompts_read_at_s, len(t.runs))),
                )
                continue
            self._requests.add(ReplicaRequest("svc", request.model, ""))
            load_s = self._engine.models_by_name[request.model].load_s + 0.5
            patience_s = request.request_class.patience_s
            waited_s = self._now_s - request.arrived_s
            if load_s > patience_s or waited_s > patience_s:
                self._reject(request, load_s)
            else:
                still_waiting.append(request)
        self._waiting = still_waiting

    def _reject(self, request: _Request, retry_after_s: float) -> None:
        left_s = request.first_sent_s + request.request_class.deadline_s - self._now_s
        if not request.is_return and left_s > 0:
            self._returns.append(
                (self._now_s + min(retry_after_s, left_s / 3), request)
            )

    def _serve(self, request: _Request, target: _Target) -> None:
        request_class = request.request_class
        target.runs = [run for run in target.runs if run[0] > self._now_s]
        first_s = max(self._now_s, target.prompts_read_at_s) + request_class.prefill_s
        total_s = first_s - request.first_sent_s
        if first_s - self._now_s > request_class.objective_s:
            self._reject(request, 1.0)
            return
        target.prompts_read_at_s = first_s
        generation_s = request_class.generation_s * self._rng.lognormvariate(
            -0.24, 0.69
        )
        target.runs.append((first_s + generation_s, request.model))
        worth = 1.0 if total_s <= request_class.objective_s else 0.5
        second = int(request.first_sent_s)
        by_s = self._outcome.worth_by_s
        by_s[second] = by_s.get(second, 0.0) + worth
        self._outcome.served_models.add(request.model)

    def _plan(self) -> None:
        plans = list(self._plan_by_id.values())
        self._requests.drop_expired()
        loaded = {model for plan in plans for model in plan.models}
        awaited = self._requests.models_of("svc")
        in_use = {
            t.target_id: {model for end_s, model in t.runs if end_s > self._now_s}
            for t in self._targets
        }
        steps = next_steps(
            self._engine,
            plans,
            Demand(self._demand.rates(), awaited - loaded, in_use),
            loads_allowed=self._limiter.allowed(self._engine.loads_per_s),
            now_s=self._now_s,
        )
        for step in steps:
            self._execute(step)

    def _execute(self, step: ModelStep) -> None:
        target = next(t for t in self._targets if t.target_id == step.target_id)
        plan = self._plan_by_id[step.target_id]
        plan.has_model_step = True
        if not plan.has_cached_weights(step.makes_room_for or step.model):
            self._limiter.record_load()
        if step.is_load:
            self._start_load(target, step.model)
            return
        ends = [end_s for end_s, model in target.runs if model == step.model]
        done_s = max([self._now_s + 0.05, *ends])
        target.hidden.add(step.model)
        target.then_load = step.makes_room_for
        plan.reserved_model = step.makes_room_for
        plan.reserved_at_s = done_s
        self._start_order(target, False, step.model, done_s)

    def _start_load(self, target: _Target, model: str) -> None:
        plan = self._plan_by_id[target.target_id]
        load_s = plan.load_time_s(self._engine, model)
        self._start_order(target, True, model, self._now_s + load_s)

    def _start_order(
        self, target: _Target, is_load: bool, model: str, done_s: float
    ) -> None:
        plan = self._plan_by_id[target.target_id]
        order = PendingOrder(
            plan.incarnation,
            is_load,
            model,
            "",
            plan.order_count,
            self._now_s,
            model in target.models,
        )
        plan.record_accepted(order, is_done=False)
        target.order = (is_load, model, done_s)

    def _finish_orders(self) -> None:
        for target in self._targets:
            if target.order is None or target.order[2] > self._now_s:
                continue
            is_load, model, _ = target.order
            target.order = None
            plan = self._plan_by_id[target.target_id]
            if is_load:
                target.models.add(model)
                self._requests.drop_served(target.entry(), model)
                target.keep_copy(self._engine, model, self._copies_gb)
            else:
                target.models.discard(model)
                target.hidden.discard(model)
            plan.apply_entry(target.entry(), self._now_s)
            used_mb = sum(
                self._engine.models_by_name[m].weights_mb for m in target.models
            )
            if used_mb > self._engine.weights_mb:
                raise AssertionError(f"{target.target_id} is overcommitted")
            if not is_load and plan.has_room(self._engine, target.then_load, ""):
                plan.has_model_step = True
                self._start_load(target, target.then_load)


def constant_rates(models: str, rate: float) -> dict[str, float]:
    """Return the same rate for each of the models."""
    return dict.fromkeys(models.split(), rate)
