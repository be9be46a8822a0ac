"""Targets that can serve a model or adapter, from the directory and recent notices.

The directory shows a change of adapters only with the target's next heartbeat, so the
placement leader notifies the members of what it has loaded and is about to unload.
A notice is valid for one incarnation of a target and for a limited time.
"""

import asyncio
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.replica_names import replica_name

# Several heartbeat intervals, after which the directory shows what a notice announced.
NOTICE_TTL_S = 5.0


class ReplicaNotice(NamedTuple):
    """Presence of one replica (`model` or `model/adapter`) at a target."""

    target_id: str
    incarnation: str
    replica: str
    is_present: bool


class _ReceivedNotice(NamedTuple):
    notice: ReplicaNotice
    received_at_s: float


class Replicas:
    """Looks up the targets of replicas; recent notices override the directory."""

    def __init__(self, *, directory: Directory, clock: MonotonicClock) -> None:
        self._directory = directory
        self._clock = clock
        self._received_by_key: dict[tuple[str, str], _ReceivedNotice] = {}
        self._changed = asyncio.Event()
        directory.on_change(self.notify_waiters)

    def apply_notice(self, notice: ReplicaNotice) -> None:
        """Apply a notice from the placement leader, or derived from a response."""
        key = (notice.target_id, notice.replica)
        self._received_by_key[key] = _ReceivedNotice(notice, self._clock())
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake all requests that wait for a replica, to check again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after the next change, or after `timeout_s`."""
        await wait_until_set(self._changed, timeout_s)

    def targets_of(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that accept new requests."""
        return self._directory.targets_of(service)

    def is_evacuated(self, service: str) -> bool:
        """Return whether all targets of a service are in evacuated failure domains."""
        domains = {
            target.failure_domain
            for target in self._directory.targets_by_id.values()
            if target.service == service
        }
        return bool(domains) and all(
            self._directory.evacuations.is_in_force(domain) for domain in domains
        )

    def takes_requests(self, target: TargetEntry) -> bool:
        """Return whether a target that was found earlier still accepts new requests."""
        return self._directory.takes_requests(target)

    def targets_with_replica(
        self, service: str, model: str, adapter: str
    ) -> list[TargetEntry]:
        """Return the targets of a service that can serve the model or adapter now."""
        return [
            target
            for target in self._directory.targets_of(service)
            if self._has_replica(target, model, adapter)
        ]

    def drop_expired_notices(self) -> None:
        """Drop expired notices."""
        oldest_s = self._clock() - NOTICE_TTL_S
        for key, received in list(self._received_by_key.items()):
            if received.received_at_s < oldest_s:
                del self._received_by_key[key]

    def _has_replica(self, target: TargetEntry, model: str, adapter: str) -> bool:
        has_model = self._noticed_presence(target, model)
        if has_model is None:
            has_model = model in target.adapters_by_model
        if not adapter or not has_model:
            return has_model
        has_adapter = self._noticed_presence(target, replica_name(model, adapter))
        if has_adapter is None:
            has_adapter = adapter in target.adapters_by_model.get(model, frozenset())
        return has_adapter

    def _noticed_presence(self, target: TargetEntry, replica: str) -> bool | None:
        """Return the presence by a valid notice, None if there is none."""
        received = self._received_by_key.get((target.target_id, replica))
        if received is None or received.notice.incarnation != target.incarnation:
            return None
        if self._clock() - received.received_at_s > NOTICE_TTL_S:
            return None
        return received.notice.is_present
