"""Plans which replicas of a model also hold its adapters.

A requested adapter is loaded at once on the accelerator with the least demand among
those that hold its model; further copies are added as its demand grows. While memory
is free, every declared adapter is preloaded. Idle adapters are unloaded when their
memory is needed.
"""

from collections.abc import Mapping

from jaytray_core.document.model import Adapter, Document, Model
from jaytray_core.targets import OrderKind
from jaytray_server.process.demand import NO_DEMAND, Demand
from jaytray_server.process.placement.changes import (
    PlannedChange,
    PlanSettings,
    Urgency,
    adapter_load_change,
    unload_change,
)
from jaytray_server.process.placement.state import Accelerator, PlanState, Replica

# Fraction of an accelerator's memory that preloading adapters keeps free.
PRELOAD_RESERVE_FRACTION = 0.05


def plan_adapters(
    plan_state: PlanState,
    document: Document,
    models: list[Model],
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings,
    requested_targets_by_adapter: Mapping[str, str],
    *,
    may_preload: bool,
) -> list[PlannedChange]:
    """Return loads and unloads of the adapters of `models`, this group's models."""
    models_by_name = {model.name: model for model in models}
    changes = _plan_undeclared_removals(plan_state, document)
    adapters = [
        a for a in document.adapters_by_name.values() if a.model in models_by_name
    ]
    adapters.sort(
        key=lambda a: -demand_by_name.get(a.name, NO_DEMAND).peak_tokens_per_s
    )
    for adapter in adapters:
        changes += _plan_adapter(
            plan_state,
            adapter,
            models_by_name[adapter.model],
            demand_by_name,
            settings,
            requested_targets_by_adapter.get(adapter.name),
            may_preload,
        )
    return changes


def _plan_adapter(
    plan_state: PlanState,
    adapter: Adapter,
    model: Model,
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings,
    requested_target: str | None,
    may_preload: bool,
) -> list[PlannedChange]:
    loaded = plan_state.replicas(adapter.name)
    current = [r for r in loaded if r.version == adapter.version]
    demand = demand_by_name.get(adapter.name, NO_DEMAND)
    has_demand = demand.tokens_per_s > settings.idle_tokens_per_s
    is_requested = has_demand or requested_target is not None
    changes: list[PlannedChange] = []
    if len(current) < _desired_copies(model, demand, settings, current):
        urgency = Urgency.ADAPTER_WANTED if is_requested else Urgency.ADAPTER_PRELOAD
        if urgency is Urgency.ADAPTER_PRELOAD and not may_preload:
            return changes
        changes += _plan_load(
            plan_state, adapter, urgency, demand_by_name, requested_target
        )
    if any(r.is_ready for r in current) or (not current and not changes):
        # An accelerator holds an adapter name only once. When every replica of the
        # model holds the old version, one has to unload it before the new version
        # can be loaded.
        stale = [r for r in loaded if r.version != adapter.version]
        changes += [_unload(plan_state, r, "replaced_version") for r in stale[:1]]
    return changes


def _desired_copies(
    model: Model, demand: Demand, settings: PlanSettings, current: list[Replica]
) -> int:
    """Return how many copies the demand calls for.

    Another copy is added each time the demand reaches one more multiple of a
    replica's usable capacity.
    """
    if not current:
        return 1
    slots = current[0].accelerator.slots
    per_copy = max(1.0, slots) / model.inter_token_deadline_s
    extra = demand.tokens_per_s / (per_copy * settings.target_utilisation)
    return 1 + int(extra)


def _plan_load(
    plan_state: PlanState,
    adapter: Adapter,
    urgency: Urgency,
    demand_by_name: Mapping[str, Demand],
    requested_target: str | None,
) -> list[PlannedChange]:
    hosts = [
        replica.accelerator
        for replica in plan_state.replicas(adapter.model)
        if replica.accelerator.may_take_orders
        and not replica.accelerator.is_reserved
        and adapter.name not in replica.accelerator.replicas_by_name
    ]
    fitting = [a for a in hosts if _fits(a, adapter, urgency)]
    if fitting:
        best = min(
            fitting,
            key=lambda a: (
                a.target.name != requested_target,
                a.tokens_per_s,
                -a.free_mib,
            ),
        )
        plan_state.apply_load(
            best,
            name=adapter.name,
            model=adapter.model,
            version=adapter.version,
            memory_mib=adapter.memory_mib,
        )
        return [adapter_load_change(best, adapter, urgency)]
    if urgency is Urgency.ADAPTER_PRELOAD:
        return []
    return _plan_eviction(plan_state, adapter, hosts, demand_by_name)


def _fits(accelerator: Accelerator, adapter: Adapter, urgency: Urgency) -> bool:
    reserve = 0.0
    if urgency is Urgency.ADAPTER_PRELOAD:
        reserve = PRELOAD_RESERVE_FRACTION * accelerator.target.accelerator_memory_mib
    return accelerator.free_mib - reserve >= adapter.memory_mib


def _plan_eviction(
    plan_state: PlanState,
    adapter: Adapter,
    hosts: list[Accelerator],
    demand_by_name: Mapping[str, Demand],
) -> list[PlannedChange]:
    """Plan the unload of the adapter with the least demand whose memory suffices.

    Plans nothing when unloads that are already under way free enough memory.
    """
    if any(host.expected_free_mib >= adapter.memory_mib for host in hosts):
        return []
    tokens_per_s = demand_by_name.get(adapter.name, NO_DEMAND).tokens_per_s
    victims = [
        replica
        for host in hosts
        for replica in host.replicas_by_name.values()
        if replica.name != replica.model
        and replica.is_ready
        and not replica.is_unloading
        and host.expected_free_mib + replica.memory_mib >= adapter.memory_mib
        and demand_by_name.get(replica.name, NO_DEMAND).peak_tokens_per_s < tokens_per_s
    ]
    if not victims:
        return []
    victim = min(
        victims,
        key=lambda r: demand_by_name.get(r.name, NO_DEMAND).peak_tokens_per_s,
    )
    return [_unload(plan_state, victim, f"room_for_{adapter.name}")]


def _plan_undeclared_removals(
    plan_state: PlanState, document: Document
) -> list[PlannedChange]:
    return [
        _unload(plan_state, replica, "undeclared")
        for name, replicas in list(plan_state.replicas_by_name.items())
        for replica in replicas
        if replica.name != replica.model
        and name not in document.adapters_by_name
        and replica.is_ready
        and not replica.is_unloading
        and replica.accelerator.is_usable
        and replica.accelerator.may_take_orders
    ]


def _unload(plan_state: PlanState, replica: Replica, reason: str) -> PlannedChange:
    plan_state.apply_unload(replica)
    return unload_change(replica, OrderKind.UNLOAD_ADAPTER, Urgency.CLEAN_UP, reason)
