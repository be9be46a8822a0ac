"""Compares the tokens that accounts got from all VMs with their contracts.

Admitted tokens are those charged and not returned, counted at the time of the
admission; a request that is not yet settled counts with its full charge.
"""

import bisect
import itertools
from collections.abc import Iterable
from typing import NamedTuple


class Charge(NamedTuple):
    """Tokens admitted at one moment."""

    time_s: float
    tokens: int


class ContractPeriod(NamedTuple):
    """Largest rate and burst that any VM applies from `since_s` on."""

    since_s: float
    rate_tokens_per_s: float
    burst_tokens: float


def worst_excess(charges: Iterable[Charge], periods: list[ContractPeriod]) -> float:
    """Return the largest excess over all time windows.

    The excess of a window is the tokens admitted in it less its bound: the burst at
    the start of the window plus the rate integrated over the window. It is negative
    when no window reaches its bound. The first of `periods` starts at 0.
    """
    starts = [period.since_s for period in periods]
    refilled_at_start = [0.0]
    for one, following in itertools.pairwise(periods):
        seconds = following.since_s - one.since_s
        refilled_at_start.append(
            refilled_at_start[-1] + seconds * one.rate_tokens_per_s
        )

    def refilled(time_s: float) -> float:
        position = bisect.bisect_right(starts, time_s) - 1
        period = periods[position]
        seconds = time_s - period.since_s
        return refilled_at_start[position] + seconds * period.rate_tokens_per_s

    def burst(time_s: float) -> float:
        return periods[bisect.bisect_right(starts, time_s) - 1].burst_tokens

    admitted = 0.0
    best_start = float("-inf")
    worst = float("-inf")
    last_s = 0.0
    for charge in sorted(charges):
        # The worst window starts just before an admission or at a change of contract.
        changes = [s for s in starts if last_s <= s < charge.time_s]
        for start in (*changes, charge.time_s):
            window_start = refilled(start) - admitted - burst(start)
            best_start = max(best_start, window_start)
        admitted += charge.tokens
        worst = max(worst, admitted - refilled(charge.time_s) + best_start)
        last_s = charge.time_s
    return worst
