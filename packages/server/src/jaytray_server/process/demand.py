"""Demand for each model and adapter, in tokens per second over all VMs.

Each VM counts the output tokens that its callers request, including those of refused
requests, and sends the rates that are not negligible to its peers (see
`target_observer`). Two values are kept: a fast average, which determines when replicas
are added, and a peak that decays over minutes, which determines when replicas are
removed. The difference between the two is the hysteresis that prevents models from
being loaded and unloaded repeatedly.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock

FAST_AVERAGE_S = 10.0
PEAK_DECAY_S = 300.0
PEER_DEMAND_VALID_S = 240.0
NEGLIGIBLE_TOKENS_PER_S = 0.01


class Demand(NamedTuple):
    """Current demand and its decaying peak, in tokens per second."""

    tokens_per_s: float
    peak_tokens_per_s: float


NO_DEMAND = Demand(0.0, 0.0)


class _Average:
    """Exponentially weighted rate with a decaying peak."""

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.peak = 0.0
        self.updated_at_s = now

    def advance(self, now: float) -> None:
        """Decay the rate and the peak up to `now`."""
        elapsed_s = max(0.0, now - self.updated_at_s)
        self.rate *= math.exp(-elapsed_s / FAST_AVERAGE_S)
        self.peak = max(self.rate, self.peak * math.exp(-elapsed_s / PEAK_DECAY_S))
        self.updated_at_s = now

    def add(self, tokens: int) -> None:
        """Count tokens requested at the time of the last `advance`."""
        self.rate += tokens / FAST_AVERAGE_S
        self.peak = max(self.peak, self.rate)


class DemandMeter:
    """Demand on this VM by name, and the last demand reported by each peer."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._averages_by_name: dict[str, _Average] = {}
        self._peers_by_vm: dict[str, tuple[float, dict[str, Demand]]] = {}

    def record(self, name: str, tokens: int) -> None:
        """Count a request for the model or adapter `name`, served or refused."""
        now = self._clock()
        average = self._averages_by_name.get(name)
        if average is None:
            average = self._averages_by_name[name] = _Average(now)
        average.advance(now)
        average.add(tokens)

    def own_demand(self) -> dict[str, Demand]:
        """Return this VM's demand by name, without negligible values."""
        now = self._clock()
        demand_by_name: dict[str, Demand] = {}
        for name, average in list(self._averages_by_name.items()):
            average.advance(now)
            if average.peak < NEGLIGIBLE_TOKENS_PER_S:
                del self._averages_by_name[name]
                continue
            demand_by_name[name] = Demand(average.rate, average.peak)
        return demand_by_name

    def record_peer(self, vm_id: str, demand_by_name: Mapping[str, Demand]) -> None:
        """Replace a peer's demand; it counts for `PEER_DEMAND_VALID_S`."""
        self._peers_by_vm[vm_id] = (self._clock(), dict(demand_by_name))

    def total_demand(self) -> dict[str, Demand]:
        """Return the summed demand of all VMs by name."""
        oldest = self._clock() - PEER_DEMAND_VALID_S
        total = self.own_demand()
        for vm_id, (received_at_s, demand_by_name) in list(self._peers_by_vm.items()):
            if received_at_s < oldest:
                del self._peers_by_vm[vm_id]
                continue
            for name, demand in demand_by_name.items():
                known = total.get(name, NO_DEMAND)
                total[name] = Demand(
                    known.tokens_per_s + demand.tokens_per_s,
                    known.peak_tokens_per_s + demand.peak_tokens_per_s,
                )
        return total
