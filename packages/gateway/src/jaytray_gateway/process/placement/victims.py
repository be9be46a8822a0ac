"""Chooses the models that a target unloads to make room for another.

Answers a rush at rare models and a shift of demand: surplus replicas yield first, then
idle models that are back soon. Pure functions. All demand is in milliseconds of engine
time per second.
"""

import math
from typing import NamedTuple

from jaytray_gateway.process.placement.replica_demand import Demand, ReplicaCounts
from jaytray_gateway.process.placement.target_plan import TargetPlan
from jaytray_gateway.replica_names import split_replica
from jaytray_gateway.version.route_table import Engine

# Shortest time over which the gain and the loss of a step are compared. Demand moves on
# after a few such times.
MIN_HORIZON_S = 10.0
# The same time as a multiple of the longest load: within a shorter one, a model that
# takes long to load would seem to gain nothing.
HORIZON_LOADS = 2.2
# Demand that may return at any time to a model that has none now. Loads from the weight
# store take several seconds, in which none of it could be served.
RETURNING_DEMAND_MS = 150.0
# Fraction of a replica's demand that is lost when a surplus replica is unloaded; the
# remaining replicas take over the rest.
SURPLUS_LOSS_FRACTION = 0.02
# A model is not unloaded for this time after its load: requests that waited for it
# still arrive.
MIN_RESIDENCE_S = 1.0


class Victim(NamedTuple):
    """A model that may be unloaded, and the demand lost by it within the horizon.

    `risk` is the demand that may come to a model that has none now.
    """

    model: str
    weights_mb: float
    loss: float
    risk: float
    is_in_use: bool


def planning_horizon_s(engine: Engine) -> float:
    """Return the time over which the gain and the loss of a step are compared."""
    longest_s = max((m.load_s for m in engine.models_by_name.values()), default=0.0)
    return max(MIN_HORIZON_S, HORIZON_LOADS * longest_s)


def cheapest_unloads(
    engine: Engine,
    plan: TargetPlan,
    model: str,
    counts: ReplicaCounts,
    demand: Demand,
    now_s: float,
    *,
    horizon_s: float,
) -> list[Victim] | None:
    """Return the models to unload from this target so that `model` fits.

    The first of them is unloaded first. Returns None if the model does not fit
    whatever is unloaded.
    """
    lacking_mb = engine.models_by_name[model].weights_mb - (
        engine.weights_mb - plan.used_mb(engine)
    )
    if lacking_mb <= 0:
        return []
    victims = _victims(engine, plan, counts, demand, now_s, horizon_s=horizon_s)
    for victim in victims:
        if victim.weights_mb >= lacking_mb:
            return [victim]
    chosen: list[Victim] = []
    for victim in victims:
        chosen.append(victim)
        lacking_mb -= victim.weights_mb
        if lacking_mb <= 0:
            return chosen
    return None


def _victims(
    engine: Engine,
    plan: TargetPlan,
    counts: ReplicaCounts,
    demand: Demand,
    now_s: float,
    *,
    horizon_s: float,
) -> list[Victim]:
    """Return the models that may be unloaded from this target, cheapest first."""
    in_use = {
        split_replica(name)[0]
        for name in demand.in_use_by_target.get(plan.target_id, ())
    }
    victims = [
        _victim(
            engine,
            plan,
            name,
            counts,
            demand,
            is_in_use=name in in_use,
            horizon_s=horizon_s,
        )
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
    counts: ReplicaCounts,
    demand: Demand,
    *,
    is_in_use: bool,
    horizon_s: float,
) -> Victim:
    """Return the model with what its unload costs.

    An unloaded model whose weights the target keeps a copy of is back soon.
    """
    count = counts.current.get(model, 1)
    loss = demand.rates.get(model, 0.0) / max(count, 1) * horizon_s
    risk = 0.0
    if count > max(1, counts.retained.get(model, 0)):
        loss *= SURPLUS_LOSS_FRACTION
    elif count <= 1:
        risk = RETURNING_DEMAND_MS * plan.load_time_s(engine, model)
    weights_mb = engine.models_by_name[model].weights_mb
    return Victim(model, weights_mb, loss, risk, is_in_use)
