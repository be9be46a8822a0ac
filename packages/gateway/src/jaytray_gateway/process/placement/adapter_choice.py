"""Selects the target for an adapter load and the idle adapter to evict for it."""

from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.placement.target_plan import TargetPlan
from jaytray_gateway.replica_names import models_with_adapters, replica_name
from jaytray_gateway.version.route_table import Engine

# Adapters that were loaded, or found in use, this recently are not evicted.
MIN_IDLE_S = 1.0
# Cost of taking an adapter slot that a model with fewer replicas needs, in milliseconds
# of engine time per second: the demand of an adapter requested every few seconds.
SCARCE_SLOT_COST_MS = 10.0


def choose_target(
    engine: Engine,
    plans: list[TargetPlan],
    model: str,
    adapter: str,
    *,
    rates: dict[str, float],
    loads: LoadView,
    now_s: float,
) -> str | None:
    """Return the target that has the adapter or should load it, None if none can.

    Prefers targets without a model that has fewer replicas, whose adapters need the
    slots there.
    """
    target_counts = _target_counts_by_model(plans, rates, model)
    best: tuple[float, int, str] | None = None
    for plan in plans:
        if model not in plan.models or plan.is_unloading(model):
            continue
        if (model, adapter) in plan.used_at_s_by_adapter:
            return plan.target_id
        if plan.has_model_step or plan.avoided_until_s > now_s:
            continue
        loss = 0.0
        if are_adapter_slots_full(engine, plan):
            victim = choose_victim(plan, rates=rates, loads=loads, now_s=now_s)
            if victim is None:
                continue
            loss = rates.get(replica_name(*victim), 0.0)
        scarcer = sum(
            other in target_counts and target_counts[other] < target_counts[model]
            for other in plan.models
        )
        loss += SCARCE_SLOT_COST_MS * scarcer
        cost = (loss, loads.load_of(plan.target_id).running, plan.target_id)
        if best is None or cost < best:
            best = cost
    return best[2] if best else None


def _target_counts_by_model(
    plans: list[TargetPlan], rates: dict[str, float], model: str
) -> dict[str, int]:
    """Return the number of targets by model, for `model` and those of used adapters."""
    used = models_with_adapters(rates) | {model}
    return {name: sum(name in plan.models for plan in plans) for name in used}


def are_adapter_slots_full(engine: Engine, plan: TargetPlan) -> bool:
    """Return whether all adapter slots are, or may be, occupied."""
    return len(plan.possibly_resident_adapters()) >= engine.adapter_slots


def choose_victim(
    plan: TargetPlan, *, rates: dict[str, float], loads: LoadView, now_s: float
) -> tuple[str, str] | None:
    """Return the idle adapter with the lowest demand as (model, adapter)."""
    in_use = loads.replicas_in_use(plan.target_id)
    unused = [
        key
        for key, used_at_s in plan.used_at_s_by_adapter.items()
        if now_s - used_at_s > MIN_IDLE_S and replica_name(*key) not in in_use
    ]
    return min(
        unused, key=lambda key: (rates.get(replica_name(*key), 0.0), key), default=None
    )
