"""Rate limits that targets state in their responses, kept by all members together.

For each target one member, chosen by rendezvous hashing, permits the requests of all
members at the stated rate. Members ask it before each send. If it does not reply,
they ask the next one in rank, so the loss of a member does not idle the target. A
member that takes over starts without unused permits.

A limit ends when a response to a request sent after it was stated has none.
"""

import asyncio
import itertools
from collections.abc import Iterable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import rank_members
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_server.ports import PeerNetwork

# Time limit for a reply: several times the latency between failure domains and the
# pauses of a busy process.
REPLY_TIMEOUT_S = 0.15
# A member that missed this many replies in a row is not asked again for a while.
# Fewer would be frequent on a link that loses packets, and members that ask the next
# one raise the rate.
MAX_MISSED_REPLIES = 3
SILENT_S = 1.0
# Members asked for a permit, in the order of their rank.
MAX_MEMBERS_ASKED = 2
# Seconds of the rate that may be sent at once, at least one request.
BURST_S = 0.2
# Wait that is stated if no permit can be expected.
UNKNOWN_WAIT_S = 1.0
MAX_RETURN_WAIT_S = 10.0

_ASK = "gateway.limit_ask"
_PERMIT = "gateway.limit_permit"
_LIMIT = "gateway.target_limit"


class SendPermit(NamedTuple):
    """Whether a request may be sent, after `wait_s`.

    Without a permit, `wait_s` is the time after which to come back.
    """

    is_granted: bool
    wait_s: float


class _Limit(NamedTuple):
    """A stated limit; `rate_per_s` None means that the target states none."""

    target_id: str
    incarnation: str
    rate_per_s: float | None


class _KnownLimit(NamedTuple):
    incarnation: str
    rate_per_s: float
    stated_at_s: float


class _Ask(NamedTuple):
    number: int
    target_id: str
    incarnation: str
    rate_per_s: float
    max_wait_s: float


class _Reply(NamedTuple):
    number: int
    permit: SendPermit


class SendSchedule:
    """Times at which requests may be sent to one target at a steady rate.

    Refused requests are told to come back one after the other at the same rate.
    """

    def __init__(self, *, incarnation: str, now_s: float) -> None:
        self.incarnation = incarnation
        # Time at which the requests permitted so far are paid for by the rate.
        self._paid_until_s = now_s
        self._return_s = now_s
        self._is_started = False

    def reserve(
        self, rate_per_s: float, *, now_s: float, max_wait_s: float
    ) -> SendPermit:
        """Return a permit for a send within `max_wait_s`, or when to come back."""
        if rate_per_s <= 0:
            return SendPermit(False, MAX_RETURN_WAIT_S)
        interval_s = 1 / rate_per_s
        burst_s = max(interval_s, BURST_S)
        if not self._is_started:
            self._is_started = True
            self._paid_until_s = now_s + burst_s
        paid_until_s = max(self._paid_until_s, now_s)
        wait_s = max(0.0, paid_until_s - burst_s - now_s)
        if wait_s <= max_wait_s:
            self._paid_until_s = paid_until_s + interval_s
            return SendPermit(True, wait_s)
        self._return_s = min(
            max(self._return_s, now_s + wait_s) + interval_s, now_s + MAX_RETURN_WAIT_S
        )
        return SendPermit(False, self._return_s - now_s)


class TargetLimits:
    """The limits known to this member, and the permits that it grants."""

    def __init__(self, *, peers: PeerNetwork, clock: MonotonicClock) -> None:
        self._peers = peers
        self._clock = clock
        self._limit_by_target: dict[str, _KnownLimit] = {}
        self._schedule_by_target: dict[str, SendSchedule] = {}
        self._missed_replies_by_member: dict[str, int] = {}
        self._silent_until_s_by_member: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._waiter_by_number: dict[int, asyncio.Future[SendPermit]] = {}
        peers.set_handler(_ASK, self._handle_ask)
        peers.set_handler(_PERMIT, self._handle_permit)
        peers.set_handler(_LIMIT, self._handle_limit)

    def record_response(
        self, target: TargetEntry, rate_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Record the limit in the response to a request sent at `sent_at_s`."""
        known = self._known_limit(target.target_id, target.incarnation)
        if rate_per_s is None and (known is None or known.stated_at_s >= sent_at_s):
            return
        limit = _Limit(target.target_id, target.incarnation, rate_per_s)
        self._apply_limit(limit)
        if known is None or known.rate_per_s != rate_per_s:
            body = encode_msgpack(limit)
            for member in self._other_members():
                self._peers.send(member, _LIMIT, body)

    async def acquire(self, target: TargetEntry, *, max_wait_s: float) -> SendPermit:
        """Return a permit to send one request to the target."""
        known = self._known_limit(target.target_id, target.incarnation)
        if known is None:
            return SendPermit(True, 0.0)
        ask = _Ask(
            next(self._numbers),
            target.target_id,
            target.incarnation,
            known.rate_per_s,
            max_wait_s,
        )
        for member in self._members_to_ask(target.target_id):
            if member == self._peers.vm_id:
                return self._reserve(ask)
            permit = await self._ask(member, ask)
            if permit is not None:
                return permit
        return SendPermit(False, UNKNOWN_WAIT_S)

    def limited_targets(self) -> int:
        """Return the number of targets that state a limit, as far as is known."""
        return len(self._limit_by_target)

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        for by_target in (self._limit_by_target, self._schedule_by_target):
            for gone in by_target.keys() - target_ids:
                del by_target[gone]

    def _known_limit(self, target_id: str, incarnation: str) -> _KnownLimit | None:
        known = self._limit_by_target.get(target_id)
        return known if known and known.incarnation == incarnation else None

    def _apply_limit(self, limit: _Limit) -> None:
        known = self._known_limit(limit.target_id, limit.incarnation)
        if limit.rate_per_s is None:
            self._limit_by_target.pop(limit.target_id, None)
        else:
            self._limit_by_target[limit.target_id] = _KnownLimit(
                limit.incarnation, limit.rate_per_s, self._clock()
            )
        if (known.rate_per_s if known else None) != limit.rate_per_s:
            get_logger().info(
                "target_limit_changed",
                target=limit.target_id,
                incarnation=limit.incarnation,
                rate_per_s="-" if limit.rate_per_s is None else limit.rate_per_s,
            )

    def _other_members(self) -> Iterable[str]:
        own = self._peers.vm_id
        return (member for member in self._peers.listed_vms() if member != own)

    def _members_to_ask(self, target_id: str) -> list[str]:
        """Return the members that may permit a send, without those that are silent."""
        now_s = self._clock()
        members = {self._peers.vm_id, *self._peers.listed_vms()}
        ranked = rank_members(target_id, members)[:MAX_MEMBERS_ASKED]
        return [
            member
            for member in ranked
            if now_s >= self._silent_until_s_by_member.get(member, 0.0)
        ]

    async def _ask(self, member: str, ask: _Ask) -> SendPermit | None:
        """Ask a member for a permit; returns None if it does not reply in time."""
        waiter: asyncio.Future[SendPermit] = asyncio.get_running_loop().create_future()
        self._waiter_by_number[ask.number] = waiter
        try:
            if self._peers.send(member, _ASK, encode_msgpack(ask)):
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    permit = await waiter
                self._missed_replies_by_member.pop(member, None)
                return permit
        except TimeoutError:
            pass
        finally:
            del self._waiter_by_number[ask.number]
        missed = self._missed_replies_by_member.get(member, 0) + 1
        self._missed_replies_by_member[member] = missed
        if missed >= MAX_MISSED_REPLIES:
            del self._missed_replies_by_member[member]
            self._silent_until_s_by_member[member] = self._clock() + SILENT_S
            get_logger().info("limit_member_silent", peer=member, target=ask.target_id)
        return None

    def _reserve(self, ask: _Ask) -> SendPermit:
        now_s = self._clock()
        schedule = self._schedule_by_target.get(ask.target_id)
        if schedule is None or schedule.incarnation != ask.incarnation:
            schedule = SendSchedule(incarnation=ask.incarnation, now_s=now_s)
            self._schedule_by_target[ask.target_id] = schedule
        return schedule.reserve(ask.rate_per_s, now_s=now_s, max_wait_s=ask.max_wait_s)

    def _handle_ask(self, sender: str, body: bytes) -> None:
        ask = decode_msgpack(body, _Ask, peer=sender)
        reply = _Reply(ask.number, self._reserve(ask))
        self._peers.send(sender, _PERMIT, encode_msgpack(reply))

    def _handle_permit(self, sender: str, body: bytes) -> None:
        reply = decode_msgpack(body, _Reply, peer=sender)
        waiter = self._waiter_by_number.get(reply.number)
        # A permit that comes too late stays unused.
        if waiter is not None and not waiter.done():
            waiter.set_result(reply.permit)

    def _handle_limit(self, sender: str, body: bytes) -> None:
        self._apply_limit(decode_msgpack(body, _Limit, peer=sender))
