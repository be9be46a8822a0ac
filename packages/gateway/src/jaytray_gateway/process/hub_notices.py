"""Sends notices to all members by way of the hubs.

The sender gives a notice to each hub, which passes it on to the members that report to
it. Hubs collect notices for a short time. Like a direct message, a notice may be lost
or arrive twice; one that is lost with a hub is missed by the members of one group.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_server.ports import PeerHandler, PeerNetwork

# Shortest time between two messages of a hub to its members. The placement leader sends
# some tens of notices per second, and each message costs every member the same.
MIN_FORWARD_INTERVAL_S = 0.1
# Notices in one message; more are rare, and go out at once.
MAX_FORWARDED_NOTICES = 128

_FORWARD = "gateway.forward_notices"
_NOTICES = "gateway.forwarded_notices"


class Notice(NamedTuple):
    """A message of `origin` to all members."""

    origin: str
    topic: str
    body: bytes


class HubNotices:
    """Passes notices to the hubs, and as a hub to its members.

    `active_hubs` returns the hubs that reach all members with digests, [] if they are
    not known; `reporters` the members that report to this one. `takes_part` tells
    whether a member is reached through hubs.
    """

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: MonotonicClock,
        takes_part: Callable[[str], bool],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._takes_part = takes_part
        self._active_hubs: Callable[[], list[str]] = list
        self._reporters: Callable[[], list[str]] = list
        self._handler_by_topic: dict[str, PeerHandler] = {}
        self._waiting: list[Notice] = []
        self._forwarded_at_s = -float("inf")
        self._timer: asyncio.TimerHandle | None = None
        peers.set_handler(_FORWARD, self._handle_forward)
        peers.set_handler(_NOTICES, self._handle_notices)

    def use_hubs(
        self, active_hubs: Callable[[], list[str]], reporters: Callable[[], list[str]]
    ) -> None:
        """Set the functions that return the hubs and this hub's members."""
        self._active_hubs = active_hubs
        self._reporters = reporters

    def peer_network(self) -> PeerNetwork:
        """Return the network with `send_to_all` by way of the hubs."""
        return self._peers._replace(
            set_handler=self._set_handler, send_to_all=self._send_to_all
        )

    def _set_handler(self, topic: str, handler: PeerHandler) -> None:
        self._handler_by_topic[topic] = handler
        self._peers.set_handler(topic, handler)

    def _send_to_all(self, topic: str, body: bytes) -> bool:
        """Send a notice; returns False if the hubs are not known."""
        hubs = self._active_hubs()
        if not hubs:
            return False
        own_id = self._peers.vm_id
        notice = Notice(own_id, topic, body)
        message = encode_msgpack([notice])
        for hub in hubs:
            if hub == own_id:
                self._forward([notice])
            else:
                self._peers.send(hub, _FORWARD, message)
        for member in self._peers.listed_vms():
            if member != own_id and not self._takes_part(member):
                self._peers.send(member, topic, body)
        return True

    def _handle_forward(self, sender: str, body: bytes) -> None:
        notices = decode_msgpack(body, list[Notice], peer=sender)
        self._forward(notices)
        self._deliver(notices)

    def _handle_notices(self, sender: str, body: bytes) -> None:
        self._deliver(decode_msgpack(body, list[Notice], peer=sender))

    def _deliver(self, notices: list[Notice]) -> None:
        for notice in notices:
            handler = self._handler_by_topic.get(notice.topic)
            if handler is None or notice.origin == self._peers.vm_id:
                continue
            try:
                handler(notice.origin, notice.body)
            except Exception as err:
                # A fault in one handler must not lose the notices after it.
                get_logger().error(
                    "notice_failed",
                    topic=notice.topic,
                    peer=notice.origin,
                    error=repr(err),
                )

    def _forward(self, notices: list[Notice]) -> None:
        """Send notices to the members of this hub, now or after a short time."""
        self._waiting += notices
        if len(self._waiting) >= MAX_FORWARDED_NOTICES:
            self._flush()
        if self._timer is not None or not self._waiting:
            return
        pause_s = self._forwarded_at_s + MIN_FORWARD_INTERVAL_S - self._clock()
        if pause_s <= 0:
            self._flush()
        else:
            self._timer = asyncio.get_running_loop().call_later(pause_s, self._flush)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        notices, self._waiting = self._waiting, []
        self._forwarded_at_s = self._clock()
        message = encode_msgpack(notices)
        for member in self._reporters():
            if any(notice.origin != member for notice in notices):
                self._peers.send(member, _NOTICES, message)
