"""Pace of model loads over all targets, below what the weight store allows."""

from jaytray_core.clock import MonotonicClock

# Part of the stated ceiling that is used: a new holder does not know the loads that
# its predecessor ordered last.
USED_PORTION = 0.85


class LoadPace:
    """Loads that began within the window."""

    def __init__(
        self, *, window_s: float, factor: float, clock: MonotonicClock
    ) -> None:
        self._window_s = window_s
        self._factor = factor
        self._clock = clock
        self._begun_s: list[float] = []

    def allowed(self, loads_per_s: float) -> int:
        """Return how many loads may begin now."""
        oldest_s = self._clock() - self._window_s
        self._begun_s = [begun for begun in self._begun_s if begun > oldest_s]
        ceiling = loads_per_s * self._window_s * self._factor * USED_PORTION
        return max(0, int(ceiling) - len(self._begun_s))

    def note_load(self) -> None:
        """Count a load that may begin now."""
        self._begun_s.append(self._clock())
