"""Fuzz tests of the document messages between VMs: arbitrary bytes change nothing."""

from hypothesis import given, strategies as st
from testtools import TestCase

from jaytray_core import codec
from jaytray_core.document.parts import Head, make_body
from jaytray_server.ports import PeerHandler, PeerNetwork
from jaytray_server.version import peer_messages as wire
from jaytray_server.version.held_version import HeldVersion
from jaytray_server.version.peer_exchange import PeerExchange
from tools.document_fleet import account_section

TOPICS = (wire.ANNOUNCE_TOPIC, wire.WANT_TOPIC, wire.HEAD_TOPIC, wire.PART_TOPIC)
BODY = make_body([account_section("a", 1)])
HEAD = Head("trial", 5, "w", BODY.body_digest, 4, "o", 0.0, "")
TEXT = st.sampled_from(["trial", "production", ""])
MESSAGES = st.one_of(
    st.binary(max_size=200),
    st.builds(
        lambda *fields: codec.encode_msgpack(fields),
        st.one_of(TEXT, st.integers(-9, 9), st.none()),
        st.one_of(st.integers(-9, 5), st.lists(st.text(max_size=4), max_size=3)),
        st.one_of(st.text(max_size=40), st.just(HEAD.body_digest)),
    ),
    st.builds(
        lambda version, digest: codec.encode_msgpack(
            [HEAD._replace(version=version, body_digest=digest)]
        ),
        st.integers(-9, 9),
        st.text(max_size=8),
    ),
    st.builds(lambda data: codec.encode_msgpack(["trial", data]), st.binary()),
)


class Receiver:
    """A VM with HEAD in force, recording the effects of the messages it receives."""

    def __init__(self) -> None:
        self.handlers: dict[str, PeerHandler] = {}
        self.offered: list[Head] = []
        self.parts: list[bytes] = []
        self.sent: list[tuple[str, str]] = []
        self.held = HeldVersion(environment="trial")
        self.held.adopt(HEAD, BODY.parts_by_digest, peer="kv")
        network = PeerNetwork(
            vm_id="vm-0",
            send=self._send,
            broadcast=lambda _topic, _body: None,
            set_handler=self.handlers.__setitem__,
            neighbours=lambda: ["vm-1"],
            listed_vms=lambda: ["vm-0", "vm-1"],
        )
        PeerExchange(
            held=self.held,
            peers=network,
            offer_head=lambda head, _peer: self.offered.append(head),
            report_contradiction=lambda _version, _peer: None,
            accept_part=self.parts.append,
        ).register_handlers()

    def _send(self, vm_id: str, topic: str, _body: bytes) -> bool:
        self.sent.append((vm_id, topic))
        return True


class PeerExchangeTests(TestCase):
    @given(st.lists(st.tuples(st.sampled_from(TOPICS), MESSAGES), max_size=8))
    def test_arbitrary_messages_change_nothing(
        self, received: list[tuple[str, bytes]]
    ) -> None:
        receiver = Receiver()
        before = receiver.held.document
        for topic, body in received:
            receiver.handlers[topic]("vm-1", body)
        self.assertIs(before, receiver.held.document)
        self.assertEqual([], receiver.offered)

    def test_consistent_head_is_offered(self) -> None:
        """Shows that the fuzz test would notice an offered head."""
        receiver = Receiver()
        newer = HEAD._replace(version=6)
        body = codec.encode_msgpack(wire.HeadMessage(newer))
        receiver.handlers[wire.HEAD_TOPIC]("vm-1", body)
        self.assertEqual([newer], receiver.offered)

    def test_older_announcement_gets_a_reply_and_newer_head_is_requested(self) -> None:
        receiver = Receiver()
        for version in (4, 5, 6):
            announcement = wire.Announcement("trial", version, HEAD.body_digest)
            body = codec.encode_msgpack(announcement)
            receiver.handlers[wire.ANNOUNCE_TOPIC]("vm-1", body)
        expected = [("vm-1", wire.ANNOUNCE_TOPIC), ("vm-1", wire.WANT_TOPIC)]
        self.assertEqual(expected, receiver.sent)
