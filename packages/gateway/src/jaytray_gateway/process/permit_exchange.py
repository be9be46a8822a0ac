"""Asks one member for each target for permits to send requests to it.

The member is chosen by rendezvous hashing. If it does not reply, or does not for some
time, the next one in rank is asked, so the loss of a member does not idle the target.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable
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
# Members that may be asked for a permit, in the order of their rank.
MAX_MEMBERS_ASKED = 2


class SendPermit(NamedTuple):
    """Whether a request may be sent, after `wait_s`.

    Without a permit, `wait_s` is the time after which to come back.
    """

    is_granted: bool
    wait_s: float


class PermitAsk(NamedTuple):
    """A question for one permit.

    `value` is what the target states, and `time_s` depends on the kind of permit.
    `open_requests` is the number of the asking member's requests to the target that are
    under way or being asked for, this one included.
    """

    number: int
    target_id: str
    incarnation: str
    value: float
    time_s: float
    open_requests: int


class _Reply(NamedTuple):
    number: int
    permit: SendPermit


# (member that asks, question) -> permit, at the member that grants it; None if this
# member must not reply at present, so that the next one is asked.
Grant = Callable[[str, PermitAsk], SendPermit | None]


class PermitExchange:
    """Asks for permits of one kind, and replies to other members by `grant`.

    With `asks_next`, a reply that is missed is made up for by the next member in rank.
    Otherwise that one is asked only while the first counts as silent, as permits of two
    members at a time add up. `list_members` returns those that may be asked, by default
    all that are registered.
    """

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: MonotonicClock,
        topic: str,
        grant: Grant,
        asks_next: bool,
        list_members: Callable[[], Iterable[str]] | None = None,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._ask_topic = f"{topic}_ask"
        self._permit_topic = f"{topic}_permit"
        self._grant = grant
        self._asks_next = asks_next
        self._list_members = list_members or peers.listed_vms
        self._missed_replies_by_member: dict[str, int] = {}
        self._silent_until_s_by_member: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._waiter_by_number: dict[int, asyncio.Future[SendPermit]] = {}
        peers.set_handler(self._ask_topic, self._handle_ask)
        peers.set_handler(self._permit_topic, self._handle_permit)

    async def ask(
        self,
        target: TargetEntry,
        *,
        value: float,
        time_s: float,
        open_requests: int = 1,
    ) -> tuple[SendPermit, str, int] | None:
        """Return a permit, the member that replied, and the question's number.

        Returns None if no member replied.
        """
        ask = PermitAsk(
            next(self._numbers),
            target.target_id,
            target.incarnation,
            value,
            time_s,
            open_requests,
        )
        for member in self._members_to_ask(target.target_id):
            if member == self._peers.vm_id:
                permit = self._grant(member, ask)
            else:
                permit = await self._ask(member, ask)
            if permit is not None:
                return permit, member, ask.number
        return None

    def _members_to_ask(self, target_id: str) -> list[str]:
        """Return the members that may permit a send, without those that are silent."""
        now_s = self._clock()
        members = {self._peers.vm_id, *self._list_members()}
        ranked = rank_members(target_id, members)[:MAX_MEMBERS_ASKED]
        heard = [
            member
            for member in ranked
            if now_s >= self._silent_until_s_by_member.get(member, 0.0)
        ]
        return heard if self._asks_next else heard[:1]

    async def _ask(self, member: str, ask: PermitAsk) -> SendPermit | None:
        """Ask a member for a permit; returns None if it does not reply in time."""
        waiter: asyncio.Future[SendPermit] = asyncio.get_running_loop().create_future()
        self._waiter_by_number[ask.number] = waiter
        try:
            if self._peers.send(member, self._ask_topic, encode_msgpack(ask)):
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

    def _handle_ask(self, sender: str, body: bytes) -> None:
        ask = decode_msgpack(body, PermitAsk, peer=sender)
        permit = self._grant(sender, ask)
        if permit is not None:
            reply = _Reply(ask.number, permit)
            self._peers.send(sender, self._permit_topic, encode_msgpack(reply))

    def _handle_permit(self, sender: str, body: bytes) -> None:
        reply = decode_msgpack(body, _Reply, peer=sender)
        waiter = self._waiter_by_number.get(reply.number)
        # A permit that comes too late stays unused.
        if waiter is not None and not waiter.done():
            waiter.set_result(reply.permit)
