"""Decides when callers that were rejected return.

Answers the return of a herd: all members reject callers of a model that is not loaded
yet, or of a target with a long queue, and these must come back neither together nor
before there is room. Two cases differ in what a member knows of the others' rejections:

- The forecast of a load states the demand of the whole fleet. Callers return in the
  order in which they were rejected, as fast as the model can serve them, from the time
  of the load on. All members compute the same order from the same forecast.
- Otherwise the other members are taken to reject as many callers as this one. Each of
  its callers gets a random one of the places that the fleet's next callers share.

Times are in seconds.
"""

import math
import random
from typing import NamedTuple

# Longest time over which the returns of rejected callers are spread.
MAX_SPREAD_S = 4.0
# Fraction of a target's time that is left for those that return, beside new requests.
RETURN_CAPACITY_FRACTION = 1 / 3


class ForecastLoad(NamedTuple):
    """The load of a model that callers wait for.

    `demand` is that of the whole fleet in seconds of a target's time per second, and
    `awaited_s` the time since the load was first forecast.
    """

    ready_in_s: float
    awaited_s: float
    demand: float


def return_after_load_s(load: ForecastLoad, *, left_s: float) -> float:
    """Return the Retry-After of a caller who is rejected now because of a load.

    The returns of all callers that are rejected until the load take the time that the
    model needs for them, but not too long. A caller whose request ends in `left_s`,
    before its turn, returns as soon as the model is loaded.
    """
    whole_s = load.awaited_s + load.ready_in_s
    if whole_s <= 0.0:
        return load.ready_in_s
    spread_s = min(MAX_SPREAD_S, load.demand * whole_s / RETURN_CAPACITY_FRACTION)
    returns_in_s = load.ready_in_s + spread_s * load.awaited_s / whole_s
    return returns_in_s if returns_in_s < left_s else load.ready_in_s


class ReturnSchedule:
    """When callers that were turned away return, by what they wait for."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        # Begin of the last round of returns, one for each member.
        self._round_at_s_by_key: dict[tuple[str, str], float] = {}

    def retry_after_s(
        self,
        key: tuple[str, str],
        *,
        now_s: float,
        ready_in_s: float,
        takes_s: float,
        members: int,
    ) -> float:
        """Return the Retry-After of the next caller, behind the last one.

        `takes_s` is the time of a target that a request takes.
        """
        spacing_s = takes_s / RETURN_CAPACITY_FRACTION
        first_at_s = now_s + ready_in_s
        next_at_s = self._round_at_s_by_key.get(key, -math.inf) + spacing_s * members
        round_at_s = max(first_at_s, next_at_s)
        returns_at_s = round_at_s + spacing_s * self._rng.randrange(members)
        if returns_at_s > first_at_s + MAX_SPREAD_S:
            # There are more than can be served in that time: no moment is better.
            return ready_in_s + MAX_SPREAD_S * self._rng.random()
        self._round_at_s_by_key[key] = round_at_s
        return returns_at_s - now_s

    def drop_past(self, now_s: float) -> None:
        """Forget returns that have passed."""
        for key, at_s in list(self._round_at_s_by_key.items()):
            if at_s < now_s:
                del self._round_at_s_by_key[key]
