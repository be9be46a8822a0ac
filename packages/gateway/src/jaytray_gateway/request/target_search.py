"""Finds a target for a request, having a model or adapter loaded where none has it."""

from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError, Step
from jaytray_gateway.process.engine_cost import prefill_ms
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.replicas import ReplicaNotice, Replicas
from jaytray_gateway.process.target_choice import Candidate, TargetChooser
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.request.admission import Admitted
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import RequestKind, Route, Service

# Time to make room for a model before its load.
MAKE_ROOM_S = 0.5
# Longest wait for an adapter of a loaded model; a load takes tens of milliseconds.
ADAPTER_WAIT_S = 1.7
# Callers abandon a stream after the longest of these without an event.
PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
# Part of a caller's patience that a wait may take.
PATIENCE_PORTION = 0.85
# Pace at which a wanted for a model or adapter is sent again while it waits.
ASK_AGAIN_S = 0.25
# Part of the time left that a request may wait before it is sent.
WAIT_PORTION = 0.6
# A request whose first piece would be late behind those that wait at the best target
# is refused at once: served late it would make those behind it late as well. It is
# told to come back after a multiple of that wait, when a burst should be over.
OVERLOAD_RETRY_WAITS = 3.0
OVERLOAD_MIN_RETRY_S = 1.0
OVERLOAD_MAX_RETRY_S = 3.0
# Time to come back when a service has no target.
NO_TARGET_RETRY_S = 0.5
STATUS_MISDIRECTED = 421

# Asks the placement leader for (service, model, adapter).
AskForReplica = Callable[[str, str, str], None]


class _Wait(NamedTuple):
    """Until when a replica is waited for, and how long it should take to come."""

    until_s: float
    expected_s: float


class TargetSearch:
    """Chooses among replicas, waiting for one if need be."""

    def __init__(
        self,
        *,
        replicas: Replicas,
        chooser: TargetChooser,
        ask_for_replica: AskForReplica,
        lifecycle: Lifecycle,
        clock: MonotonicClock,
    ) -> None:
        self._replicas = replicas
        self._chooser = chooser
        self._ask_for_replica = ask_for_replica
        self._lifecycle = lifecycle
        self._clock = clock

    async def find(
        self, admitted: Admitted, service: Service, tried: set[str]
    ) -> TargetEntry:
        """Return a target that is not in `tried`; raises `no_replica`."""
        request = admitted.request
        begun_s = self._clock()
        wait = self._wait(admitted, service, begun_s)
        while True:
            holders = self._holders(request, service)
            untried = [t for t in holders if t.target_id not in tried]
            chosen = self._chooser.choose(request, service, untried, admitted.priority)
            if chosen is not None:
                own_s = prefill_ms(request.prompt_tokens) / 1000
                if chosen.wait_s and chosen.wait_s + own_s > admitted.route.objective_s:
                    raise _overloaded(chosen)
                return chosen.target
            if wait is None:
                raise _no_replica(request, service, NO_TARGET_RETRY_S)
            if self._lifecycle.is_refusing:
                raise JaytrayError(
                    messages.SHUTTING_DOWN,
                    step=Step.QUEUE,
                    retry_after_s=NO_TARGET_RETRY_S,
                )
            self._ask_for_replica(service.name, request.model, request.adapter)
            left_s = wait.until_s - self._clock()
            if left_s <= 0:
                raise _no_replica(request, service, wait.expected_s)
            await self._replicas.wait_for_change(min(left_s, ASK_AGAIN_S))

    def note_turned_away(
        self, request: RoutedRequest, target: TargetEntry, status: int
    ) -> None:
        """Learn from a target that it does not have the model or adapter."""
        if status == STATUS_MISDIRECTED and request.model:
            self._replicas.take_notice(
                ReplicaNotice(
                    target_id=target.target_id,
                    incarnation=target.incarnation,
                    replica=request.replica_name,
                    is_present=False,
                )
            )

    def _holders(self, request: RoutedRequest, service: Service) -> list[TargetEntry]:
        if service.engine is None or not request.model:
            return self._replicas.targets_of(service.name)
        return self._replicas.holders_of(service.name, request.model, request.adapter)

    def _wait(
        self, admitted: Admitted, service: Service, begun_s: float
    ) -> _Wait | None:
        """Return how long a replica may be waited for, None if it cannot come.

        A wait that a caller would not sit out is none: it is told when to return.
        """
        request, engine = admitted.request, service.engine
        model = engine.models_by_name.get(request.model) if engine else None
        if model is None:
            return None
        if self._replicas.holders_of(service.name, request.model, ""):
            return _Wait(begun_s + ADAPTER_WAIT_S, ADAPTER_WAIT_S)
        expected_s = model.load_s + MAKE_ROOM_S
        longest_s = min(
            _patience_s(admitted.route) * PATIENCE_PORTION,
            (admitted.expires_at_s - begun_s) * WAIT_PORTION,
        )
        is_worth_it = expected_s < longest_s
        return _Wait(begun_s + (longest_s if is_worth_it else 0.0), expected_s)


def _patience_s(route: Route) -> float:
    """Return how long callers of the route wait for the next piece of an answer."""
    if route.kind is not RequestKind.STREAM:
        return route.timeout_s
    return max(
        PATIENCE_S,
        PATIENCE_OBJECTIVES * route.objective_s,
        PATIENCE_PAUSES * route.max_pause_s,
    )


def _overloaded(chosen: Candidate) -> JaytrayError:
    return JaytrayError(
        messages.QUEUE_FULL,
        step=Step.QUEUE,
        peer=chosen.target.target_id,
        retry_after_s=min(
            OVERLOAD_MAX_RETRY_S,
            max(OVERLOAD_MIN_RETRY_S, chosen.wait_s * OVERLOAD_RETRY_WAITS),
        ),
        name=chosen.target.service,
    )


def _no_replica(
    request: RoutedRequest, service: Service, retry_after_s: float
) -> JaytrayError:
    return JaytrayError(
        messages.NO_REPLICA,
        step=Step.ROUTE,
        retry_after_s=retry_after_s,
        name=request.replica_name or service.name,
    )
