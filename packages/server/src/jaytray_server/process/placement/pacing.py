"""Rate and concurrency limits for loads from the weight store.

Loads are ordered in the sequence of the plan. The last of the concurrent model loads
is reserved for urgent changes: loads that only prepare for faults or bursts may not
use it. Adapter loads have a limit of their own, above which each of them takes
longer.
"""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.targets import OrderKind
from jaytray_server.process.placement.changes import PlannedChange, Urgency


class LoadLimits(NamedTuple):
    """Limits of the weight store, or one group's share of them."""

    loads_per_second: float
    concurrent_loads: int
    concurrent_adapter_loads: int = 16


class LoadPacer:
    """Admits loads within the limits; its only state is when the next one may start."""

    def __init__(self, *, clock: MonotonicClock, limits: LoadLimits) -> None:
        self._clock = clock
        self.limits = limits
        self._next_load_at_s = float("-inf")

    def allows(
        self, change: PlannedChange, *, models_loading: int, adapters_loading: int
    ) -> bool:
        """Return whether the change may be ordered now; unloads are never held back."""
        if change.kind is OrderKind.LOAD_ADAPTER:
            return adapters_loading < self.limits.concurrent_adapter_loads
        if change.kind is not OrderKind.LOAD_MODEL:
            return True
        allowed = self.limits.concurrent_loads
        if change.urgency > Urgency.DEMAND:
            allowed = max(1, allowed - 1)
        return models_loading < allowed and self._clock() >= self._next_load_at_s

    def note_load(self) -> None:
        """Count a model load that is about to be ordered."""
        start = max(self._clock(), self._next_load_at_s)
        self._next_load_at_s = start + 1.0 / self.limits.loads_per_second
