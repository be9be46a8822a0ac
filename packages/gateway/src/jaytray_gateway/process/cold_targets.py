"""Targets that are cold, and until when, as far as this member knows.

A cold target falls over if it gets many requests in a second. It is cold for some time
after it starts during traffic, and may turn cold again at any time. Members learn of it
from its entry, its responses, a new start, and the end of an evacuation. The first one
to learn of it notifies the others, which read the store seconds later. A connection
that broke or could not be opened may be the sign of a restart that no entry shows yet.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_gateway.process.peer_sends import send_to_others
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.version.route_table import Service
from jaytray_server.ports import PeerNetwork

# Cost in milliseconds of a cold target in the choice of a target, so that requests go
# to warm ones first: the delay of two queued requests at an engine, and of a target
# whose slots are all in use at a plain service.
COLD_COST_MS = 120.0
PLAIN_COLD_COST_MS = 20.0
# Time after which an entry of the same start shows that a target has not restarted when
# a connection failed. Longer than the age of any copy by which requests are sent.
SUSPICION_S = 5.0

_TOPIC = "gateway.target_cold"

FindService = Callable[[str], Service | None]


class _Notice(NamedTuple):
    target_id: str
    left_s: float


class _Suspicion(NamedTuple):
    since_s: float
    until_s: float


class ColdTargets:
    """Tracks cold targets; services with a `cold_per_s` of 0 have none."""

    def __init__(
        self, *, peers: PeerNetwork, clock: MonotonicClock, find_service: FindService
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._find_service = find_service
        self._entry_by_id: dict[str, TargetEntry] = {}
        # Ends of the cold times that targets state, and that follow from events.
        self._stated_until_s_by_id: dict[str, float] = {}
        self._derived_until_s_by_id: dict[str, float] = {}
        self._noticed_until_s_by_id: dict[str, float] = {}
        self._suspicion_by_id: dict[str, _Suspicion] = {}
        peers.set_handler(_TOPIC, self._handle_notice)

    def update(self, targets: Iterable[TargetEntry]) -> None:
        """Take in all targets of the directory after a change."""
        now_s = self._clock()
        entry_by_id = {target.target_id: target for target in targets}
        for target_id, entry in entry_by_id.items():
            known = self._entry_by_id.get(target_id)
            if known is entry:
                continue
            if entry.cold_left_s is not None:
                # A member that has just started is not the first one to know.
                self._state(
                    entry, entry.cold_left_s, source="entry", is_news=known is not None
                )
            suspicion = self._suspicion_by_id.get(target_id)
            if suspicion is None or now_s - suspicion.since_s <= SUSPICION_S:
                continue
            if known is not None and known.incarnation == entry.incarnation:
                del self._suspicion_by_id[target_id]
        self._entry_by_id = entry_by_id

    def record_response(self, target: TargetEntry, cold_left_s: float | None) -> None:
        """Record what a response states."""
        if cold_left_s is not None:
            self._state(target, cold_left_s, source="response", is_news=True)

    def record_start(self, target: TargetEntry) -> None:
        """Record a start during traffic."""
        self._derive(target, source="start", is_news=True)

    def record_evacuation_ended(self, failure_domain: str) -> None:
        """Record that the targets of a failure domain are used again."""
        for target in self._entry_by_id.values():
            if target.failure_domain == failure_domain:
                self._derive(target, source="evacuation", is_news=False)

    def suspect_restart(self, target: TargetEntry) -> None:
        """Record that a connection broke or could not be opened."""
        service = self._cold_service(target)
        if service is not None:
            now_s = self._clock()
            suspicion = _Suspicion(now_s, now_s + service.cold_start_s)
            self._announce(
                target, service.cold_start_s, source="suspicion", is_news=False
            )
            self._suspicion_by_id[target.target_id] = suspicion

    def left_s(self, target: TargetEntry) -> float:
        """Return for how long the target stays cold, 0 if it is not."""
        if self._cold_service(target) is None:
            return 0.0
        target_id = target.target_id
        suspicion = self._suspicion_by_id.get(target_id)
        until_s = max(
            self._stated_until_s_by_id.get(target_id, 0.0),
            self._derived_until_s_by_id.get(target_id, 0.0),
            self._noticed_until_s_by_id.get(target_id, 0.0),
            suspicion.until_s if suspicion else 0.0,
        )
        return max(0.0, until_s - self._clock())

    def rate_per_s(self, target: TargetEntry) -> float | None:
        """Return how many requests per second a cold target takes, None if warm."""
        service = self._cold_service(target)
        return service.cold_per_s if service and self.left_s(target) else None

    def cost_ms(self, target: TargetEntry) -> float:
        """Return the cost of the target's coldness, for the choice of a target."""
        service = self._cold_service(target)
        if service is None or not self.left_s(target):
            return 0.0
        return PLAIN_COLD_COST_MS if service.engine is None else COLD_COST_MS

    def count(self) -> int:
        """Return the number of cold targets in the directory."""
        return sum(self.left_s(entry) > 0 for entry in self._entry_by_id.values())

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        for by_id in (
            self._stated_until_s_by_id,
            self._derived_until_s_by_id,
            self._noticed_until_s_by_id,
            self._suspicion_by_id,
        ):
            for gone in by_id.keys() - target_ids:
                del by_id[gone]

    def _cold_service(self, target: TargetEntry) -> Service | None:
        """Return the target's service if its targets may be cold."""
        service = self._find_service(target.service)
        return service if service is not None and service.cold_per_s > 0 else None

    def _state(
        self, target: TargetEntry, cold_left_s: float, *, source: str, is_news: bool
    ) -> None:
        if cold_left_s > 0:
            self._announce(target, cold_left_s, source=source, is_news=is_news)
        self._stated_until_s_by_id[target.target_id] = self._clock() + cold_left_s

    def _derive(self, target: TargetEntry, *, source: str, is_news: bool) -> None:
        service = self._cold_service(target)
        if service is not None:
            self._announce(target, service.cold_start_s, source=source, is_news=is_news)
            self._derived_until_s_by_id[target.target_id] = (
                self._clock() + service.cold_start_s
            )

    def _announce(
        self, target: TargetEntry, left_s: float, *, source: str, is_news: bool
    ) -> None:
        """Log that a target turned cold, if it was not known; notify the others."""
        if self._cold_service(target) is None or self.left_s(target):
            return
        get_logger().info(
            "target_cold",
            target=target.target_id,
            incarnation=target.incarnation,
            left_s=round(left_s, 2),
            source=source,
        )
        if is_news:
            notice = _Notice(target.target_id, left_s)
            send_to_others(self._peers, _TOPIC, encode_msgpack(notice))

    def _handle_notice(self, sender: str, body: bytes) -> None:
        notice = decode_msgpack(body, _Notice, peer=sender)
        until_s = self._clock() + notice.left_s
        known_s = self._noticed_until_s_by_id.get(notice.target_id, 0.0)
        self._noticed_until_s_by_id[notice.target_id] = max(known_s, until_s)
