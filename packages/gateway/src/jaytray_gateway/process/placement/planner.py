"""Decides which model to load or unload next, from demand and the targets' contents.

Pure functions. The desired number of replicas of a model follows the engine time that
its requests take; models that requests wait for come first. If no target has free
memory, the model whose loss costs least is unloaded, and only if the gain is clearly
larger. All demand is in milliseconds of engine time per second.
"""

import math
from typing import NamedTuple

from jaytray_gateway.process.placement.target_plan import RUNS_FINISH_S, TargetPlan
from jaytray_gateway.replica_names import models_with_adapters, split_replica
from jaytray_gateway.version.route_table import Engine

# Fraction of an engine's time that one model's requests may take per replica.
MAX_ENGINE_UTILIZATION = 0.65
# Adapters with less demand count as idle. It is the demand of one short request some
# seconds ago.
MIN_ADAPTER_DEMAND_MS = 3.0
# The same threshold for keeping a replica that adapters needed before: requests for
# rarely used adapters come in bursts, and a replica unloaded too early costs two loads.
RETAINED_ADAPTER_DEMAND_MS = 0.75
# A model is unloaded for another only if the gain exceeds this multiple of the loss.
MIN_GAIN_RATIO = 1.4
# Demand added for a model without replicas that requests wait for: its measured demand
# is still that of the time when it could not be served.
WAITING_DEMAND_MS = 60.0
# Time over which the gain and the loss of a step are compared. Demand moves on after a
# few such times.
HORIZON_S = 10.0
# Demand that may return at any time to a model that has none now. Loads from the weight
# store take several seconds, in which none of it could be served.
RETURNING_DEMAND_MS = 150.0
# Fraction of a replica's demand that is lost when a surplus replica is unloaded; the
# remaining replicas take over the rest.
SURPLUS_LOSS_FRACTION = 0.02
# Cost per second of load time, during which the target executes no other order.
LOAD_SECOND_COST_MS = 10.0
# Cost of a load or unload as a fraction of the target's demand: the target loads no
# adapters meanwhile.
DISRUPTION_COST_FRACTION = 0.1
# Cost of an unload, so that a target with free memory is preferred.
UNLOAD_COST_MS = 5.0
# Models with less than this fraction of all demand are rare. Their loads may occupy
# only a fraction of the targets at a time: a target executes one order at a time, and a
# model that demand moves to must not wait for them.
RARE_DEMAND_FRACTION = 0.1
MAX_RARE_LOAD_FRACTION = 0.34
# A model is not unloaded for this time after its load: requests that waited for it
# still arrive.
MIN_RESIDENCE_S = 1.0
# Longest wait for a target that keeps a copy of a model and executes another order.
MAX_BUSY_S = 3.0


class VersionedModel(NamedTuple):
    """A model that a stream needs at targets of the software version that began it."""

    model: str
    software_version: str


class Demand(NamedTuple):
    """Demand of callers' requests.

    `rates` maps models, and adapters as `model/adapter`, to their demand. `awaited` are
    the models without a replica that requests wait for. `in_use_by_target` are the
    replicas with running requests. `awaited_at_version` are the models that broken
    streams wait for, whether or not other versions have replicas.
    """

    rates: dict[str, float]
    awaited: set[str]
    in_use_by_target: dict[str, set[str]]
    awaited_at_version: frozenset[VersionedModel] = frozenset()


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


class _Victim(NamedTuple):
    """A model that may be unloaded, and the demand lost by it within the horizon.

    `risk` is the demand that may come to a model that has none now.
    """

    model: str
    weights_mb: float
    loss: float
    risk: float
    is_in_use: bool


class _ReplicaCounts(NamedTuple):
    """Replica counts by model.

    `current` includes pending orders, `desired` follows demand, and `retained` is the
    number up to which existing replicas are not surplus.
    """

    current: dict[str, int]
    desired: dict[str, int]
    retained: dict[str, int]


def desired_replicas(
    demand: Demand,
    engine: Engine,
    target_count: int,
    *,
    min_adapter_demand_ms: float = MIN_ADAPTER_DEMAND_MS,
) -> dict[str, int]:
    """Return the desired replicas by model; models without demand are omitted."""
    adapters: dict[str, int] = {}
    counts: dict[str, int] = dict.fromkeys(demand.awaited, 1)
    for name, rate in demand.rates.items():
        model, adapter = split_replica(name)
        if adapter:
            adapters[model] = adapters.get(model, 0) + (rate > min_adapter_demand_ms)
        else:
            counts[model] = max(1, round(rate / 1000 / MAX_ENGINE_UTILIZATION))
    slots = max(engine.adapter_slots, 1)
    for model, count in adapters.items():
        counts[model] = max(counts.get(model, 1), math.ceil(count / slots))
    return {model: min(count, target_count) for model, count in counts.items()}


def next_steps(
    engine: Engine,
    plans: list[TargetPlan],
    demand: Demand,
    *,
    loads_allowed: int,
    now_s: float,
) -> list[ModelStep]:
    """Return at most one step for each target that has no pending step."""
    counts = _ReplicaCounts(
        current=_current_counts(plans),
        desired=desired_replicas(demand, engine, len(plans)),
        retained=desired_replicas(
            demand,
            engine,
            len(plans),
            min_adapter_demand_ms=RETAINED_ADAPTER_DEMAND_MS,
        ),
    )
    steps: list[ModelStep] = []
    usable: list[TargetPlan] = []
    for plan in plans:
        if plan.has_model_step or plan.avoided_until_s > now_s:
            continue
        if not plan.reserved_model:
            if not _is_last_for_adapters(plan, plans, demand.rates):
                usable.append(plan)
            continue
        step = _reserved_step(engine, plan, counts, demand, now_s)
        is_from_store = not plan.has_cached_weights(plan.reserved_model)
        if step is None or (step.is_load and is_from_store and loads_allowed <= 0):
            continue
        loads_allowed -= step.is_load and is_from_store
        steps.append(step)
    rare_demand = RARE_DEMAND_FRACTION * _total_demand(demand)
    rare_loads_allowed = max(1, round(MAX_RARE_LOAD_FRACTION * len(plans))) - sum(
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
        found = _best_step(engine, wanted, candidates, counts, demand, now_s)
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


def _pending_models(engine: Engine, plans: list[TargetPlan], now_s: float) -> list[str]:
    """Return the models that targets load now, one for each load."""
    pending = [plan.pending_load(engine, now_s) for plan in plans]
    return [load[0] for load in pending if load is not None]


def _reserved_step(
    engine: Engine,
    plan: TargetPlan,
    counts: _ReplicaCounts,
    demand: Demand,
    now_s: float,
) -> ModelStep | None:
    """Return the next step for the model that the target's memory is reserved for."""
    model = plan.reserved_model
    if plan.has_room(engine, model, ""):
        return ModelStep(plan.target_id, True, model, "")
    if model not in engine.models_by_name:
        return None
    victims = _cheapest_unloads(engine, plan, model, counts, demand, now_s)
    if not victims:
        return None
    return ModelStep(plan.target_id, False, victims[0].model, model)


def _total_demand(demand: Demand) -> float:
    """Return the demand for all models; that for adapters is part of their model's."""
    return sum(
        rate for name, rate in demand.rates.items() if not split_replica(name)[1]
    )


def _current_counts(plans: list[TargetPlan]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for plan in plans:
        for model in plan.expected_models():
            counts[model] = counts.get(model, 0) + 1
    return counts


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
    engine: Engine, plans: list[TargetPlan], counts: _ReplicaCounts, demand: Demand
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


def _gain(model: str, counts: _ReplicaCounts, demand: Demand) -> float:
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
    counts: _ReplicaCounts,
    demand: Demand,
    now_s: float,
) -> tuple[TargetPlan, ModelStep] | None:
    """Return the target where one more replica gains most, and the step to order there.

    Gain and loss are demand served or lost within the horizon. Returns None if no
    target gains, or if it is best to wait for one that executes another order.
    """
    model = wanted.model
    best: tuple[float, TargetPlan, ModelStep] | None = None
    for plan in plans:
        if model in plan.possibly_resident_models() or model in plan.expected_models():
            continue
        load_s = plan.load_time_s(engine, model)
        victims = _cheapest_unloads(engine, plan, model, counts, demand, now_s)
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
        gain = wanted.gain * max(HORIZON_S - ready_s, 1.0)
        loss = sum(victim.loss for victim in victims)
        if loss and loss * MIN_GAIN_RATIO >= gain:
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


def _disruption_cost(plan: TargetPlan, counts: _ReplicaCounts, demand: Demand) -> float:
    """Return the cost of a load or unload to the other models of the target."""
    return DISRUPTION_COST_FRACTION * sum(
        demand.rates.get(model, 0.0) / max(1, counts.current.get(model, 1))
        for model in plan.models
    )


def _cheapest_unloads(
    engine: Engine,
    plan: TargetPlan,
    model: str,
    counts: _ReplicaCounts,
    demand: Demand,
    now_s: float,
) -> list[_Victim] | None:
    """Return the models to unload from this target so that `model` fits.

    The first of them is unloaded first. Returns None if the model does not fit
    whatever is unloaded.
    """
    lacking_mb = engine.models_by_name[model].weights_mb - (
        engine.weights_mb - plan.used_mb(engine)
    )
    if lacking_mb <= 0:
        return []
    victims = _victims(engine, plan, counts, demand, now_s)
    for victim in victims:
        if victim.weights_mb >= lacking_mb:
            return [victim]
    chosen: list[_Victim] = []
    for victim in victims:
        chosen.append(victim)
        lacking_mb -= victim.weights_mb
        if lacking_mb <= 0:
            return chosen
    return None


def _victims(
    engine: Engine,
    plan: TargetPlan,
    counts: _ReplicaCounts,
    demand: Demand,
    now_s: float,
) -> list[_Victim]:
    """Return the models that may be unloaded from this target, cheapest first."""
    in_use = {
        split_replica(name)[0]
        for name in demand.in_use_by_target.get(plan.target_id, ())
    }
    victims = [
        _victim(engine, plan, name, counts, demand, is_in_use=name in in_use)
        for name in plan.models
        if name in engine.models_by_name
        and now_s - plan.loaded_at_s_by_model.get(name, -math.inf) >= MIN_RESIDENCE_S
        and not (name in demand.awaited and counts.current.get(name, 1) <= 1)
    ]
    return sorted(victims, key=lambda v: (v.loss + v.risk, v.is_in_use, v.model))


def _victim(
    engine: Engine,
    plan: TargetPlan,
    model: str,
    counts: _ReplicaCounts,
    demand: Demand,
    *,
    is_in_use: bool,
) -> _Victim:
    """Return the model with what its unload costs.

    An unloaded model whose weights the target keeps a copy of is back soon.
    """
    count = counts.current.get(model, 1)
    loss = demand.rates.get(model, 0.0) / max(count, 1) * HORIZON_S
    risk = 0.0
    if count > max(1, counts.retained.get(model, 0)):
        loss *= SURPLUS_LOSS_FRACTION
    elif count <= 1:
        risk = RETURNING_DEMAND_MS * plan.load_time_s(engine, model)
    weights_mb = engine.models_by_name[model].weights_mb
    return _Victim(model, weights_mb, loss, risk, is_in_use)
