"""Decides which model to load or unload next, from demand and the targets' contents.

Answers shifts of demand to other models and rushes at rare ones. Pure functions. Models
that requests wait for come first. If no target has free memory, the model whose loss
costs least is unloaded, and only if the gain is clearly larger. All demand is in
milliseconds of engine time per second.
"""

from typing import NamedTuple

from jaytray_gateway.process.placement.replica_demand import (
    MIN_ADAPTER_DEMAND_MS,
    Demand,
    ReplicaCounts,
    count_replicas,
    total_demand,
)
from jaytray_gateway.process.placement.target_plan import RUNS_FINISH_S, TargetPlan
from jaytray_gateway.process.placement.victims import (
    cheapest_unloads,
    planning_horizon_s,
)
from jaytray_gateway.replica_names import models_with_adapters
from jaytray_gateway.version.route_table import Engine

# A model is unloaded for another only if the gain exceeds this multiple of the loss. In
# a large fleet that includes the demand that may return to an idle model: there are
# surplus replicas that can yield instead.
MIN_GAIN_RATIO = 1.4
# Demand added for a model without replicas that requests wait for: its measured demand
# is still that of the time when it could not be served.
WAITING_DEMAND_MS = 60.0
# Cost per second of load time, during which the target executes no other order.
LOAD_SECOND_COST_MS = 10.0
# Cost of a load or unload as a fraction of the target's demand: the target loads no
# adapters meanwhile.
DISRUPTION_COST_FRACTION = 0.1
# Cost of an unload, so that a target with free memory is preferred.
UNLOAD_COST_MS = 5.0
# Models with less than this fraction of all demand are rare. Their loads may occupy
# only a fraction of the targets at a time: a target executes one order at a time, and a
# model that demand moves to must not wait for them. That many targets without a load
# are enough in any fleet.
RARE_DEMAND_FRACTION = 0.1
MAX_RARE_LOAD_FRACTION = 0.34
FREE_TARGETS = 10
# Longest wait for a target that keeps a copy of a model and executes another order.
MAX_BUSY_S = 3.0


class _WantedReplica(NamedTuple):
    """A replica that is lacking, at a target of one software version or of any (None).

    `gain` is the demand that it would serve.
    """

    model: str
    software_version: str | None
    gain: float


class ModelStep(NamedTuple):
    """The next order for a target: load or unload a model.

    `makes_room_for` is the model that is loaded after an unload, empty for a load.
    """

    target_id: str
    is_load: bool
    model: str
    makes_room_for: str


def next_steps(
    engine: Engine,
    plans: list[TargetPlan],
    demand: Demand,
    *,
    loads_allowed: int,
    now_s: float,
) -> list[ModelStep]:
    """Return at most one step for each target that has no pending step."""
    counts = count_replicas(engine, plans, demand)
    horizon_s = planning_horizon_s(engine)
    steps: list[ModelStep] = []
    usable: list[TargetPlan] = []
    for plan in plans:
        if plan.has_model_step or plan.avoided_until_s > now_s:
            continue
        if not plan.reserved_model:
            if not _is_last_for_adapters(plan, plans, demand.rates):
                usable.append(plan)
            continue
        step = _reserved_step(engine, plan, counts, demand, now_s, horizon_s=horizon_s)
        is_from_store = not plan.has_cached_weights(plan.reserved_model)
        if step is None or (step.is_load and is_from_store and loads_allowed <= 0):
            continue
        loads_allowed -= step.is_load and is_from_store
        steps.append(step)
    rare_demand = RARE_DEMAND_FRACTION * total_demand(demand)
    rare_loads_allowed = _max_rare_loads(len(plans)) - sum(
        demand.rates.get(model, 0.0) < rare_demand
        for model in _pending_models(engine, plans, now_s)
    )
    for wanted in _wanted_replicas(engine, plans, counts, demand):
        model, version = wanted.model, wanted.software_version
        is_rare = demand.rates.get(model, 0.0) < rare_demand
        if is_rare and rare_loads_allowed <= 0:
            continue
        is_enough = counts.current.get(model, 0) >= counts.desired.get(model, 0)
        if version is None and is_enough:
            continue
        candidates = [
            p
            for p in usable
            if version in (None, p.software_version)
            and (loads_allowed > 0 or p.has_cached_weights(model))
        ]
        candidates += [
            p
            for p in plans
            if p.has_model_step
            and version in (None, p.software_version)
            and p.has_cached_weights(model)
        ]
        found = _best_step(
            engine,
            wanted,
            candidates,
            counts,
            demand,
            now_s,
            horizon_s=horizon_s,
            counts_risk=len(plans) > FREE_TARGETS,
        )
        if found is None:
            continue
        plan, step = found
        loads_allowed -= not plan.has_cached_weights(model)
        rare_loads_allowed -= is_rare
        steps.append(step)
        usable.remove(plan)
        counts.current[model] = counts.current.get(model, 0) + 1
        if not step.is_load:
            counts.current[step.model] = counts.current.get(step.model, 0) - 1
    return steps


def _max_rare_loads(target_count: int) -> int:
    """Return the number of targets that may load rare models at a time."""
    fraction = round(MAX_RARE_LOAD_FRACTION * target_count)
    return max(1, fraction, target_count - FREE_TARGETS)


def _pending_models(engine: Engine, plans: list[TargetPlan], now_s: float) -> list[str]:
    """Return the models that targets load now, one for each load."""
    pending = [plan.pending_load(engine, now_s) for plan in plans]
    return [load[0] for load in pending if load is not None]


def _reserved_step(
    engine: Engine,
    plan: TargetPlan,
    counts: ReplicaCounts,
    demand: Demand,
    now_s: float,
    *,
    horizon_s: float,
) -> ModelStep | None:
    """Return the next step for the model that the target's memory is reserved for."""
    model = plan.reserved_model
    if plan.has_room(engine, model, ""):
        return ModelStep(plan.target_id, True, model, "")
    if model not in engine.models_by_name:
        return None
    victims = cheapest_unloads(
        engine, plan, model, counts, demand, now_s, horizon_s=horizon_s
    )
    if not victims:
        return None
    return ModelStep(plan.target_id, False, victims[0].model, model)


def _is_last_for_adapters(
    plan: TargetPlan, plans: list[TargetPlan], rates: dict[str, float]
) -> bool:
    """Return whether a step here would leave a model with no target for its adapters.

    A target loads no adapters while it loads or unloads a model.
    """
    others = [p for p in plans if p is not plan and not p.has_model_step]
    with_adapters = models_with_adapters(
        name for name, rate in rates.items() if rate > MIN_ADAPTER_DEMAND_MS
    )
    return any(
        model in with_adapters and not any(model in p.models for p in others)
        for model in plan.models
    )


def _wanted_replicas(
    engine: Engine, plans: list[TargetPlan], counts: ReplicaCounts, demand: Demand
) -> list[_WantedReplica]:
    """Return the replicas that are lacking, in descending order of gain."""
    wanted = [
        _WantedReplica(model, None, _gain(model, counts, demand))
        for model, count in sorted(counts.desired.items())
        if model in engine.models_by_name and counts.current.get(model, 0) < count
    ]
    for model, version in sorted(demand.awaited_at_version):
        is_lacking = model in engine.models_by_name and not any(
            model in plan.expected_models()
            for plan in plans
            if plan.software_version == version
        )
        if is_lacking:
            gain = WAITING_DEMAND_MS + _gain(model, counts, demand)
            wanted.append(_WantedReplica(model, version, gain))
    return sorted(wanted, key=lambda replica: -replica.gain)


def _gain(model: str, counts: ReplicaCounts, demand: Demand) -> float:
    """Return the demand that one more replica would serve."""
    rate = demand.rates.get(model, 0.0)
    count = counts.current.get(model, 0)
    if count == 0 and model in demand.awaited:
        rate += WAITING_DEMAND_MS
    return rate / (count + 1)


def _best_step(
    engine: Engine,
    wanted: _WantedReplica,
    plans: list[TargetPlan],
    counts: ReplicaCounts,
    demand: Demand,
    now_s: float,
    *,
    horizon_s: float,
    counts_risk: bool,
) -> tuple[TargetPlan, ModelStep] | None:
    """Return the target where one more replica gains most, and the step to order there.

    Gain and loss are demand served or lost within the horizon; with `counts_risk`, the
    loss includes demand that may return. Returns None if no target gains, or if it is
    best to wait for one that executes another order.
    """
    model = wanted.model
    best: tuple[float, TargetPlan, ModelStep] | None = None
    for plan in plans:
        if model in plan.possibly_resident_models() or model in plan.expected_models():
            continue
        load_s = plan.load_time_s(engine, model)
        victims = cheapest_unloads(
            engine, plan, model, counts, demand, now_s, horizon_s=horizon_s
        )
        if victims is None:
            continue
        busy_s = 0.0
        if plan.has_model_step:
            pending = plan.pending_load(engine, now_s)
            if pending is None or pending[1] > MAX_BUSY_S:
                continue
            busy_s = pending[1]
        ready_s = (
            busy_s
            + load_s
            + sum(RUNS_FINISH_S for victim in victims if victim.is_in_use)
        )
        gain = wanted.gain * max(horizon_s - ready_s, 1.0)
        loss = sum(victim.loss for victim in victims)
        least_gain = loss * MIN_GAIN_RATIO
        if counts_risk:
            least_gain += sum(victim.risk for victim in victims) * MIN_GAIN_RATIO
        if least_gain and least_gain >= gain:
            continue
        cost = loss + sum(victim.risk + UNLOAD_COST_MS for victim in victims)
        cost += LOAD_SECOND_COST_MS * load_s
        net = gain - cost - _disruption_cost(plan, counts, demand)
        step = (
            ModelStep(plan.target_id, False, victims[0].model, model)
            if victims
            else ModelStep(plan.target_id, True, model, "")
        )
        if best is None or net > best[0]:
            best = (net, plan, step)
    if best is None or best[1].has_model_step:
        return None
    return best[1:]


def _disruption_cost(plan: TargetPlan, counts: ReplicaCounts, demand: Demand) -> float:
    """Return the cost of a load or unload to the other models of the target."""
    return DISRUPTION_COST_FRACTION * sum(
        demand.rates.get(model, 0.0) / max(1, counts.current.get(model, 1))
        for model in plan.models
    )
