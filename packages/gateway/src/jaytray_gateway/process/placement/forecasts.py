"""Forecasts when models that requests wait for will be loaded.

Answers a shift of demand to a model without a replica, and requests for rare models:
a request waits only for a load that ends while its caller still waits, and callers that
are turned away return when the load has ended. Pure functions; times are in seconds.
"""

from jaytray_gateway.process.placement.target_plan import RUNS_FINISH_S, TargetPlan
from jaytray_gateway.version.route_table import Engine

# Time from the end of a load until the members know of it.
NOTICE_S = 0.2


def forecast_ready_s(
    engine: Engine, plans: list[TargetPlan], awaited: list[str], now_s: float
) -> dict[str, float]:
    """Return the seconds until each model is loaded, for pending loads and `awaited`.

    `awaited` are the models that requests wait for, the first to be loaded first. One
    without a pending load gets the next target that has executed its orders.
    """
    loaded = {model for plan in plans for model in plan.models}
    ready_s: dict[str, float] = {}
    free_in_s: list[float] = []
    for plan in plans:
        busy_s = 0.0
        pending = plan.pending_load(engine, now_s)
        if pending is not None:
            model, busy_s = pending
            ready_s[model] = min(ready_s.get(model, busy_s), busy_s)
        free_in_s.append(busy_s)
    free_in_s.sort()
    for model in awaited:
        if model in ready_s or model in loaded or model not in engine.models_by_name:
            continue
        if not free_in_s:
            break
        load_s = min(plan.load_time_s(engine, model) for plan in plans)
        done_s = free_in_s.pop(0) + RUNS_FINISH_S + load_s
        ready_s[model] = done_s
        free_in_s.append(done_s)
        free_in_s.sort()
    return {
        model: round(seconds + NOTICE_S, 2)
        for model, seconds in ready_s.items()
        if model not in loaded
    }
