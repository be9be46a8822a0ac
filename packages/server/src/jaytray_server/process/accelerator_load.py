"""Estimates how a target's load is distributed over its accelerators.

A load report covers a target as a whole, but a model runs only on the accelerators that
hold it. Each VM keeps an exponentially decaying count of the tokens that it has routed
to each accelerator. Because callers are spread over the VMs, this distribution is close
to that of the whole fleet. While few tokens have been counted, the estimate stays near
an even distribution.
"""

import math

from jaytray_core.clock import MonotonicClock

DECAY_TIME_S = 10.0
# Weight of the even distribution in the estimate, as tokens per target.
PRIOR_TOKENS = 500.0


class _TokenCounts:
    """Decaying token counts by accelerator of one target."""

    def __init__(self, now: float) -> None:
        self.updated_at_s = now
        self.tokens_by_accelerator: dict[int, float] = {}

    def decay(self, now: float) -> None:
        """Decay the counts up to `now`."""
        factor = math.exp(-(now - self.updated_at_s) / DECAY_TIME_S)
        self.updated_at_s = now
        for accelerator in self.tokens_by_accelerator:
            self.tokens_by_accelerator[accelerator] *= factor


class AcceleratorLoad:
    """Decaying counts of routed tokens by target and accelerator."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._counts_by_target: dict[str, _TokenCounts] = {}

    def record(self, target: str, accelerators: list[int], tokens: int) -> None:
        """Count a request that was routed to a replica on these accelerators."""
        now = self._clock()
        counts = self._counts_by_target.get(target)
        if counts is None:
            counts = self._counts_by_target[target] = _TokenCounts(now)
        counts.decay(now)
        for accelerator in accelerators:
            known = counts.tokens_by_accelerator.get(accelerator, 0.0)
            counts.tokens_by_accelerator[accelerator] = known + tokens / len(
                accelerators
            )

    def load_fraction(self, target: str, accelerators: list[int], total: int) -> float:
        """Return the fraction of the target's load on these of `total` accelerators."""
        if len(accelerators) >= total:
            return 1.0
        part = PRIOR_TOKENS * len(accelerators) / total
        whole = PRIOR_TOKENS
        counts = self._counts_by_target.get(target)
        if counts is not None:
            counts.decay(self._clock())
            whole += sum(counts.tokens_by_accelerator.values())
            known = counts.tokens_by_accelerator
            part += sum(known.get(accelerator, 0.0) for accelerator in accelerators)
        return part / whole
