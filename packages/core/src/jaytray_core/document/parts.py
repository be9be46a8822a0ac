"""Parts, manifests and heads: the stored form of a document's versions.

The sections of a version (its body) are distributed over a fixed number of buckets by
a hash of their title. The sections of one bucket form an immutable part, stored under
its digest, so that a change of one section writes and transfers one part. The
manifest, which is stored as a part too, lists the digests of the parts. A head
references the manifest and is small, because it is read often.
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
    assemble_document,
    convert_sections,
    find_duplicate_digests,
)
from jaytray_core.document.sections import Fault, Section
from jaytray_core.errors import JaytrayError, Step

# Trades the size of the manifest (one digest per bucket) against the size of a part.
BUCKETS = 128
_DIGEST_BYTES = 16
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}")

# The declarations of each part, by its digest.
DeclarationsByDigest = Mapping[str, list[Declaration]]


class Head(NamedTuple):
    """Metadata of one version, with the digest of its manifest in `body_digest`.

    `time` is in seconds since the Unix epoch; `writer_id` is unique for each change.
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
    """A body split into parts; `parts_by_digest` includes the manifest."""

    parts_by_digest: dict[str, bytes]
    body_digest: str


def make_body(sections: Iterable[Section]) -> Body:
    """Split `sections` into parts; equal sections give equal digests."""
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
    """Return the digests of the manifest and, if it is present, of all its parts.

    Raises `malformed_message`.
    """
    manifest = parts_by_digest.get(body_digest)
    if manifest is None:
        return {body_digest}
    return {body_digest, *_decode_manifest(manifest)}


def is_well_formed(head: Head) -> bool:
    """Return whether a head has a positive version and a valid digest."""
    return head.version > 0 and bool(_DIGEST_PATTERN.fullmatch(head.body_digest))


def sections_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> list[Section]:
    """Return the sections of a version; raises `document_incomplete`.

    Each part is checked against its digest, so that `peer` does not have to be trusted.
    """
    sections: list[Section] = []
    for digest in part_digests_of(head, parts_by_digest, peer=peer):
        data = _verified_part(head, parts_by_digest, digest, peer)
        sections.extend(decode_part(data, peer=peer))
    return sorted(sections)


def part_digests_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> list[str]:
    """Return the digests in the manifest; raises `document_incomplete`."""
    manifest = _verified_part(head, parts_by_digest, head.body_digest, peer)
    return _decode_manifest(manifest, peer=peer)


def decode_part(data: bytes, *, peer: str = "kv") -> list[Section]:
    """Return the sections of a part; raises `malformed_message`."""
    rows = codec.decode_json(data, list[tuple[str, dict[str, str]]], peer=peer)
    return [Section(title, options) for title, options in rows]


def document_of(
    head: Head, parts_by_digest: Mapping[str, bytes], *, peer: str = "kv"
) -> Document:
    """Return the typed document of a version; never a partial one.

    Raises `document_incomplete` or `document_invalid`.
    """
    _, document = declared_document_of(head, parts_by_digest, {}, peer=peer)
    return document


def declared_document_of(
    head: Head,
    parts_by_digest: Mapping[str, bytes],
    known: DeclarationsByDigest,
    *,
    peer: str,
) -> tuple[DeclarationsByDigest, Document]:
    """Return the declarations of each part, and the document built from them.

    Parts in `known` are not converted again, so that a small change is cheap.
    Raises `document_incomplete` or `document_invalid`.
    """
    declared: dict[str, list[Declaration]] = {}
    for digest in part_digests_of(head, parts_by_digest, peer=peer):
        data = _verified_part(head, parts_by_digest, digest, peer)
        declared[digest] = known.get(digest) or _convert_part(data, peer)
    declarations = list(itertools.chain.from_iterable(declared.values()))
    _raise_if_faulty(find_duplicate_digests(declarations), peer)
    return declared, assemble_document(declarations, head.environment, head.version)


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return codec.encode_json(head)


def decode_head(data: bytes, *, peer: str = "kv") -> Head:
    """Decode and check a head; raises `malformed_message`."""
    head = codec.decode_json(data, Head, peer=peer)
    if not is_well_formed(head):
        raise codec.malformed_message(peer=peer, detail="not the head of a version")
    return head


def _verified_part(
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


def _convert_part(data: bytes, peer: str) -> list[Declaration]:
    declarations, faults = convert_sections(decode_part(data, peer=peer))
    _raise_if_faulty(faults, peer)
    return declarations


def _raise_if_faulty(faults: list[Fault], peer: str) -> None:
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
