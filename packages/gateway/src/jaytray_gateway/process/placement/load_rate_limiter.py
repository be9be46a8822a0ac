"""Rate limit for model loads over all targets, below the weight store's limit."""

from jaytray_core.clock import MonotonicClock

# Fraction of the stated limit that is used: a new leader does not know which loads
# its predecessor ordered last.
USED_FRACTION = 0.85


class LoadRateLimiter:
    """Limits the loads from the weight store that begin within a sliding window."""

    def __init__(
        self, *, window_s: float, factor: float, clock: MonotonicClock
    ) -> None:
        self._window_s = window_s
        self._factor = factor
        self._clock = clock
        self._load_times_s: list[float] = []

    def allowed(self, loads_per_s: float) -> int:
        """Return the number of loads that may begin now."""
        oldest_s = self._clock() - self._window_s
        self._load_times_s = [
            started for started in self._load_times_s if started > oldest_s
        ]
        limit = loads_per_s * self._window_s * self._factor * USED_FRACTION
        return max(0, int(limit) - len(self._load_times_s))

    def record_load(self) -> None:
        """Count a load that is about to be ordered."""
        self._load_times_s.append(self._clock())
