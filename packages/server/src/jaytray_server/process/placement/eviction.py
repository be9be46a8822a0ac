"""Choice of an accelerator for a new replica, and of replicas to evict for it."""

from collections.abc import Mapping
from typing import NamedTuple

from jaytray_core.document.model import Document, Model
from jaytray_core.targets import OrderKind
from jaytray_server.process.demand import NO_DEMAND, Demand
from jaytray_server.process.placement.changes import (
    PlannedChange,
    PlanSettings,
    Urgency,
    load_change,
    unload_change,
)
from jaytray_server.process.placement.state import Accelerator, PlanState, Replica


class _Eviction(NamedTuple):
    """An accelerator and the replicas to unload from it for a new one."""

    accelerator: Accelerator
    victims: list[Replica]


def find_accelerator(
    plan_state: PlanState, model: Model, urgency: Urgency
) -> Accelerator | None:
    """Return the best accelerator with free memory for one more replica, or None.

    Prefers a failure domain without a replica, then a target without the model, then
    the least demand, then the tightest fit, which keeps large free blocks for large
    models.
    """
    domains = {
        replica.accelerator.domain for replica in plan_state.replicas(model.name)
    }
    fitting = [
        accelerator
        for accelerator in _eligible_accelerators(plan_state, model)
        if accelerator.free_mib >= model.memory_mib
        and (urgency is not Urgency.SPREAD or accelerator.domain not in domains)
    ]
    return min(
        fitting,
        key=lambda a: (
            a.domain in domains,
            model.name in plan_state.names_by_target[a.target.name],
            a.tokens_per_s,
            a.free_mib,
        ),
        default=None,
    )


def plan_eviction(
    plan_state: PlanState,
    document: Document,
    model: Model,
    urgency: Urgency,
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings,
) -> list[PlannedChange] | None:
    """Return the unloads that free memory for a replica, or None if none can.

    The list is empty while enough memory is being freed already. For an unreachable
    model, or one below its minimum, that only last replicas of other models block,
    one of those is first loaded on another accelerator.
    """
    accelerators = _eligible_accelerators(plan_state, model)
    for accelerator in accelerators:
        if accelerator.expected_free_mib >= model.memory_mib:
            _reserve(accelerator, model)
            return []
    evictions = [
        eviction
        for accelerator in accelerators
        if (
            eviction := _eviction_on(
                plan_state,
                document,
                model,
                urgency,
                accelerator,
                demand_by_name,
                settings,
            )
        )
    ]
    if not evictions:
        return _plan_relocation(plan_state, document, model, urgency, accelerators)
    domains = {
        replica.accelerator.domain for replica in plan_state.replicas(model.name)
    }
    eviction = min(
        evictions,
        key=lambda r: (
            sum(v.name == v.model for v in r.victims),
            sum(not _keeps_domains_spread(plan_state, v) for v in r.victims),
            r.accelerator.domain in domains,
            r.accelerator.tokens_per_s,
        ),
    )
    changes = []
    for victim in eviction.victims:
        plan_state.apply_unload(victim)
        is_model = victim.name == victim.model
        kind = OrderKind.UNLOAD_MODEL if is_model else OrderKind.UNLOAD_ADAPTER
        reason = f"room_for_{model.name}"
        changes.append(unload_change(victim, kind, urgency, reason))
    _reserve(eviction.accelerator, model)
    return changes


def _reserve(accelerator: Accelerator, model: Model) -> None:
    """Set the memory that is being freed aside, so that no adapter takes it."""
    accelerator.expected_free_mib -= model.memory_mib
    accelerator.is_reserved = True


def _eligible_accelerators(plan_state: PlanState, model: Model) -> list[Accelerator]:
    """Return the accelerators that can take orders and do not hold the model.

    Targets that hold another version of the model are excluded: engines address a
    replica by name only, so a request could reach either version.
    """
    return [
        accelerator
        for accelerator in plan_state.accelerators
        if accelerator.is_usable
        and accelerator.may_take_orders
        and model.name not in accelerator.replicas_by_name
        and not _holds_other_version(plan_state, accelerator, model)
    ]


def _holds_other_version(
    plan_state: PlanState, accelerator: Accelerator, model: Model
) -> bool:
    target = accelerator.target.name
    if model.name not in plan_state.names_by_target[target]:
        return False
    return any(
        replica.version != model.version
        for replica in plan_state.replicas_by_name.get(model.name, ())
        if replica.accelerator.target.name == target
    )


def _eviction_on(
    plan_state: PlanState,
    document: Document,
    model: Model,
    urgency: Urgency,
    accelerator: Accelerator,
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings,
) -> _Eviction | None:
    """Return the replicas to unload, or None if too few of them may be unloaded."""
    missing_mib = model.memory_mib - accelerator.expected_free_mib
    evictable = [
        replica
        for replica in accelerator.replicas_by_name.values()
        if _is_evictable(
            plan_state, document, replica, urgency, demand_by_name, settings
        )
    ]
    evictable.sort(
        key=lambda r: (
            r.name == r.model,
            not _keeps_domains_spread(plan_state, r),
            _peak_tokens_per_s(r, demand_by_name),
        )
    )
    victims: list[Replica] = []
    for replica in evictable:
        if missing_mib <= 0:
            break
        victims.append(replica)
        missing_mib -= replica.memory_mib
    return _Eviction(accelerator, victims) if missing_mib <= 0 and victims else None


def _is_evictable(
    plan_state: PlanState,
    document: Document,
    replica: Replica,
    urgency: Urgency,
    demand_by_name: Mapping[str, Demand],
    settings: PlanSettings,
) -> bool:
    """Return whether a replica may be unloaded for a need of this urgency."""
    if replica.is_unloading or not replica.is_ready:
        return False
    if replica.name != replica.model:
        return (
            urgency <= Urgency.BELOW_MINIMUM
            or _peak_tokens_per_s(replica, demand_by_name) <= 0
        )
    has_adapters = any(
        other.model == replica.name and other is not replica
        for other in replica.accelerator.replicas_by_name.values()
    )
    if has_adapters and urgency > Urgency.BELOW_MINIMUM:
        return False
    serving = len(
        [r for r in plan_state.serving_replicas(replica.name) if r is not replica]
    )
    model = document.models_by_name.get(replica.name)
    if model is None:
        return True
    if urgency is Urgency.UNREACHABLE:
        return serving >= 1
    if serving < max(1, model.min_replicas):
        return False
    if urgency < Urgency.DEMAND:
        return True
    if not _keeps_domains_spread(plan_state, replica):
        return False
    per_replica = max(1.0, replica.accelerator.slots) / model.inter_token_deadline_s
    return (
        _peak_tokens_per_s(replica, demand_by_name)
        <= serving * per_replica * settings.target_utilisation
    )


def _keeps_domains_spread(plan_state: PlanState, replica: Replica) -> bool:
    """Return whether the other replicas still span more than one failure domain."""
    domains = {
        other.accelerator.domain
        for other in plan_state.serving_replicas(replica.name)
        if other is not replica
    }
    return len(domains) > 1


def _plan_relocation(
    plan_state: PlanState,
    document: Document,
    model: Model,
    urgency: Urgency,
    accelerators: list[Accelerator],
) -> list[PlannedChange] | None:
    """Plan a second copy of a blocking replica, so that the first can be unloaded."""
    if urgency > Urgency.BELOW_MINIMUM:
        return None
    for accelerator in accelerators:
        missing_mib = model.memory_mib - accelerator.expected_free_mib
        for replica in accelerator.replicas_by_name.values():
            blocking_model = document.models_by_name.get(replica.name)
            if (
                blocking_model is None
                or replica.is_unloading
                or replica.memory_mib < missing_mib
            ):
                continue
            destination = next(
                (
                    candidate
                    for candidate in _eligible_accelerators(plan_state, blocking_model)
                    if candidate.free_mib >= blocking_model.memory_mib
                    and candidate is not accelerator
                ),
                None,
            )
            if destination is None:
                continue
            plan_state.apply_load(
                destination,
                name=blocking_model.name,
                model=blocking_model.name,
                version=blocking_model.version,
                memory_mib=blocking_model.memory_mib,
            )
            reason = f"relocate_for_{model.name}"
            return [load_change(destination, blocking_model, urgency, reason)]
    return None


def _peak_tokens_per_s(replica: Replica, demand_by_name: Mapping[str, Demand]) -> float:
    return demand_by_name.get(replica.name, NO_DEMAND).peak_tokens_per_s
