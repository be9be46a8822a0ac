"""Targets that fall over if they have to turn away many requests for want of room.

For each of them one member counts the requests of all members that are under way there,
and permits no more than the target has slots. What targets let wait beyond their slots
may shrink, so it is left as a reserve. A rejection all the same lowers the number that
is permitted, which rises again with each response.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_gateway.process.held_permits import HeldPermits, PermitId
from jaytray_gateway.process.permit_exchange import (
    PermitAsk,
    PermitExchange,
    SendPermit,
)
from jaytray_gateway.process.stated_values import StatedValue, StatedValues
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_server.ports import PeerNetwork

# Time after which a refused request should come back.
FULL_RETRY_S = 0.5
# Time for which nothing is sent after a rejection, and by how much it lowers the number
# of requests that are permitted.
REJECTION_PAUSE_S = 0.5
REJECTION_FACTOR = 0.7
# A permit whose release was lost ends this long after the request's own end.
LOST_RELEASE_S = 1.0

_TOPIC = "gateway.slot"
_RELEASE_TOPIC = "gateway.slot_release"
_VALUE_TOPIC = "gateway.target_brittle"


class _Release(NamedTuple):
    """The end of a permitted request, and whether the target had no room for it."""

    number: int
    target_id: str
    is_rejected: bool


class SlotLedger:
    """The permitted requests at one start of a target, at the member that counts."""

    def __init__(self, *, incarnation: str, slots: float) -> None:
        self.incarnation = incarnation
        self._slots = slots
        self._limit = slots
        self._held = HeldPermits()
        self._closed_until_s = -float("inf")

    def reserve(
        self,
        permit: PermitId,
        *,
        now_s: float,
        hold_s: float,
        open_requests: int,
        running: int,
    ) -> bool:
        """Return whether one more request may be sent.

        `open_requests` is the number of the asking member's requests when it asked,
        this one included; of any more, the release was lost. `running` is the number
        under way by the members' reports, also of those that another member permitted.
        """
        self._held.drop_lost(permit, now_s=now_s, open_requests=open_requests)
        under_way = max(len(self._held), running)
        if now_s < self._closed_until_s or under_way + 1 > max(1.0, self._limit):
            return False
        self._held.add(permit, expires_s=now_s + hold_s + LOST_RELEASE_S)
        return True

    def release(self, permit: PermitId, *, now_s: float, is_rejected: bool) -> None:
        """End a permitted request."""
        under_way = len(self._held)
        if not self._held.remove(permit):
            return
        if is_rejected:
            self._closed_until_s = now_s + REJECTION_PAUSE_S
            self._limit = max(1.0, REJECTION_FACTOR * min(self._limit, under_way))
        else:
            self._limit = min(self._slots, self._limit + 1 / self._slots)


class BrittleTargets:
    """The brittle targets known to this member, and the permits that it grants.

    `running_at` returns the requests under way at a target by the members' reports.
    """

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: MonotonicClock,
        running_at: Callable[[str], int],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._running_at = running_at
        self._values = StatedValues(
            peers=peers, clock=clock, topic=_VALUE_TOPIC, log_change=_log_change
        )
        self._exchange = PermitExchange(
            peers=peers, clock=clock, topic=_TOPIC, grant=self._grant, asks_next=False
        )
        self._ledger_by_target: dict[str, SlotLedger] = {}
        # Permits of this member: the member that counts them, and their numbers.
        self._held_by_target: defaultdict[str, list[tuple[str, int]]] = defaultdict(
            list
        )
        self._asking_by_target: defaultdict[str, int] = defaultdict(int)
        peers.set_handler(_RELEASE_TOPIC, self._handle_release)

    def record_response(
        self, target: TargetEntry, max_rejections: float | None, *, sent_at_s: float
    ) -> None:
        """Record what the response to a request sent at `sent_at_s` states."""
        self._values.record_response(target, max_rejections, sent_at_s=sent_at_s)

    async def acquire(self, target: TargetEntry, *, hold_s: float) -> SendPermit:
        """Return a permit for a request that takes `hold_s` at most."""
        if self._values.find(target) is None:
            return SendPermit(True, 0.0)
        target_id = target.target_id
        self._asking_by_target[target_id] += 1
        try:
            found = await self._exchange.ask(
                target,
                value=target.slots,
                time_s=hold_s,
                open_requests=self._asking_by_target[target_id]
                + len(self._held_by_target[target_id]),
            )
        finally:
            self._asking_by_target[target_id] -= 1
        if found is None:
            return SendPermit(False, FULL_RETRY_S)
        permit, member, number = found
        if permit.is_granted:
            self._held_by_target[target_id].append((member, number))
        return permit

    def release(self, target: TargetEntry, *, is_rejected: bool) -> None:
        """End a request; does nothing if it had no permit."""
        held = self._held_by_target.get(target.target_id)
        if not held:
            return
        member, number = held.pop(0)
        release = _Release(number, target.target_id, is_rejected)
        if member == self._peers.vm_id:
            self._apply_release(member, release)
        else:
            self._peers.send(member, _RELEASE_TOPIC, encode_msgpack(release))

    def count(self) -> int:
        """Return the number of brittle targets, as far as is known."""
        return self._values.count()

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        self._values.retain_targets(target_ids)
        for gone in self._ledger_by_target.keys() - target_ids:
            del self._ledger_by_target[gone]
        for gone in self._held_by_target.keys() - target_ids:
            del self._held_by_target[gone]
            self._asking_by_target.pop(gone, None)

    def _grant(self, member: str, ask: PermitAsk) -> SendPermit:
        ledger = self._ledger_by_target.get(ask.target_id)
        if ledger is None or ledger.incarnation != ask.incarnation:
            ledger = SlotLedger(incarnation=ask.incarnation, slots=ask.value)
            self._ledger_by_target[ask.target_id] = ledger
        is_granted = ledger.reserve(
            (member, ask.number),
            now_s=self._clock(),
            hold_s=ask.time_s,
            open_requests=ask.open_requests,
            running=self._running_at(ask.target_id),
        )
        return SendPermit(is_granted, 0.0 if is_granted else FULL_RETRY_S)

    def _apply_release(self, member: str, release: _Release) -> None:
        ledger = self._ledger_by_target.get(release.target_id)
        if ledger is not None:
            ledger.release(
                (member, release.number),
                now_s=self._clock(),
                is_rejected=release.is_rejected,
            )

    def _handle_release(self, sender: str, body: bytes) -> None:
        self._apply_release(sender, decode_msgpack(body, _Release, peer=sender))


def _log_change(stated: StatedValue) -> None:
    get_logger().info(
        "target_brittle_changed",
        target=stated.target_id,
        incarnation=stated.incarnation,
        max_rejections_per_s="-" if stated.value is None else stated.value,
    )
