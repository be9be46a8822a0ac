"""Callers' demand by model, and the replicas that it needs.

Answers a busy model that rises or falls: its replicas follow the engine time that its
requests take. Pure functions. All demand is in milliseconds of engine time per second.
"""

import math
from typing import NamedTuple

from jaytray_gateway.process.placement.target_plan import TargetPlan
from jaytray_gateway.replica_names import split_replica
from jaytray_gateway.version.route_table import Engine

# Fraction of an engine's time that one model's requests may take per replica.
MAX_ENGINE_UTILIZATION = 0.65
# The same fraction below which an existing replica is surplus. Bursts at a busy model
# are over before another replica is loaded.
RETAINED_UTILIZATION = 0.45
# Adapters with less demand count as idle. It is the demand of one short request some
# seconds ago.
MIN_ADAPTER_DEMAND_MS = 3.0
# The same threshold for keeping a replica that adapters needed before: requests for
# rarely used adapters come in bursts, and a replica unloaded too early costs two loads.
RETAINED_ADAPTER_DEMAND_MS = 0.75


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


class ReplicaCounts(NamedTuple):
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
    max_utilization: float = MAX_ENGINE_UTILIZATION,
) -> dict[str, int]:
    """Return the desired replicas by model; models without demand are omitted.

    Demand beyond what all engines together can serve needs no more replicas: they would
    take the places of models that have none.
    """
    adapters: dict[str, int] = {}
    counts: dict[str, int] = dict.fromkeys(demand.awaited, 1)
    utilization = max(
        max_utilization, total_demand(demand) / 1000 / max(target_count, 1)
    )
    for name, rate in demand.rates.items():
        model, adapter = split_replica(name)
        if adapter:
            adapters[model] = adapters.get(model, 0) + (rate > min_adapter_demand_ms)
        else:
            counts[model] = max(1, round(rate / 1000 / utilization))
    slots = max(engine.adapter_slots, 1)
    for model, count in adapters.items():
        counts[model] = max(counts.get(model, 1), math.ceil(count / slots))
    return {model: min(count, target_count) for model, count in counts.items()}


def count_replicas(
    engine: Engine, plans: list[TargetPlan], demand: Demand
) -> ReplicaCounts:
    """Return the current, the desired and the retained replicas by model."""
    return ReplicaCounts(
        current=_current_counts(plans),
        desired=desired_replicas(demand, engine, len(plans)),
        retained=desired_replicas(
            demand,
            engine,
            len(plans),
            min_adapter_demand_ms=RETAINED_ADAPTER_DEMAND_MS,
            max_utilization=RETAINED_UTILIZATION,
        ),
    )


def total_demand(demand: Demand) -> float:
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
