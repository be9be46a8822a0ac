"""Decides whether a request waits for a replica.

Answers a shift of demand to a model that no target holds, and requests for rare
models: one that cannot begin before its caller gives up is rejected at once. Times are
in seconds.
"""

from typing import NamedTuple

# Remaining wait that is assumed once a load takes longer than forecast.
OVERDUE_S = 0.5


class WaitDecision(NamedTuple):
    """Whether to wait on, and the Retry-After if not."""

    is_waiting: bool
    retry_after_s: float


def decide_wait(
    *,
    waited_s: float,
    longest_s: float,
    ready_in_s: float | None,
    load_s: float,
) -> WaitDecision:
    """Return whether a request that has waited for `waited_s` should wait on.

    `longest_s` is how long its caller would wait in all, `ready_in_s` the forecast.
    Without one, the load is taken to begin with the request and to take `load_s`.
    """
    if ready_in_s is None:
        remaining_s = load_s - waited_s
    else:
        remaining_s = ready_in_s
    remaining_s = max(remaining_s, OVERDUE_S)
    is_waiting = waited_s < longest_s and (
        waited_s + remaining_s <= longest_s or remaining_s <= OVERDUE_S
    )
    return WaitDecision(is_waiting, remaining_s)
