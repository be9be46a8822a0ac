"""Moving averages of callers' demand by name."""

import math

from jaytray_core.clock import MonotonicClock

# Rates below this are dropped.
_NEGLIGIBLE = 0.01


class DemandAverage:
    """Exponentially decaying rates of the added amounts, by name."""

    def __init__(self, *, clock: MonotonicClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._rate_by_name: dict[str, float] = {}
        self._updated_s = clock()

    def add(self, name: str, amount: float) -> None:
        """Add `amount` at the current time."""
        self._decay()
        before = self._rate_by_name.get(name, 0.0)
        self._rate_by_name[name] = before + amount / self._window_s

    def rates(self) -> dict[str, float]:
        """Return the rates per second by name."""
        self._decay()
        return dict(self._rate_by_name)

    def _decay(self) -> None:
        now_s = self._clock()
        factor = math.exp((self._updated_s - now_s) / self._window_s)
        self._updated_s = now_s
        self._rate_by_name = {
            name: rate * factor
            for name, rate in self._rate_by_name.items()
            if rate * factor > _NEGLIGIBLE
        }
