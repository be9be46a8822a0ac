"""Exchange of document versions with other VMs: announcements, requests and replies.

Handlers do not wait: they reply from the version in force, or pass a head or part to
the follower. Malformed, outdated, duplicate and unrequested messages change nothing.
"""

from collections.abc import Callable

from jaytray_core import codec
from jaytray_core.document.parts import Head, is_well_formed
from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_server.ports import PeerHandler, PeerNetwork
from jaytray_server.version import peer_messages as wire
from jaytray_server.version.held_version import HeadComparison, HeldVersion

# Takes (head, peer that sent it).
OfferHead = Callable[[Head, str], None]
# Takes (version, peer that has another body for it than the one in force).
ReportContradiction = Callable[[int, str], None]
# Takes the bytes of a part; their digest identifies it.
AcceptPart = Callable[[bytes], None]


class PeerExchange:
    """Sends and handles the peer messages about the document."""

    def __init__(
        self,
        *,
        held: HeldVersion,
        peers: PeerNetwork,
        offer_head: OfferHead,
        report_contradiction: ReportContradiction,
        accept_part: AcceptPart,
    ) -> None:
        self._held = held
        self._peers = peers
        self._offer_head = offer_head
        self._report_contradiction = report_contradiction
        self._accept_part = accept_part

    def register_handlers(self) -> None:
        """Register the handlers with the peer network."""
        handlers: dict[str, PeerHandler] = {
            wire.ANNOUNCE_TOPIC: self._on_announcement,
            wire.WANT_TOPIC: self._on_want,
            wire.HEAD_TOPIC: self._on_head,
            wire.PART_TOPIC: self._on_part,
        }
        for topic, handler in handlers.items():
            self._peers.set_handler(topic, _ignoring_malformed(topic, handler))

    def announce_to(self, vm_ids: list[str]) -> None:
        """Announce the version in force; a VM with a newer one announces that back."""
        held = self._held
        body = codec.encode_msgpack(
            wire.Announcement(held.environment, held.version, held.body_digest)
        )
        for vm_id in vm_ids:
            self._peers.send(vm_id, wire.ANNOUNCE_TOPIC, body)

    def ask_parts(self, vm_id: str, digests: set[str]) -> bool:
        """Ask a VM for parts; returns False if it is known to be unreachable."""
        wanted = tuple(sorted(digests))[: wire.MAX_WANTED_PARTS]
        body = codec.encode_msgpack(wire.Want(self._held.environment, wanted))
        return self._peers.send(vm_id, wire.WANT_TOPIC, body)

    def _on_announcement(self, sender: str, body: bytes) -> None:
        message = wire.decode_announcement(body, peer=sender)
        if message.environment != self._held.environment:
            return
        comparison = self._held.compare(message.version, message.body_digest)
        if comparison is HeadComparison.NEWER:
            want = codec.encode_msgpack(wire.Want(message.environment, ()))
            self._peers.send(sender, wire.WANT_TOPIC, want)
        elif comparison is HeadComparison.OLDER:
            self.announce_to([sender])
        elif comparison is HeadComparison.CONTRADICTORY:
            self._report_contradiction(message.version, sender)

    def _on_want(self, sender: str, body: bytes) -> None:
        want = wire.decode_want(body, peer=sender)
        held = self._held
        if want.environment != held.environment or held.head is None:
            return
        if not want.digests:
            reply = codec.encode_msgpack(wire.HeadMessage(held.head))
            self._peers.send(sender, wire.HEAD_TOPIC, reply)
        for digest in want.digests:
            data = held.parts_by_digest.get(digest)
            if data is not None:
                part = codec.encode_msgpack(wire.PartMessage(held.environment, data))
                self._peers.send(sender, wire.PART_TOPIC, part)

    def _on_head(self, sender: str, body: bytes) -> None:
        head = wire.decode_head_message(body, peer=sender).head
        if head.environment != self._held.environment or not is_well_formed(head):
            return
        self._offer_head(head, sender)

    def _on_part(self, sender: str, body: bytes) -> None:
        part = wire.decode_part(body, peer=sender)
        if part.environment == self._held.environment:
            self._accept_part(part.data)


def _ignoring_malformed(topic: str, handler: PeerHandler) -> PeerHandler:
    def handle(sender: str, body: bytes) -> None:
        try:
            handler(sender, body)
        except JaytrayError as err:
            get_logger().warning(
                "peer_message_ignored", topic=topic, peer=sender, code=err.code
            )

    return handle
