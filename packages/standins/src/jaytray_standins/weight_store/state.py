"""Weight store with a rate limit and a limit on concurrent loads.

Loads above the limits wait in the store; `begin_load` computes the end of a load from
the loads before it, so that no background task is needed.
"""

from jaytray_core.clock import MonotonicClock
from jaytray_core.weight_store import WeightStoreStatus


class WeightStoreState:
    """Limits and the loads in flight; shared by the targets of a site.

    An adapter load takes its nominal duration while at most `adapters_at_full_speed`
    are in flight, and proportionally longer beyond that.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        loads_per_second: float = 2.0,
        concurrent_loads: int = 4,
        adapters_at_full_speed: int = 30,
    ) -> None:
        self.clock = clock
        self.loads_per_second = loads_per_second
        self.concurrent_loads = concurrent_loads
        self.adapters_at_full_speed = adapters_at_full_speed
        self.loads_begun = 0
        self.longest_wait_s = 0.0
        self._last_start_s = float("-inf")
        self._load_ends_s: list[float] = []
        self._adapter_ends_s: list[float] = []

    def begin_load(self, duration_s: float) -> float:
        """Begin the load of a model; return the time at which it ends."""
        now_s = self.clock()
        self._load_ends_s = [end for end in self._load_ends_s if end > now_s]
        start_s = max(now_s, self._last_start_s + 1.0 / self.loads_per_second)
        if len(self._load_ends_s) >= self.concurrent_loads:
            free_at_s = sorted(self._load_ends_s)[-self.concurrent_loads]
            start_s = max(start_s, free_at_s)
        self._last_start_s = start_s
        self.loads_begun += 1
        self.longest_wait_s = max(self.longest_wait_s, start_s - now_s)
        self._load_ends_s.append(start_s + duration_s)
        return start_s + duration_s

    def begin_adapter_load(self, duration_s: float) -> float:
        """Begin the load of an adapter; return the time at which it ends."""
        now_s = self.clock()
        self._adapter_ends_s = [end for end in self._adapter_ends_s if end > now_s]
        in_flight = len(self._adapter_ends_s) + 1
        factor = max(1.0, in_flight / self.adapters_at_full_speed)
        end_s = now_s + duration_s * factor
        self._adapter_ends_s.append(end_s)
        return end_s

    def status(self) -> WeightStoreStatus:
        """Return the limits and the loads that have not ended."""
        now_s = self.clock()
        in_flight = sum(end > now_s for end in self._load_ends_s)
        return WeightStoreStatus(
            self.loads_per_second, self.concurrent_loads, in_flight
        )
