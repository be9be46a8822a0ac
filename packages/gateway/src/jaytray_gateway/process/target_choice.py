"""Chooses a target by expected wait, prompt prefix affinity and failure domain.

Answers load on targets that differ in how long a request waits for a slot, and many
members with few requests each, which would open a connection for nearly every one.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.rendezvous import owner_of
from jaytray_gateway.process.engine_speed import EngineSpeeds
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import Service

# Milliseconds by which each running request delays another one.
MS_PER_RUNNING = 1.5
# Milliseconds that a request to a plain service takes, from the deployment files.
MS_PER_PLAIN_REQUEST = 20.0
# Cost in milliseconds of a target in another failure domain: traffic between domains is
# charged.
CROSS_DOMAIN_COST_MS = 4.0
# Cost in milliseconds of a target whose recent exchanges have all failed.
MS_PER_FAILURE = 200.0
# Least wait in milliseconds for each request beyond an engine's slots. It is longer
# where streams are long and slots few, as one of them has to end.
MIN_MS_PER_QUEUED = 60.0
# Cost in milliseconds of a target without an open connection: opening one takes a round
# trip and, for a moment, one of the target's slots.
NEW_CONNECTION_COST_MS = 5.0


class Candidate(NamedTuple):
    """A target with its cost in the choice and the expected wait there in seconds."""

    target: TargetEntry
    cost_ms: float
    wait_s: float


class TargetChooser:
    """Chooses targets by this process's view of their load and health."""

    def __init__(
        self,
        *,
        failure_domain: str,
        loads: LoadView,
        health: TargetHealth,
        speeds: EngineSpeeds,
        has_connection: Callable[[TargetEntry], bool],
        rng: random.Random,
        extra_cost_ms: Callable[[TargetEntry], float] = lambda _target: 0.0,
    ) -> None:
        self._failure_domain = failure_domain
        self._loads = loads
        self._health = health
        self._speeds = speeds
        self._has_connection = has_connection
        self._rng = rng
        self._extra_cost_ms = extra_cost_ms

    def avoids(self, target: TargetEntry) -> bool:
        """Return whether the target is chosen only if there is no other."""
        return self._health.is_avoided(target.target_id)

    def choose(
        self,
        request: RoutedRequest,
        service: Service,
        targets: list[TargetEntry],
        priority: int,
    ) -> Candidate | None:
        """Return the target with the lowest cost; all `targets` can run the request."""
        usable = [t for t in targets if not self._health.is_avoided(t.target_id)]
        usable = usable or targets
        if not usable:
            return None
        preferred = self._preferred_target_id(request, usable)
        candidates = [
            self._candidate(request, service, target, preferred, priority)
            for target in usable
        ]
        return min(candidates, key=lambda c: (c.cost_ms, self._rng.random()))

    def _preferred_target_id(
        self, request: RoutedRequest, targets: list[TargetEntry]
    ) -> str | None:
        """Return the target that should have the shared prompt prefix in its cache."""
        if len(request.prompt_parts) < 2:
            return None
        shared = request.prompt_parts[-2].part_id
        return owner_of(
            f"{request.replica_name}:{shared}", [t.target_id for t in targets]
        )

    def _candidate(
        self,
        request: RoutedRequest,
        service: Service,
        target: TargetEntry,
        preferred: str | None,
        priority: int,
    ) -> Candidate:
        load = self._loads.load_of(target.target_id)
        cost_ms = MS_PER_FAILURE * self._health.failure_rate(target.target_id)
        cost_ms += self._extra_cost_ms(target)
        if target.failure_domain != self._failure_domain:
            cost_ms += CROSS_DOMAIN_COST_MS
        if not self._has_connection(target):
            cost_ms += NEW_CONNECTION_COST_MS
        if service.engine is None:
            cost_ms += MS_PER_PLAIN_REQUEST * load.running / max(target.slots, 1)
            return Candidate(target, cost_ms, 0.0)
        speed = self._speeds.of(service.name)
        wait_ms = speed.prefill_ms(load.waiting_tokens(priority))
        slots = service.engine.slots
        ms_per_queued = max(MIN_MS_PER_QUEUED, speed.slot_wait_ms(slots))
        wait_ms += ms_per_queued * max(0, load.running - slots)
        cost_ms += wait_ms + MS_PER_RUNNING * load.running
        if target.target_id != preferred:
            shared = sum(part.tokens for part in request.prompt_parts[:-1])
            cost_ms += speed.prefill_ms(shared)
        return Candidate(target, cost_ms, wait_ms / 1000)
