"""Replica requests of members to the placement leader, until served or expired."""

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.member_messages import ReplicaRequest
from jaytray_gateway.process.placement.replica_demand import VersionedModel
from jaytray_gateway.process.target_entry import TargetEntry

# Replica requests that are not repeated within this time expire. Callers that were
# told to retry do so sooner.
REPLICA_REQUEST_TTL_S = 4.0


class ReplicaRequests:
    """Requests for models and adapters, with the time of the last one of each."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._requested_at_s: dict[ReplicaRequest, float] = {}

    def add(self, request: ReplicaRequest) -> None:
        """Record a request, or that it was repeated."""
        self._requested_at_s[request] = self._clock()

    def drop(self, request: ReplicaRequest) -> None:
        """Forget a request that was served."""
        self._requested_at_s.pop(request, None)

    def drop_served(self, entry: TargetEntry, model: str) -> None:
        """Forget the requests for a model, without adapter, that a target has loaded.

        Otherwise the model would be loaded once more when it yields to another.
        """
        for request in list(self._requested_at_s):
            is_for_model = (request.service, request.model) == (entry.service, model)
            is_served = request.software_version in (None, entry.software_version)
            if is_for_model and is_served and not request.adapter:
                del self._requested_at_s[request]

    def drop_expired(self) -> None:
        """Forget requests that were not repeated."""
        oldest_s = self._clock() - REPLICA_REQUEST_TTL_S
        for request, requested_at_s in list(self._requested_at_s.items()):
            if requested_at_s < oldest_s:
                del self._requested_at_s[request]

    def models_of(self, service: str) -> set[str]:
        """Return the models that are requested at targets of any software version."""
        return {
            request.model
            for request in self._requested_at_s
            if request.service == service and request.software_version is None
        }

    def versioned_models_of(self, service: str) -> frozenset[VersionedModel]:
        """Return the models that are requested at targets of one software version."""
        return frozenset(
            VersionedModel(request.model, request.software_version)
            for request in self._requested_at_s
            if request.service == service and request.software_version is not None
        )

    def adapters_of(self, service: str) -> list[ReplicaRequest]:
        """Return the requests for adapters."""
        return [
            request
            for request in self._requested_at_s
            if request.service == service and request.adapter
        ]
