"""Which model should be loaded or unloaded next, from demand and what targets hold.

Plain functions over values. The number of replicas that a model should have follows
its part of the demand; a model that requests wait for comes first. Room is made by
the model whose loss costs least, and only where the gain is clearly larger.
"""

import math
from typing import NamedTuple

from jaytray_gateway.process.placement.target_plan import TargetPlan
from jaytray_gateway.version.route_table import Engine

# Part of its time that an engine may be busy with one model's requests.
BUSY_PORTION = 0.55
# A model makes room for another whose gain is at least this many times its loss.
GAIN_FACTOR = 1.4
# Demand that a waiting request stands for, in milliseconds of engine time a second:
# the measured one is still that of the time when nobody could ask for the model.
WAITING_DEMAND_MS = 60.0
# Part of a replica's demand that is lost with it where the others have room for it.
SURPLUS_LOSS = 0.02
# Part of a target's demand that a load or unload there costs: it loads no adapters
# meanwhile.
DISTURBANCE = 0.1


class ModelStep(NamedTuple):
    """The next order for a target: load or unload a model.

    `makes_room_for` is the model that an unload makes room for.
    """

    target_id: str
    is_load: bool
    model: str
    makes_room_for: str


def wanted_replicas(
    rates: dict[str, float], waiting: set[str], target_count: int
) -> dict[str, int]:
    """Return the number of replicas by model; models without demand are left out.

    `rates` holds the demand in milliseconds of engine time a second.
    """
    wanted = {}
    for model in rates.keys() | waiting:
        count = max(1, round(rates.get(model, 0.0) / 1000 / BUSY_PORTION))
        wanted[model] = min(count, target_count)
    return wanted


def next_steps(
    engine: Engine,
    plans: list[TargetPlan],
    *,
    rates: dict[str, float],
    waiting: set[str],
    loads_allowed: int,
    now_s: float,
) -> list[ModelStep]:
    """Return at most one step for each target that has no order under way.

    `rates` holds the demand by model and by adapter, as `model/adapter`, in
    milliseconds of engine time a second.
    """
    rates_by_model = {name: rate for name, rate in rates.items() if "/" not in name}
    wanted = wanted_replicas(rates_by_model, waiting, len(plans))
    counts = _replica_counts(plans)
    steps: list[ModelStep] = []
    free = []
    for plan in plans:
        if plan.has_model_step or plan.avoided_until_s > now_s:
            continue
        model = plan.intended_model
        if not model:
            if not _is_last_for_adapters(plan, plans, rates):
                free.append(plan)
        elif loads_allowed > 0 and plan.has_room(engine, model, ""):
            loads_allowed -= 1
            steps.append(ModelStep(plan.target_id, True, model, ""))
    for model in _by_urgency(engine, wanted, counts, rates, waiting):
        if not free:
            break
        gain = _gain(model, counts, rates, waiting)
        step = _step_for(engine, model, gain, free, counts, wanted, rates, waiting)
        if step is None or (step.is_load and loads_allowed <= 0):
            continue
        loads_allowed -= step.is_load
        steps.append(step)
        free = [plan for plan in free if plan.target_id != step.target_id]
        counts[model] = counts.get(model, 0) + 1
        if not step.is_load:
            counts[step.model] = counts.get(step.model, 0) - 1
    return steps


def _is_last_for_adapters(
    plan: TargetPlan, plans: list[TargetPlan], rates: dict[str, float]
) -> bool:
    """Return whether no other target could load adapters of some model meanwhile.

    A target loads no adapters while it loads or unloads a model.
    """
    others = [p for p in plans if p is not plan and not p.has_model_step]
    with_adapters = {name.partition("/")[0] for name in rates if "/" in name}
    return any(
        model in with_adapters and not any(model in p.models for p in others)
        for model in plan.models
    )


def _replica_counts(plans: list[TargetPlan]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for plan in plans:
        for model in plan.expected_models():
            counts[model] = counts.get(model, 0) + 1
    return counts


def _by_urgency(
    engine: Engine,
    wanted: dict[str, int],
    counts: dict[str, int],
    rates: dict[str, float],
    waiting: set[str],
) -> list[str]:
    """Return the models that lack replicas, the most urgent first."""
    lacking = [
        model
        for model, count in wanted.items()
        if model in engine.models_by_name and counts.get(model, 0) < count
    ]
    return sorted(
        lacking,
        key=lambda model: (
            counts.get(model, 0) > 0 or model not in waiting,
            -_gain(model, counts, rates, waiting),
            model,
        ),
    )


def _gain(
    model: str, counts: dict[str, int], rates: dict[str, float], waiting: set[str]
) -> float:
    """Return the demand that one more replica would take."""
    rate = rates.get(model, 0.0)
    count = counts.get(model, 0)
    if count == 0 and model in waiting:
        rate += WAITING_DEMAND_MS
    return rate / (count + 1)


def _step_for(
    engine: Engine,
    model: str,
    gain: float,
    plans: list[TargetPlan],
    counts: dict[str, int],
    wanted: dict[str, int],
    rates: dict[str, float],
    waiting: set[str],
) -> ModelStep | None:
    """Return the cheapest way to one more replica, or None where it costs too much."""
    needed_mb = engine.models_by_name[model].weights_mb
    best: tuple[float, ModelStep] | None = None
    for plan in plans:
        if model in plan.occupied_models() or model in plan.expected_models():
            continue
        room_mb = engine.weights_mb - plan.used_mb(engine)
        crowding = sum(
            rates.get(m, 0.0) / max(1, counts.get(m, 1)) for m in plan.models
        )
        if room_mb >= needed_mb:
            step = ModelStep(plan.target_id, True, model, "")
            option = (DISTURBANCE * crowding, step)
        else:
            victim, loss = _cheapest(plan, counts, wanted, rates, waiting)
            if victim is None or loss * GAIN_FACTOR >= gain:
                continue
            step = ModelStep(plan.target_id, False, victim, model)
            option = (loss + DISTURBANCE * crowding, step)
        if best is None or option < best:
            best = option
    return best[1] if best else None


def _cheapest(
    plan: TargetPlan,
    counts: dict[str, int],
    wanted: dict[str, int],
    rates: dict[str, float],
    waiting: set[str],
) -> tuple[str | None, float]:
    """Return the model whose loss at this target costs least, and that cost."""
    best: tuple[str | None, float] = (None, math.inf)
    for model in sorted(plan.models):
        count = counts.get(model, 1)
        rate = rates.get(model, 0.0)
        if model in waiting and count <= 1:
            continue
        loss = rate if count <= 1 else rate / count
        if count > wanted.get(model, 0) and count > 1:
            loss *= SURPLUS_LOSS
        if loss < best[1]:
            best = (model, loss)
    return best
