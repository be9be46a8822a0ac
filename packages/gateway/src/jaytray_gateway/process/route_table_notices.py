"""Notices between members of a new route table.

Members read the key-value service at different times. The first member to read a new
route table tells the others its revision.
"""

from typing import TypedDict

from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.keyvalue import ABSENT_REVISION
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.peer_sends import send_to_others
from jaytray_gateway.process.store_follower import StoreFollower
from jaytray_server.ports import PeerNetwork

_ROUTE_TABLE = "gateway.route_table"


class _Notice(TypedDict):
    # Revision of the key-value service at which the route table was written.
    revision: int


class RouteTableNotices:
    """Announces route tables to the peers, and theirs to this member's follower."""

    def __init__(
        self, *, peers: PeerNetwork, directory: Directory, follower: StoreFollower
    ) -> None:
        self._peers = peers
        self._follower = follower
        self._heard_revision = ABSENT_REVISION
        peers.set_handler(_ROUTE_TABLE, self._handle_notice)
        directory.on_route_table(self._notify_peers)

    def _notify_peers(self, revision: int) -> None:
        if revision > self._heard_revision:
            body = encode_msgpack(_Notice(revision=revision))
            send_to_others(self._peers, _ROUTE_TABLE, body)

    def _handle_notice(self, sender: str, body: bytes) -> None:
        revision = decode_msgpack(body, _Notice, peer=sender)["revision"]
        self._heard_revision = max(self._heard_revision, revision)
        self._follower.announce_route_table(revision)
