"""Parts, manifests and heads: the stored form of a document's versions.

The sections of a body are spread over a fixed number of buckets by a hash of their
title. The sections of one bucket are one immutable part, stored under its digest, so
that one change writes and moves one part. The manifest, a part as well, lists the
digests of a body; a head names the manifest and stays small, as it is read often.
"""

import hashlib
import itertools
import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from jaytray_core import codec, document_messages
from jaytray_core.document.model import Document
from jaytray_core.document.parser import (
    Declaration,
    assemble,
    declare,
    find_doubled_digests,
)
from jaytray_core.document.sections import Fault, Section
from jaytray_core.errors import JaytrayError, Step

# Balances the size of a manifest (a digest per bucket) against the size of a part.
BUCKETS = 128
_DIGEST_BYTES = 16
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}")

# What each part declares, by its digest.
DeclaredParts = Mapping[str, list[Declaration]]


class Head(NamedTuple):
    """What one version consists of, and where it came from.

    `body_digest` is the digest of the manifest. `time` is in seconds since the Unix
    epoch; `writer_id` is unique for each change.
    """

    environment: str
    version: int
    writer_id: str
    body_digest: str
    based_on: int
    author: str
    time: float
    summary: str


class Body(NamedTuple):
    """A body cut into parts; `parts_by_digest` holds the manifest too."""

    parts_by_digest: dict[str, bytes]
    body_digest: str


def make_body(sections: Iterable[Section]) -> Body:
    """Cut `sections` into parts; the same sections give the same digests."""
    buckets: list[list[Section]] = [[] for _ in range(BUCKETS)]
    for section in sorted(sections):
        buckets[_bucket_of(section.title)].append(section)
    parts_by_digest: dict[str, bytes] = {}
    for bucket in filter(None, buckets):
        rows = [(s.title, dict(sorted(s.options.items()))) for s in bucket]
        data = codec.encode_json(rows)
        parts_by_digest[digest_of(data)] = data
    manifest = codec.encode_json(list(parts_by_digest))
    body_digest = digest_of(manifest)
    return Body({**parts_by_digest, body_digest: manifest}, body_digest)


def digest_of(data: bytes) -> str:
    """Return the digest under which a part is stored."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def needed_digests(body_digest: str, parts_by_digest: Mapping[str, bytes]) -> set[str]:
    """Return the digests that a body needs, as far as they are known.

    Without the manifest that is the manifest alone. Raises `malformed_message`.
    """
    manifest = parts_by_digest.get(body_digest)
    if manifest is None:
        return {body_digest}
    return {body_digest, *_decode_manifest(manifest)}


def is_well_formed(head: Head) -> bool:
    """Return whether a head can be that of a version."""
    return head.version > 0 and bool(_DIGEST_PATTERN.fullmatch(head.body_digest))


def sections_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> list[Section]:
    """Return the sections of a version; raises `document_incomplete`.

    Each part is checked against its digest, so that `peer` need not be trusted.
    """
    sections: list[Section] = []
    for digest in part_digests_of(head, parts_by_digest, peer=peer):
        data = _checked_part(head, parts_by_digest, digest, peer)
        sections.extend(decode_part(data, peer=peer))
    return sorted(sections)


def part_digests_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> list[str]:
    """Return the digests that the manifest lists; raises `document_incomplete`."""
    manifest = _checked_part(head, parts_by_digest, head.body_digest, peer)
    return _decode_manifest(manifest, peer=peer)


def decode_part(data: bytes, *, peer: str = "kv") -> list[Section]:
    """Return the sections of a part; raises `malformed_message`."""
    rows = codec.decode_json(data, list[tuple[str, dict[str, str]]], peer=peer)
    return [Section(title, options) for title, options in rows]


def document_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> Document:
    """Return the typed document of a version, whole or not at all.

    Raises `document_incomplete` or `document_invalid`.
    """
    _, document = declared_document_of(head, parts_by_digest, {}, peer=peer)
    return document


def declared_document_of(
    head: Head,
    parts_by_digest: Mapping[str, bytes],
    known: DeclaredParts,
    *,
    peer: str,
) -> tuple[DeclaredParts, Document]:
    """Return what each part declares, and the document of them all.

    Parts in `known` are not converted again, so that a small change costs little.
    Raises `document_incomplete` or `document_invalid`.
    """
    declared: dict[str, list[Declaration]] = {}
    for digest in part_digests_of(head, parts_by_digest, peer=peer):
        data = _checked_part(head, parts_by_digest, digest, peer)
        declared[digest] = known.get(digest) or _declare_part(data, peer)
    declarations = list(itertools.chain.from_iterable(declared.values()))
    _raise_first(find_doubled_digests(declarations), peer)
    return declared, assemble(declarations, head.environment, head.version)


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return codec.encode_json(head)


def decode_head(data: bytes, *, peer: str = "kv") -> Head:
    """Decode and check a head; raises `malformed_message`."""
    head = codec.decode_json(data, Head, peer=peer)
    if not is_well_formed(head):
        raise codec.malformed_message(peer=peer, detail="not the head of a version")
    return head


def _checked_part(
    head: Head, parts_by_digest: Mapping[str, bytes], digest: str, peer: str
) -> bytes:
    data = parts_by_digest.get(digest)
    if data is None or digest_of(data) != digest:
        raise JaytrayError(
            document_messages.DOCUMENT_INCOMPLETE,
            step=Step.CONFIGURATION,
            peer=peer,
            version=head.version,
            environment=head.environment,
            detail=f"part {digest} is missing",
        )
    return data


def _decode_manifest(manifest: bytes, *, peer: str = "kv") -> list[str]:
    return codec.decode_json(manifest, list[str], peer=peer)


def _declare_part(data: bytes, peer: str) -> list[Declaration]:
    declarations, faults = declare(decode_part(data, peer=peer))
    _raise_first(faults, peer)
    return declarations


def _raise_first(faults: list[Fault], peer: str) -> None:
    if faults:
        raise JaytrayError(
            document_messages.DOCUMENT_INVALID,
            step=Step.CONFIGURATION,
            peer=peer,
            faults=len(faults),
            detail=faults[0].text,
        )


def _bucket_of(title: str) -> int:
    digest = hashlib.blake2b(title.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % BUCKETS
