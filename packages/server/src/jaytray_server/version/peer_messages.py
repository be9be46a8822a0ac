"""Messages between VMs about the document, and their topics.

An announcement is small; a VM with an older version asks the announcer for the head
and then for the parts that it is missing. Parts are checked against their digests.
"""

from typing import NamedTuple

from jaytray_core import codec
from jaytray_core.document.parts import Head

ANNOUNCE_TOPIC = "document_announce"
WANT_TOPIC = "document_want"
HEAD_TOPIC = "document_head"
PART_TOPIC = "document_part"
# A request for more parts than this is malformed.
MAX_WANTED_PARTS = 256


class Announcement(NamedTuple):
    """The version in force on the sender; 0 means none and asks for any version."""

    environment: str
    version: int
    body_digest: str


class Want(NamedTuple):
    """A request for parts, or for the head if `digests` is empty."""

    environment: str
    digests: tuple[str, ...]


class HeadMessage(NamedTuple):
    """The head in force on the sender."""

    head: Head


class PartMessage(NamedTuple):
    """One part; the receiver computes its digest."""

    environment: str
    data: bytes


def decode_announcement(body: bytes, *, peer: str) -> Announcement:
    """Decode an announcement; raises `malformed_message`."""
    return codec.decode_msgpack(body, Announcement, peer=peer)


def decode_want(body: bytes, *, peer: str) -> Want:
    """Decode a request for parts or the head; raises `malformed_message`."""
    want = codec.decode_msgpack(body, Want, peer=peer)
    if len(want.digests) > MAX_WANTED_PARTS:
        raise codec.malformed_message(peer=peer, detail="too many parts asked for")
    return want


def decode_head_message(body: bytes, *, peer: str) -> HeadMessage:
    """Decode a head; raises `malformed_message`."""
    return codec.decode_msgpack(body, HeadMessage, peer=peer)


def decode_part(body: bytes, *, peer: str) -> PartMessage:
    """Decode a part; raises `malformed_message`."""
    return codec.decode_msgpack(body, PartMessage, peer=peer)
