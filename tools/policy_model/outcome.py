"""The compared policies and the results of a simulation run."""

from typing import NamedTuple

from jaytray_server.process.placement.changes import PlanSettings
from jaytray_server.request.routing import RoutingPolicy


class Policy(NamedTuple):
    """A combination of routing and placement settings to compare."""

    name: str
    routing: RoutingPolicy
    plan: PlanSettings = PlanSettings()
    counts_own_requests: bool = True
    moves_models: bool = True


class Outcome(NamedTuple):
    """Result of one run; the counts of calls exclude the warm-up."""

    attained: int
    offered: int
    refused: int
    moves: int
    adapter_loads: int
    worst_account_fraction: float
    unreachable_s: float
    longest_unreachable_s: float
    overcommitted_mib: int
    accelerators: int
    duration_s: float

    @property
    def attained_per_accelerator(self) -> float:
        """Return calls per second and accelerator that met both deadlines."""
        return self.attained / self.duration_s / self.accelerators
