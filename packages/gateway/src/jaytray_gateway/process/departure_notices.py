"""Notices between members of targets that leave or whose entry was removed.

Members read the key-value service at different times, and a target may say that it
leaves in a response only. The first member to learn of a departure notifies the others.
"""

from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_gateway.process.directory import Directory, TargetDeparture
from jaytray_gateway.process.peer_sends import send_to_others
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_server.ports import PeerNetwork

_DEPARTURES = "gateway.departures"


class DepartureNotices:
    """Passes departures between this member's directory and its peers."""

    def __init__(self, *, peers: PeerNetwork, directory: Directory) -> None:
        self._peers = peers
        self._directory = directory
        peers.set_handler(_DEPARTURES, self._handle_departures)
        directory.on_departure(self._notify_peers)

    def record_leaving(self, target: TargetEntry) -> None:
        """Record that a target says in a response that it leaves."""
        departure = TargetDeparture(target.target_id, target.incarnation)
        if self._directory.apply_departures([departure]):
            get_logger().info("target_says_it_leaves", target=target.target_id)
            self._notify_peers([departure])

    def _notify_peers(self, departures: list[TargetDeparture]) -> None:
        send_to_others(self._peers, _DEPARTURES, encode_msgpack(departures))

    def _handle_departures(self, sender: str, body: bytes) -> None:
        departures = decode_msgpack(body, list[TargetDeparture], peer=sender)
        news = self._directory.apply_departures(departures)
        if news:
            get_logger().info(
                "target_departures_heard",
                peer=sender,
                targets=",".join(departure.target_id for departure in news),
            )
