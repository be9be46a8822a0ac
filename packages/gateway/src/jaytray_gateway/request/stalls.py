"""Decides whether to wait on for a target that is silent.

A silent target may be sound and go on. The request moves to another one only if that
would take it at once; otherwise it keeps its target until its time limit.
"""

from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_gateway.request.run_state import RequestState
from jaytray_gateway.request.services import RequestServices

# Interval at which a request that has stalled is checked for another target.
CHECK_INTERVAL_S = 0.25
# A wait that ends so late shows that this process was held up. What has arrived in the
# meantime is read first.
OVERSLEPT_S = 0.1


def extended_wait_s(
    err: ExchangeError,
    state: RequestState,
    services: RequestServices,
    *,
    until_s: float,
    limit_s: float,
) -> float | None:
    """Return until when to wait on after a wait until `until_s`, None to give up.

    It is `limit_s` at the latest.
    """
    now_s = services.clock()
    if err.progress is not ExchangeProgress.TIMED_OUT or now_s >= limit_s:
        return None
    was_held_up = now_s - until_s > OVERSLEPT_S
    if not was_held_up and _may_move(state, services):
        return None
    return min(limit_s, now_s + CHECK_INTERVAL_S)


def _may_move(state: RequestState, services: RequestServices) -> bool:
    """Return whether another attempt could be made now, and would find a target."""
    service = state.service
    if state.runs + 1 >= state.admitted.route.max_attempts:
        return False
    if not services.budget.has_token(service.name):
        return False
    if services.reach.is_cut_off(service.name) and not state.relayed_for:
        return services.relays.choose(service.name, state.tried_members) is not None
    return services.search.has_other(
        state.admitted,
        service,
        state.tried,
        software_version=state.required_version,
    )
