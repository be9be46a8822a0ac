"""Finds a target for a request; asks for a load if no target holds its replica.

Targets that limit their rate are used as far as they permit.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError, Step
from jaytray_gateway.process.engine_speed import EngineSpeeds
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.load_forecasts import LoadForecasts
from jaytray_gateway.process.replicas import ReplicaNotice, Replicas
from jaytray_gateway.process.target_backoff import TargetBackoff
from jaytray_gateway.process.target_choice import Candidate, TargetChooser
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_permits import TargetPermits
from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.caller_timeout import longest_wait_s
from jaytray_gateway.request.overload import may_queue, retry_delay_s
from jaytray_gateway.request.replica_wait import WaitDecision, decide_wait
from jaytray_gateway.request.returns import ReturnSchedule, return_after_load_s
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import Route, Service

# Time to free memory for a model before it is loaded.
FREE_MEMORY_S = 0.5
# Longest wait for an adapter of a loaded model; loading it takes tens of milliseconds.
ADAPTER_WAIT_S = 1.7
# Interval at which the placement leader is asked again during a wait for a replica.
REPLICA_REQUEST_INTERVAL_S = 0.25
# Fraction of the remaining time that a request may wait before it is sent.
REPLICA_WAIT_FRACTION = 0.6
# Retry-After when a service has no target.
NO_TARGET_RETRY_S = 0.5
# Longest wait until a target that limits its rate accepts a request. The same for
# urgent and other requests, as those that may wait longer would take the turns of those
# that may not.
MAX_LIMIT_WAIT_S = 0.3
LIMIT_WAIT_OBJECTIVES = 0.5
STATUS_MISDIRECTED = 421

# Asks the placement leader for (service, model, adapter) at a target of any software
# version, or of the one given.
RequestReplica = Callable[[str, str, str, str | None], None]


class _ReplicaWait(NamedTuple):
    """How long a request may wait for a replica, and how long a load of it takes."""

    longest_s: float
    load_s: float
    is_for_adapter: bool


class TargetSearch:
    """Selects a target for each request, waiting for a replica if necessary."""

    def __init__(
        self,
        *,
        replicas: Replicas,
        chooser: TargetChooser,
        request_replica: RequestReplica,
        permits: TargetPermits,
        backoff: TargetBackoff,
        speeds: EngineSpeeds,
        forecasts: LoadForecasts,
        member_count: Callable[[], int],
        lifecycle: Lifecycle,
        rng: random.Random,
        clock: MonotonicClock,
    ) -> None:
        self._replicas = replicas
        self._chooser = chooser
        self._request_replica = request_replica
        self._permits = permits
        self._backoff = backoff
        self._speeds = speeds
        self._forecasts = forecasts
        self._member_count = member_count
        self._returns = ReturnSchedule(rng=rng)
        self._lifecycle = lifecycle
        self._clock = clock

    async def find(
        self,
        admitted: AdmittedRequest,
        service: Service,
        tried: set[str],
        *,
        software_version: str | None = None,
    ) -> TargetEntry:
        """Return a target that is not in `tried` and may be sent one request now.

        `software_version` is the only one that a stream may go on at, if it has begun.
        Raises `no_replica`, `queue_full`, `target_limited`, `software_version_gone` or
        `shutting_down`.
        """
        limited_wait_s_by_id: dict[str, float] = {}
        request = admitted.request
        begun_s = self._clock()
        wait = self._replica_wait(admitted, service, tried, software_version, begun_s)
        while True:
            holders = self._holders(request, service, software_version)
            for target in holders:
                if target.target_id not in tried and self._backoff.left_s(target):
                    limited_wait_s_by_id[target.target_id] = self._backoff.left_s(
                        target
                    )
            untried = [
                target
                for target in holders
                if target.target_id not in tried | limited_wait_s_by_id.keys()
            ]
            chosen = self._chooser.choose(request, service, untried, admitted.priority)
            if chosen is not None:
                if not self._may_queue(chosen, admitted, service):
                    own_s = self._own_s(request, service)
                    raise self._queue_full_error(chosen, own_s)
                permit = await self._permits.acquire(
                    chosen.target,
                    max_wait_s=_limit_wait_s(admitted.route),
                    expires_at_s=admitted.expires_at_s,
                )
                if permit.is_granted:
                    return chosen.target
                limited_wait_s_by_id[chosen.target.target_id] = permit.wait_s
                continue
            if limited_wait_s_by_id and await self._permits.wait_for_pace(
                limited_wait_s_by_id,
                until_s=begun_s + _limit_wait_s(admitted.route),
            ):
                continue
            if limited_wait_s_by_id:
                raise _limited_error(service, limited_wait_s_by_id)
            if software_version is not None and not self._targets_of(
                service.name, software_version
            ):
                raise _version_gone_error(service, software_version)
            if wait is None or self._replicas.is_evacuated(service.name):
                raise _no_replica_error(request, service, NO_TARGET_RETRY_S)
            if self._lifecycle.is_refusing:
                raise JaytrayError(
                    messages.SHUTTING_DOWN,
                    step=Step.QUEUE,
                    retry_after_s=NO_TARGET_RETRY_S,
                )
            self._request_replica(
                service.name, request.model, request.adapter, software_version
            )
            waited_s = self._clock() - begun_s
            decision = self._decide_wait(admitted, service, wait, waited_s)
            if not decision.is_waiting:
                raise _no_replica_error(request, service, decision.retry_after_s)
            await self._replicas.wait_for_change(
                min(wait.longest_s - waited_s, REPLICA_REQUEST_INTERVAL_S)
            )

    def has_other(
        self,
        admitted: AdmittedRequest,
        service: Service,
        tried: set[str],
        *,
        software_version: str | None,
    ) -> bool:
        """Return whether a target that is not in `tried` would take the request now."""
        request = admitted.request
        sound = [
            target
            for target in self._holders(request, service, software_version)
            if target.target_id not in tried
            and not self._backoff.left_s(target)
            and not self._chooser.avoids(target)
        ]
        chosen = self._chooser.choose(request, service, sound, admitted.priority)
        return chosen is not None and self._may_queue(chosen, admitted, service)

    def _may_queue(
        self, chosen: Candidate, admitted: AdmittedRequest, service: Service
    ) -> bool:
        own_s = self._own_s(admitted.request, service)
        return may_queue(
            admitted.route, queue_s=chosen.wait_s, first_piece_s=chosen.wait_s + own_s
        )

    def _own_s(self, request: RoutedRequest, service: Service) -> float:
        """Return the time in which a target reads the request's prompt."""
        return self._speeds.of(service.name).prefill_ms(request.prompt_tokens) / 1000

    def is_usable(self, target: TargetEntry) -> bool:
        """Return whether a target that was found earlier still takes requests."""
        is_backing_off = self._backoff.left_s(target) > 0
        return not is_backing_off and self._replicas.takes_requests(target)

    def note_not_run(
        self, request: RoutedRequest, target: TargetEntry, status: int
    ) -> None:
        """Record that a target which responded with 421 does not hold the replica."""
        if status == STATUS_MISDIRECTED and request.model:
            self._replicas.apply_notice(
                ReplicaNotice(
                    target_id=target.target_id,
                    incarnation=target.incarnation,
                    replica=request.replica_name,
                    is_present=False,
                )
            )

    def _holders(
        self, request: RoutedRequest, service: Service, software_version: str | None
    ) -> list[TargetEntry]:
        if service.engine is None or not request.model:
            return self._targets_of(service.name, software_version)
        return _of_version(
            self._replicas.targets_with_replica(
                service.name, request.model, request.adapter
            ),
            software_version,
        )

    def _targets_of(
        self, service: str, software_version: str | None
    ) -> list[TargetEntry]:
        return _of_version(self._replicas.targets_of(service), software_version)

    def _replica_wait(
        self,
        admitted: AdmittedRequest,
        service: Service,
        tried: set[str],
        software_version: str | None,
        begun_s: float,
    ) -> _ReplicaWait | None:
        """Return the wait for a replica, or None if the service cannot load it."""
        request, engine = admitted.request, service.engine
        model = engine.models_by_name.get(request.model) if engine else None
        if model is None:
            return None
        with_model = self._replicas.targets_with_replica(
            service.name, request.model, ""
        )
        usable = _of_version(with_model, software_version)
        left_s = (admitted.expires_at_s - begun_s) * REPLICA_WAIT_FRACTION
        if any(target.target_id not in tried for target in usable):
            return _ReplicaWait(min(ADAPTER_WAIT_S, left_s), 0.0, is_for_adapter=True)
        targets = self._targets_of(service.name, software_version)
        load_s = min(
            (
                model.load_time_s(
                    in_memory=t.models_in_memory, on_disk=t.models_on_disk
                )
                for t in targets
            ),
            default=model.load_s,
        )
        longest_s = min(longest_wait_s(admitted.route), left_s)
        return _ReplicaWait(longest_s, load_s + FREE_MEMORY_S, is_for_adapter=False)

    def _decide_wait(
        self,
        admitted: AdmittedRequest,
        service: Service,
        wait: _ReplicaWait,
        waited_s: float,
    ) -> WaitDecision:
        """Return whether to wait on for the replica, and when to return if not."""
        request = admitted.request
        if wait.is_for_adapter:
            return WaitDecision(waited_s < wait.longest_s, ADAPTER_WAIT_S)
        decision = decide_wait(
            waited_s=waited_s,
            longest_s=wait.longest_s,
            ready_in_s=self._forecasts.ready_in_s(service.name, request.model),
            load_s=wait.load_s,
        )
        if decision.is_waiting:
            return decision
        load = self._forecasts.load_of(service.name, request.model)
        if load is not None:
            left_s = admitted.expires_at_s - self._clock()
            load = load._replace(ready_in_s=decision.retry_after_s)
            return WaitDecision(False, return_after_load_s(load, left_s=left_s))
        retry_after_s = self._retry_after_s(
            (service.name, request.model),
            decision.retry_after_s,
            self._own_s(request, service),
        )
        return WaitDecision(False, retry_after_s)

    def _retry_after_s(
        self, key: tuple[str, str], ready_in_s: float, own_s: float
    ) -> float:
        """Return when a rejected caller returns, behind those of all members."""
        now_s = self._clock()
        self._returns.drop_past(now_s)
        return self._returns.retry_after_s(
            key,
            now_s=now_s,
            ready_in_s=ready_in_s,
            takes_s=own_s,
            members=max(1, self._member_count()),
        )

    def _queue_full_error(self, chosen: Candidate, own_s: float) -> JaytrayError:
        target = chosen.target
        return JaytrayError(
            messages.QUEUE_FULL,
            step=Step.QUEUE,
            peer=target.target_id,
            retry_after_s=self._retry_after_s(
                (target.service, target.target_id), retry_delay_s(chosen.wait_s), own_s
            ),
            name=target.service,
        )


def _of_version(
    targets: list[TargetEntry], software_version: str | None
) -> list[TargetEntry]:
    """Return the targets of the software version, all of them if it is None."""
    if software_version is None:
        return targets
    return [t for t in targets if t.software_version == software_version]


def _version_gone_error(service: Service, software_version: str) -> JaytrayError:
    return JaytrayError(
        messages.SOFTWARE_VERSION_GONE,
        step=Step.ROUTE,
        retry_after_s=NO_TARGET_RETRY_S,
        name=service.name,
        version=software_version,
    )


def _limited_error(service: Service, wait_s_by_id: dict[str, float]) -> JaytrayError:
    target_id = min(wait_s_by_id, key=wait_s_by_id.__getitem__)
    return JaytrayError(
        messages.TARGET_LIMITED,
        step=Step.QUEUE,
        peer=target_id,
        retry_after_s=wait_s_by_id[target_id],
        name=service.name,
    )


def _limit_wait_s(route: Route) -> float:
    """Return how long a request may wait until a limited target accepts it."""
    return min(MAX_LIMIT_WAIT_S, route.objective_s * LIMIT_WAIT_OBJECTIVES)


def _no_replica_error(
    request: RoutedRequest, service: Service, retry_after_s: float
) -> JaytrayError:
    return JaytrayError(
        messages.NO_REPLICA,
        step=Step.ROUTE,
        retry_after_s=retry_after_s,
        name=request.replica_name or service.name,
    )
