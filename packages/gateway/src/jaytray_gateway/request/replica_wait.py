"""Decides whether a request waits for a replica, and when its caller should return.

Answers a shift of demand to a model that no target holds, and requests for rare
models: one that cannot begin before its caller gives up is rejected at once. The
callers that are rejected return one after the other, the first rejected first, from the
time at which the model should be loaded, so that they do not all arrive together. Times
are in seconds.
"""

import math
from typing import NamedTuple

# Remaining wait that is assumed once a load takes longer than forecast.
OVERDUE_S = 0.5
# Longest time over which the returns of rejected callers are spread.
MAX_SPREAD_S = 4.0
# Fraction of a target's time that is left for those that return, beside new requests.
RETURN_CAPACITY_FRACTION = 1 / 3


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


class ReturnSchedule:
    """When callers that were turned away return, by what they wait for."""

    def __init__(self) -> None:
        self._last_at_s_by_key: dict[tuple[str, str], float] = {}

    def retry_after_s(
        self, key: tuple[str, str], *, now_s: float, ready_in_s: float, takes_s: float
    ) -> float:
        """Return the Retry-After of the next caller, behind the last one.

        `takes_s` is the time of a target that the request takes.
        """
        first_at_s = now_s + ready_in_s
        spacing_s = takes_s / RETURN_CAPACITY_FRACTION
        next_at_s = self._last_at_s_by_key.get(key, -math.inf) + spacing_s
        returns_at_s = min(max(first_at_s, next_at_s), first_at_s + MAX_SPREAD_S)
        self._last_at_s_by_key[key] = returns_at_s
        return returns_at_s - now_s

    def drop_past(self, now_s: float) -> None:
        """Forget returns that have passed."""
        for key, at_s in list(self._last_at_s_by_key.items()):
            if at_s < now_s:
                del self._last_at_s_by_key[key]
