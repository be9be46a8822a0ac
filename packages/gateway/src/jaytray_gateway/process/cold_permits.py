"""Permits to send requests to cold targets, shared by all members.

For each target, one member permits sends at a steady rate; the next in rank does so if
it does not reply. As both may do so at the same time, each grants at most half of what
the target can take in a second. A member grants only if its view of the members is
recent and has ranked it among these two for longer than an outdated view is believed,
so that there are never more than two, whatever joins or leaves.

A permit is used at once or not at all: its age is checked right before the send.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.rendezvous import rank_members
from jaytray_gateway.process.cold_targets import ColdTargets
from jaytray_gateway.process.permit_exchange import (
    MAX_MEMBERS_ASKED,
    PermitAsk,
    PermitExchange,
    SendPermit,
)
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_limits import (
    BURST_S,
    UNKNOWN_WAIT_S,
    SendSchedule,
)
from jaytray_server.ports import PeerNetwork

# Time within which a permit must be used: longer than a reply takes, and than opening a
# connection.
PERMIT_TTL_S = 0.25
# Fraction of the rate that a cold target takes which is used.
RATE_FRACTION = 0.9
# Requests by which the bound of one member is lowered: those under way when a target
# turned cold.
RESERVED_REQUESTS = 0.5
# Added to the age up to which a copy of the directory is believed, for the time that a
# member must have been in rank: the time between a permit and its use.
SETTLE_MARGIN_S = 0.75
# Time after the last question for which the schedule of a target that left is kept.
SCHEDULE_TTL_S = 10.0

_TOPIC = "gateway.cold"


class ColdBound(NamedTuple):
    """In any second a cold target takes its rate times `rate_factor` plus `slack`."""

    rate_factor: float
    slack: float

    def member_rate_per_s(self, cold_per_s: float) -> float:
        """Return the rate at which one member may permit sends.

        A second of sends is that of the permits of a second and of their age, and
        `SendSchedule` permits one request or `BURST_S` at once.
        """
        allowed = (cold_per_s * self.rate_factor + self.slack) / MAX_MEMBERS_ASKED
        allowed -= RESERVED_REQUESTS
        window_s = 1.0 + PERMIT_TTL_S
        rate = min((allowed - 1) / window_s, allowed / (window_s + BURST_S))
        return max(0.0, min(RATE_FRACTION * cold_per_s, rate))


class _UnusedPermit(NamedTuple):
    use_from_s: float
    use_by_s: float


class _Listing(NamedTuple):
    since_s: float
    members: frozenset[str]


class ColdPermits:
    """The permits that this member grants, and those that it was granted.

    `copy_age_s` returns the age of the directory's copy, by which no requests are sent
    if it is above `max_copy_age_s`.
    """

    def __init__(
        self,
        *,
        cold: ColdTargets,
        bound: ColdBound,
        peers: PeerNetwork,
        clock: MonotonicClock,
        copy_age_s: Callable[[], float],
        max_copy_age_s: float,
    ) -> None:
        self._cold = cold
        self._bound = bound
        self._peers = peers
        self._clock = clock
        self._copy_age_s = copy_age_s
        self._max_copy_age_s = max_copy_age_s
        self._listings: deque[_Listing] = deque()
        self._exchange = PermitExchange(
            peers=peers,
            clock=clock,
            topic=_TOPIC,
            grant=self._grant,
            asks_next=True,
            list_members=self._settled_members,
        )
        # By id only: members that don't know of a restart ask for the same target.
        self._schedule_by_target: dict[str, SendSchedule] = {}
        self._asked_at_s_by_target: dict[str, float] = {}
        self._unused_by_target: dict[str, list[_UnusedPermit]] = {}

    def note_members(self) -> None:
        """Take in the registered members after a change."""
        now_s = self._clock()
        members = frozenset((self._peers.vm_id, *self._peers.listed_vms()))
        if not self._listings or self._listings[-1].members != members:
            self._listings.append(_Listing(now_s, members))
        # The listing that was in force at the start of the time is needed too.
        while len(self._listings) > 1 and (
            self._listings[1].since_s <= now_s - self._settle_s()
        ):
            self._listings.popleft()

    async def acquire(self, target: TargetEntry, *, max_wait_s: float) -> SendPermit:
        """Return a permit to send one request; always granted if the target is warm."""
        cold_per_s = self._cold.rate_per_s(target)
        if cold_per_s is None:
            return SendPermit(True, 0.0)
        self.note_members()
        asked_at_s = self._clock()
        found = await self._exchange.ask(
            target,
            value=self._bound.member_rate_per_s(cold_per_s),
            time_s=max_wait_s,
        )
        if found is None:
            return SendPermit(False, UNKNOWN_WAIT_S)
        permit, _, _ = found
        if permit.is_granted:
            use_from_s = asked_at_s + permit.wait_s
            unused = self._unused_by_target.setdefault(target.target_id, [])
            unused.append(_UnusedPermit(use_from_s, use_from_s + PERMIT_TTL_S))
        return permit

    def try_use(self, target: TargetEntry) -> bool:
        """Return whether a request may be sent now; uses up a permit if cold."""
        now_s = self._clock()
        unused = [
            permit
            for permit in self._unused_by_target.pop(target.target_id, ())
            if permit.use_by_s >= now_s
        ]
        usable = next((p for p in unused if p.use_from_s <= now_s), None)
        if usable is not None:
            unused.remove(usable)
        if unused:
            self._unused_by_target[target.target_id] = unused
        return usable is not None or self._cold.rate_per_s(target) is None

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        for gone in self._unused_by_target.keys() - target_ids:
            del self._unused_by_target[gone]
        # Members that know the target may go on asking this one.
        oldest_s = self._clock() - SCHEDULE_TTL_S
        for gone in self._schedule_by_target.keys() - target_ids:
            if self._asked_at_s_by_target[gone] < oldest_s:
                del self._schedule_by_target[gone], self._asked_at_s_by_target[gone]

    def _settle_s(self) -> float:
        return self._max_copy_age_s + SETTLE_MARGIN_S

    def _settled_members(self) -> frozenset[str]:
        """Return the members as of the start of the time, who may grant permits."""
        return self._listings[0].members

    def _is_granting(self, target_id: str) -> bool:
        self.note_members()
        if self._copy_age_s() > self._max_copy_age_s:
            return False
        if self._listings[0].since_s > self._clock() - self._settle_s():
            return False
        return all(
            self._peers.vm_id
            in rank_members(target_id, listing.members)[:MAX_MEMBERS_ASKED]
            for listing in self._listings
        )

    def _grant(self, _member: str, ask: PermitAsk) -> SendPermit | None:
        if not self._is_granting(ask.target_id):
            return None
        now_s = self._clock()
        schedule = self._schedule_by_target.get(ask.target_id)
        if schedule is None:
            schedule = SendSchedule(incarnation="", now_s=now_s)
            self._schedule_by_target[ask.target_id] = schedule
        self._asked_at_s_by_target[ask.target_id] = now_s
        return schedule.reserve(ask.value, now_s=now_s, max_wait_s=ask.time_s)
