"""Parts and heads: the stored form of a document's versions.

The sections of a body are spread over a fixed number of buckets by a hash of their
title. The sections of one bucket are one immutable part, stored under its digest, so
that one change writes and moves one part. A head names the parts of one version.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from jaytray_core import codec, message_registry as messages
from jaytray_core.document.model import Document
from jaytray_core.document.parser import build_document
from jaytray_core.document.sections import Section
from jaytray_core.errors import JaytrayError, Step

# Balances the size of a head (a digest per bucket) against the size of a part.
BUCKETS = 128
_DIGEST_BYTES = 16


class Head(NamedTuple):
    """What one version consists of, and where it came from.

    `part_digests` has one digest for each bucket, empty for an empty bucket.
    `time` is in seconds since the Unix epoch; `writer_id` is unique for each change.
    """

    environment: str
    version: int
    writer_id: str
    part_digests: tuple[str, ...]
    body_digest: str
    based_on: int
    author: str
    time: float
    summary: str


class Body(NamedTuple):
    """A body cut into parts; `parts_by_digest` holds their encoded sections."""

    part_digests: tuple[str, ...]
    parts_by_digest: dict[str, bytes]
    body_digest: str


def make_body(sections: Iterable[Section]) -> Body:
    """Cut `sections` into parts; the same sections give the same digests."""
    buckets: list[list[Section]] = [[] for _ in range(BUCKETS)]
    for section in sorted(sections):
        buckets[_bucket_of(section.title)].append(section)
    parts_by_digest: dict[str, bytes] = {}
    digests = []
    for bucket in buckets:
        data = codec.encode_json(
            [(s.title, dict(sorted(s.options.items()))) for s in bucket]
        )
        digest = digest_of(data) if bucket else ""
        digests.append(digest)
        if bucket:
            parts_by_digest[digest] = data
    return Body(tuple(digests), parts_by_digest, body_digest_of(digests))


def digest_of(data: bytes) -> str:
    """Return the digest under which a part is stored."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def body_digest_of(part_digests: Iterable[str]) -> str:
    """Return the digest of a whole body."""
    return digest_of("\n".join(part_digests).encode())


def is_consistent(head: Head) -> bool:
    """Return whether a head's body digest follows from its part digests."""
    return (
        head.version > 0
        and len(head.part_digests) == BUCKETS
        and head.body_digest == body_digest_of(head.part_digests)
    )


def sections_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> list[Section]:
    """Return the sections of a version; raises `document_incomplete`.

    Each part is checked against its digest, so that `peer` need not be trusted.
    """
    sections: list[Section] = []
    for digest in filter(None, head.part_digests):
        data = parts_by_digest.get(digest)
        if data is None or digest_of(data) != digest:
            raise JaytrayError(
                messages.DOCUMENT_INCOMPLETE,
                step=Step.CONFIGURATION,
                peer=peer,
                version=head.version,
                environment=head.environment,
                detail=f"part {digest} is missing",
            )
        rows = codec.decode_json(data, list[tuple[str, dict[str, str]]], peer=peer)
        sections.extend(Section(title, options) for title, options in rows)
    return sorted(sections)


def document_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> Document:
    """Return the typed document of a version, whole or not at all.

    Raises `document_incomplete` or `document_invalid`.
    """
    sections = sections_of(head, parts_by_digest, peer=peer)
    built = build_document(sections, environment=head.environment, version=head.version)
    if built.document is None:
        raise JaytrayError(
            messages.DOCUMENT_INVALID,
            step=Step.CONFIGURATION,
            peer=peer,
            faults=len(built.faults),
            detail=built.faults[0].text,
        )
    return built.document


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return codec.encode_json(head)


def decode_head(data: bytes, *, peer: str = "kv") -> Head:
    """Decode and check a head; raises `malformed_message`."""
    head = codec.decode_json(data, Head, peer=peer)
    if not is_consistent(head):
        raise codec.malformed_message(peer=peer, detail="inconsistent document head")
    return head


def _bucket_of(title: str) -> int:
    digest = hashlib.blake2b(title.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % BUCKETS
