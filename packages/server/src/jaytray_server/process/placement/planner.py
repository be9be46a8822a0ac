"""Computes the placement plan of one group of targets as a pure function.

`plan` compares what the targets hold with what the document and the demand require
and returns the next changes, the most urgent first. It keeps no state, so any VM can
plan a group at any time. Its rules:

- a replica is added before another is removed, and the last one is never removed;
- replicas are removed only to free memory for others, when the document no longer
  declares the model, or when enough replicas of its new version serve;
- replicas are added by the current demand and removed by its decaying peak, which
  gives hysteresis; demand adds a replica only for a shortfall of more than
  `min_shortfall` replicas;
- replicas of a model are placed in different failure domains where memory allows.
"""

from collections.abc import Mapping
from typing import NamedTuple

from jaytray_core.document.model import Document, Model
from jaytray_core.targets import OrderKind
from jaytray_server.process.demand import NO_DEMAND, Demand
from jaytray_server.process.placement.adapters import plan_adapters
from jaytray_server.process.placement.changes import (
    PlannedChange,
    PlanSettings,
    Urgency,
    load_change,
    unload_change,
)
from jaytray_server.process.placement.eviction import find_accelerator, plan_eviction
from jaytray_server.process.placement.state import (
    PlanState,
    Replica,
    TargetState,
)

# Least fraction of a replica's capacity that counts, however much demand other
# models have on its accelerator.
MIN_SHARED_CAPACITY_FRACTION = 0.2


def plan(
    *,
    document: Document,
    states: list[TargetState],
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings = PlanSettings(),
    models: frozenset[str] | None = None,
    requested_targets_by_adapter: Mapping[str, str] | None = None,
) -> list[PlannedChange]:
    """Return the changes to order next, the most urgent first.

    `models` are those assigned to this group; None means all. Requests wait for the
    adapters in `requested_targets_by_adapter`, each on the given target. The changes
    are independent of each other: each fits into memory alone and all fit together.
    """
    plan_state = PlanState(states=states)
    total_by_name = _add_adapter_demand(document, demand_by_name)
    group_models = [
        model
        for model in document.models_by_name.values()
        if models is None or model.name in models
    ]
    _distribute_demand(plan_state, group_models, total_by_name)
    changes: list[PlannedChange] = []
    waiting_urgency: Urgency | None = None
    for need in sorted(_needs(plan_state, group_models, total_by_name, settings)):
        if waiting_urgency is not None and need.urgency > waiting_urgency:
            # Less urgent needs must not take the memory that is being freed.
            break
        need_plan = _plan_need(plan_state, document, need, total_by_name, settings)
        changes += need_plan.changes
        if need_plan.awaits_memory and waiting_urgency is None:
            waiting_urgency = need.urgency
    changes += _plan_removals(
        plan_state, document, frozenset(m.name for m in group_models)
    )
    changes += plan_adapters(
        plan_state,
        document,
        group_models,
        total_by_name,
        settings,
        requested_targets_by_adapter or {},
        may_preload=waiting_urgency is None,
    )
    return sorted(changes, key=lambda change: change.urgency)


def _add_adapter_demand(
    document: Document, demand_by_name: Mapping[str, Demand]
) -> dict[str, Demand]:
    """Return the demand, where that of a model includes that of its adapters."""
    total = dict(demand_by_name)
    for name, demand in demand_by_name.items():
        adapter = document.adapters_by_name.get(name)
        if adapter is None:
            continue
        known = total.get(adapter.model, NO_DEMAND)
        total[adapter.model] = Demand(
            known.tokens_per_s + demand.tokens_per_s,
            known.peak_tokens_per_s + demand.peak_tokens_per_s,
        )
    return total


def replica_tokens_per_s(model: Model, slots: float) -> float:
    """Return the output tokens per second of a replica with `slots`.

    The slots of a target are configured so that, with all of them in use, each
    request still receives its tokens within the inter-token deadline.
    """
    return max(slots, 1.0) / model.inter_token_deadline_s


class _Need(NamedTuple):
    """A model that lacks replicas; sorts by urgency, then by decreasing size."""

    urgency: Urgency
    negative_size: float
    name: str
    missing: int


class _NeedPlan(NamedTuple):
    """The changes for one need; `awaits_memory` while memory is being freed for it."""

    changes: list[PlannedChange]
    awaits_memory: bool


def _needs(
    plan_state: PlanState,
    models: list[Model],
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings,
) -> list[_Need]:
    needs: list[_Need] = []
    for model in models:
        demand = demand_by_name.get(model.name, NO_DEMAND)
        replicas = plan_state.replicas(model.name)
        current = [r for r in replicas if r.version == model.version]
        minimum = max(1, model.min_replicas)
        missing = minimum - len(current)
        if not replicas:
            needs.append(
                _Need(Urgency.UNREACHABLE, -demand.tokens_per_s, model.name, 1)
            )
            missing -= 1
        if missing > 0:
            is_version = len(replicas) > len(current)
            urgency = Urgency.VERSION if is_version else Urgency.BELOW_MINIMUM
            needs.append(_Need(urgency, -demand.tokens_per_s, model.name, missing))
            continue
        shortfall = _shortfall(plan_state, model, demand, settings.target_utilisation)
        room = max(model.max_replicas, minimum) - len(current)
        if shortfall > settings.min_shortfall and room > 0:
            missing = min(room, max(1, round(shortfall)))
            needs.append(_Need(Urgency.DEMAND, -shortfall, model.name, missing))
        elif room > 0 and len({r.accelerator.domain for r in current}) == 1:
            size = demand.peak_tokens_per_s
            needs.append(_Need(Urgency.SPREAD, -size, model.name, 1))
    return needs


def _shortfall(
    plan_state: PlanState, model: Model, demand: Demand, utilisation: float
) -> float:
    """Return how many more replicas the demand needs.

    Where models share an accelerator, the demand on the others reduces the capacity
    that is counted for a replica.
    """
    if demand.tokens_per_s <= 0:
        return 0.0
    capacity = 0.0
    full_capacity = 0.0
    for replica in plan_state.replicas(model.name):
        accelerator = replica.accelerator
        full_capacity = replica_tokens_per_s(model, accelerator.slots)
        others = accelerator.tokens_per_s - demand.tokens_per_s / len(
            plan_state.replicas(model.name)
        )
        capacity += max(
            full_capacity * MIN_SHARED_CAPACITY_FRACTION,
            full_capacity - max(0.0, others),
        )
    if full_capacity == 0:
        return 1.0
    return (demand.tokens_per_s / utilisation - capacity) / full_capacity


def _distribute_demand(
    plan_state: PlanState, models: list[Model], demand_by_name: Mapping[str, Demand]
) -> None:
    """Divide each model's demand evenly over the accelerators of its replicas."""
    for model in models:
        tokens_per_s = demand_by_name.get(model.name, NO_DEMAND).tokens_per_s
        replicas = plan_state.replicas(model.name)
        for replica in replicas:
            replica.accelerator.tokens_per_s += tokens_per_s / len(replicas)


def _plan_need(
    plan_state: PlanState,
    document: Document,
    need: _Need,
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings,
) -> _NeedPlan:
    """Plan the loads for a need, or the unloads that free memory for them."""
    urgency, _, name, missing = need
    model = document.models_by_name[name]
    changes: list[PlannedChange] = []
    for _ in range(missing):
        accelerator = find_accelerator(plan_state, model, urgency)
        if accelerator is None:
            unloads = plan_eviction(
                plan_state, document, model, urgency, demand_by_name, settings
            )
            return _NeedPlan(changes + (unloads or []), unloads is not None)
        plan_state.apply_load(
            accelerator,
            name=name,
            model=name,
            version=model.version,
            memory_mib=model.memory_mib,
        )
        changes.append(load_change(accelerator, model, urgency))
    return _NeedPlan(changes, False)


def _plan_removals(
    plan_state: PlanState, document: Document, group_models: frozenset[str]
) -> list[PlannedChange]:
    """Plan unloads of undeclared models and of replaced versions."""
    changes: list[PlannedChange] = []
    for name, replicas in plan_state.replicas_by_name.items():
        model = document.models_by_name.get(name)
        for replica in replicas:
            if replica.is_unloading or not replica.accelerator.may_take_orders:
                continue
            if name != replica.model or not replica.accelerator.is_usable:
                continue
            if model is None:
                changes.append(_unload(plan_state, replica, "undeclared"))
            elif name in group_models and _is_replaced(plan_state, model, replica):
                changes.append(_unload(plan_state, replica, "replaced_version"))
    return changes


def _is_replaced(plan_state: PlanState, model: Model, replica: Replica) -> bool:
    """Return whether a replica is outdated and enough of the new version serve."""
    if replica.version == model.version:
        return False
    current = [
        r for r in plan_state.serving_replicas(model.name) if r.version == model.version
    ]
    return len(current) >= max(1, model.min_replicas)


def _unload(plan_state: PlanState, replica: Replica, reason: str) -> PlannedChange:
    plan_state.apply_unload(replica)
    return unload_change(replica, OrderKind.UNLOAD_MODEL, Urgency.CLEAN_UP, reason)
