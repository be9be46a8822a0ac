"""Records of idempotent calls and the segments that hold them.

The records of one shard form a log that is divided into segments, each one value in
the key-value service. The write that takes a segment over `MAX_SEGMENT_BYTES` also
seals it, and later entries go to the next segment. A segment is deleted as a whole
once all its records have expired.
"""

import enum
import hashlib
from typing import NamedTuple

SHARDS = 32
# How long a record is kept after the call was claimed, in seconds.
RETENTION_S = 3600.0
MAX_SEGMENT_BYTES = 32_000
# A call whose response has a longer body is recorded as done, without the body.
MAX_STORED_RESPONSE_BYTES = 64_000
PREFIX = "idempotency/"


class EntryKind(enum.StrEnum):
    """State of a call that an entry records."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class StoredResponse(NamedTuple):
    """The response to a call; `is_whole` is False if the body was too long to keep."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    is_whole: bool


class Entry(NamedTuple):
    """One entry of a shard's log.

    `key_digest` identifies the client account and its Idempotency-Key,
    `request_digest` the method, path, query and body. `claim_id` is unique to each
    attempt to claim the call. Times are seconds since the Unix epoch. A call without
    a recorded outcome counts as unknown after `running_until_s`.
    """

    kind: EntryKind
    key_digest: str
    request_digest: str
    claim_id: str
    at_s: float
    running_until_s: float
    response: StoredResponse | None = None


class Segment(NamedTuple):
    """Value of one segment; no entry is added to a sealed one."""

    is_sealed: bool
    entries: list[Entry]


class Record(NamedTuple):
    """State of one idempotent call; its last entry is in segment number `segment`."""

    kind: EntryKind
    request_digest: str
    claim_id: str
    claimed_at_s: float
    running_until_s: float
    segment: int


def digest_key(account: str, key: str) -> str:
    """Return the digest of an Idempotency-Key within its client account."""
    return _digest(account.encode(), key.encode())


def digest_request(method: str, path: str, query: str, body: bytes) -> str:
    """Return the digest of the request that an Idempotency-Key is bound to."""
    return _digest(method.encode(), path.encode(), query.encode(), body)


def shard_of(key_digest: str) -> int:
    """Return the shard that holds the records of `key_digest`."""
    return int(key_digest[:8], 16) % SHARDS


def shard_prefix(shard: int) -> str:
    """Return the key prefix of all segments of `shard`."""
    return f"{PREFIX}{shard:02d}/"


def segment_key(shard: int, number: int) -> str:
    """Return the key of a segment; keys sort by segment number."""
    return f"{shard_prefix(shard)}{number:010d}"


def segment_number(key: str) -> int:
    """Return the number of the segment at `key`."""
    return int(key.rsplit("/", 1)[1])


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
