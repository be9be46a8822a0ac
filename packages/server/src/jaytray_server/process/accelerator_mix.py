"""How a target's requests are shared among its accelerators.

A load report counts the requests of a target as a whole, but a model runs only on
the accelerators that hold it. Each VM keeps a fading count of the tokens that it has
routed to each accelerator; callers are spread over the VMs, so this mix is close to
that of all. Until there is enough of it, the accelerators count as equally busy.
"""

import math

from jaytray_core.clock import MonotonicClock

FADE_S = 10.0
# Tokens a target that are taken as known before any was routed.
PRIOR_TOKENS = 500.0


class _Mix:
    """Fading tokens by accelerator of one target."""

    def __init__(self, now: float) -> None:
        self.updated_at_s = now
        self.tokens_by_accelerator: dict[int, float] = {}

    def fade(self, now: float) -> None:
        """Let the counts fade to `now`."""
        factor = math.exp(-(now - self.updated_at_s) / FADE_S)
        self.updated_at_s = now
        for accelerator in self.tokens_by_accelerator:
            self.tokens_by_accelerator[accelerator] *= factor


class AcceleratorMix:
    """Fading counts of routed tokens by target and accelerator."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._mix_by_target: dict[str, _Mix] = {}

    def record(self, target: str, accelerators: list[int], tokens: int) -> None:
        """Count a request that was routed to one of these accelerators."""
        now = self._clock()
        mix = self._mix_by_target.get(target)
        if mix is None:
            mix = self._mix_by_target[target] = _Mix(now)
        mix.fade(now)
        for accelerator in accelerators:
            known = mix.tokens_by_accelerator.get(accelerator, 0.0)
            mix.tokens_by_accelerator[accelerator] = known + tokens / len(accelerators)

    def share(self, target: str, accelerators: list[int], total: int) -> float:
        """Return the part of the target's load on these of `total` accelerators."""
        if len(accelerators) >= total:
            return 1.0
        part = PRIOR_TOKENS * len(accelerators) / total
        whole = PRIOR_TOKENS
        mix = self._mix_by_target.get(target)
        if mix is not None:
            mix.fade(self._clock())
            whole += sum(mix.tokens_by_accelerator.values())
            known = mix.tokens_by_accelerator
            part += sum(known.get(accelerator, 0.0) for accelerator in accelerators)
        return part / whole
