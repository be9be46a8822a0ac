"""Rate limit for model loads over all targets, below the weight store's limit."""

from jaytray_core.clock import MonotonicClock

# Fraction of the stated limit that is used: a new leader does not know which loads
# its predecessor ordered last.
USED_PORTION = 0.85


class LoadPace:
    """Limits the loads from the weight store that begin within a sliding window."""

    def __init__(
        self, *, window_s: float, factor: float, clock: MonotonicClock
    ) -> None:
        self._window_s = window_s
        self._factor = factor
        self._clock = clock
        self._begun_s: list[float] = []

    def allowed(self, loads_per_s: float) -> int:
        """Return the number of loads that may begin now."""
        oldest_s = self._clock() - self._window_s
        self._begun_s = [begun for begun in self._begun_s if begun > oldest_s]
        ceiling = loads_per_s * self._window_s * self._factor * USED_PORTION
        return max(0, int(ceiling) - len(self._begun_s))

    def note_load(self) -> None:
        """Count a load that is about to be ordered."""
        self._begun_s.append(self._clock())
