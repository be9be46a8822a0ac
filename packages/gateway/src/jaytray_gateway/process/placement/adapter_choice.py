"""Where an adapter is loaded, and which unused one makes room for it."""

from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.placement.target_plan import TargetPlan
from jaytray_gateway.replica_names import replica_name
from jaytray_gateway.version.route_table import Engine

# An adapter that was loaded, or found in use, this recently is not dropped.
KEEP_S = 1.0


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
    """Return the target where the adapter is or should be loaded, if any can be."""
    best: tuple[float, int, str] | None = None
    for plan in plans:
        if model not in plan.models or plan.is_closing(model):
            continue
        if (model, adapter) in plan.used_at_s_by_adapter:
            return plan.target_id
        if plan.has_model_step or plan.avoided_until_s > now_s:
            continue
        loss = 0.0
        if is_full(engine, plan):
            victim = choose_victim(plan, rates=rates, loads=loads, now_s=now_s)
            if victim is None:
                continue
            loss = rates.get(replica_name(*victim), 0.0)
        cost = (loss, loads.total(plan.target_id).running, plan.target_id)
        if best is None or cost < best:
            best = cost
    return best[2] if best else None


def is_full(engine: Engine, plan: TargetPlan) -> bool:
    """Return whether all places for adapters may be taken."""
    return len(plan.occupied_adapters()) >= engine.adapter_slots


def choose_victim(
    plan: TargetPlan, *, rates: dict[str, float], loads: LoadView, now_s: float
) -> tuple[str, str] | None:
    """Return the unused adapter with the least demand, as model and adapter."""
    in_use = loads.replicas_in_use(plan.target_id)
    unused = [
        key
        for key, used_at_s in plan.used_at_s_by_adapter.items()
        if now_s - used_at_s > KEEP_S and replica_name(*key) not in in_use
    ]
    return min(
        unused, key=lambda key: (rates.get(replica_name(*key), 0.0), key), default=None
    )
