"""Builds what decides whether a request may be sent to a target now."""

from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.brittle_targets import BrittleTargets
from jaytray_gateway.process.cold_permits import ColdBound, ColdPermits
from jaytray_gateway.process.cold_targets import ColdTargets
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.paced_targets import PacedTargets
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_limits import TargetLimits
from jaytray_gateway.process.target_permits import TargetPermits
from jaytray_gateway.process.target_starts import TargetStarts
from jaytray_server.ports import PeerNetwork

# Maximum age of the local copy of the keys as a fraction of the bounds on a revocation
# and an evacuation; the rest covers the time from the check to the arrival at the
# target.
KEY_AGE_FRACTION = 0.85


class SendControl(NamedTuple):
    """The parts that permit sends to targets.

    `update` takes in a change of the directory, after that of the members.
    """

    limits: TargetLimits
    brittle: BrittleTargets
    cold: ColdTargets
    pace: PacedTargets
    permits: TargetPermits
    extra_cost_ms: Callable[[TargetEntry], float]
    update: Callable[[], None]


def build_send_control(
    options: GatewayOptions,
    *,
    directory: Directory,
    peers: PeerNetwork,
    loads: LoadView,
    clock: MonotonicClock,
) -> SendControl:
    """Return the connected parts."""

    def running_at(target_id: str) -> int:
        return loads.load_of(target_id).running

    limits = TargetLimits(peers=peers, clock=clock)
    brittle = BrittleTargets(
        peers=peers,
        clock=clock,
        running_at=running_at,
    )
    cold = ColdTargets(peers=peers, clock=clock, find_service=directory.find_service)
    cold_permits = ColdPermits(
        cold=cold,
        bound=ColdBound(options.cold_rate_factor, options.cold_slack),
        peers=peers,
        clock=clock,
        copy_age_s=directory.age_s,
        max_copy_age_s=max_copy_age_s(options),
    )
    pace = PacedTargets(
        peers=peers,
        clock=clock,
        running_at=running_at,
        member_count=lambda: directory.member_count,
        is_enabled=options.paces_targets,
    )
    starts = TargetStarts(clock=clock)
    starts.on_start(pace.record_start)
    starts.on_start(cold.record_start)
    directory.evacuations.on_ended(cold.record_evacuation_ended)

    def extra_cost_ms(target: TargetEntry) -> float:
        evacuation_ms = directory.evacuations.cost_ms(target.failure_domain)
        return evacuation_ms + cold.cost_ms(target)

    def update() -> None:
        targets = directory.targets_by_id.values()
        cold.update(targets)
        starts.update(targets)
        cold_permits.note_members()

    return SendControl(
        limits=limits,
        brittle=brittle,
        cold=cold,
        pace=pace,
        permits=TargetPermits(
            limits=limits, brittle=brittle, pace=pace, cold=cold_permits, clock=clock
        ),
        extra_cost_ms=extra_cost_ms,
        update=update,
    )


def max_copy_age_s(options: GatewayOptions) -> float:
    """Return the age of the directory's copy above which no request is sent."""
    evacuation_s = options.evacuation_s
    bounds_s = [options.revocation_s, *([] if evacuation_s is None else [evacuation_s])]
    return min(bounds_s) * KEY_AGE_FRACTION
