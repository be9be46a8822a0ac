"""Moving averages of callers' demand by name."""

import math

from jaytray_core.clock import MonotonicClock

# Rates below this are dropped.
_NEGLIGIBLE = 0.01
# Shortest time that the first amounts are taken to stand for.
_MIN_OBSERVED_S = 1.0


class DemandAverage:
    """Exponentially decaying rates of the added amounts, by name.

    Until the window has passed, the rates are those of the time since the first amount:
    demand that has only begun to be observed is not small.
    """

    def __init__(self, *, clock: MonotonicClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._rate_by_name: dict[str, float] = {}
        self._updated_s = clock()
        self._begun_s: float | None = None

    def add(self, name: str, amount: float) -> None:
        """Add `amount` at the current time."""
        self._decay()
        if self._begun_s is None:
            self._begun_s = self._updated_s
        before = self._rate_by_name.get(name, 0.0)
        self._rate_by_name[name] = before + amount / self._window_s

    def rates(self) -> dict[str, float]:
        """Return the rates per second by name."""
        self._decay()
        if self._begun_s is None:
            return {}
        observed_s = max(self._updated_s - self._begun_s, _MIN_OBSERVED_S)
        covered = 1 - math.exp(-observed_s / self._window_s)
        return {name: rate / covered for name, rate in self._rate_by_name.items()}

    def _decay(self) -> None:
        now_s = self._clock()
        factor = math.exp((self._updated_s - now_s) / self._window_s)
        self._updated_s = now_s
        self._rate_by_name = {
            name: rate * factor
            for name, rate in self._rate_by_name.items()
            if rate * factor > _NEGLIGIBLE
        }


def add_rates(total: dict[str, float], rates: dict[str, float]) -> None:
    """Add rates by name to a sum."""
    for name, rate in rates.items():
        total[name] = total.get(name, 0.0) + rate
