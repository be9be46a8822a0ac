"""What is compared, and what a run of the experiment gives."""

from typing import NamedTuple

from jaytray_server.process.placement.changes import PlanSettings
from jaytray_server.request.routing import RoutingPolicy


class Policy(NamedTuple):
    """One way of routing and placing that is compared."""

    name: str
    routing: RoutingPolicy
    plan: PlanSettings = PlanSettings()
    counts_own_requests: bool = True
    moves_models: bool = True


class Outcome(NamedTuple):
    """What one run gave; counts leave the warm-up out."""

    attained: int
    offered: int
    refused: int
    moves: int
    adapter_loads: int
    worst_account_share: float
    unreachable_s: float
    longest_unreachable_s: float
    overcommitted_mib: int
    accelerators: int
    duration_s: float

    @property
    def attained_per_accelerator(self) -> float:
        """Return calls a second within both deadlines for each accelerator."""
        return self.attained / self.duration_s / self.accelerators
