"""Deferred jobs and their results as stored in the key-value service."""

import hashlib
import uuid
from typing import NamedTuple

SHARDS = 16
JOB_PREFIX = "deferred/jobs/"
RESULT_PREFIX = "deferred/results/"
LOCK_PREFIX = "deferred/locks/"
MAX_JOB_BODY_BYTES = 256_000
MAX_RESULT_BODY_BYTES = 900_000
# How long a job is retried, and how long its result is kept, in seconds.
JOB_LIFETIME_S = 24 * 3600.0
RESULT_RETENTION_S = 24 * 3600.0
_ID_LENGTH = 32


class Job(NamedTuple):
    """One accepted request.

    `key_digest` is the digest of the API key of its caller; `idempotency_key` may be
    empty. `submitted_at_s` is in seconds since the Unix epoch.
    """

    job_id: str
    account: str
    key_digest: str
    method: str
    path: str
    idempotency_key: str
    body: bytes
    submitted_at_s: float


class JobResult(NamedTuple):
    """The response to a job; if `is_refusal`, the body is the JSON of the refusal."""

    job_id: str
    account: str
    status: int
    body: bytes
    is_refusal: bool
    finished_at_s: float


def make_job_id(account: str, idempotency_key: str) -> str:
    """Return the id derived from the Idempotency-Key, or a random one without a key."""
    if not idempotency_key:
        return uuid.uuid4().hex
    text = f"{len(account)}:{account}{idempotency_key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def is_job_id(text: str) -> bool:
    """Return whether `text` has the format of a job id."""
    return len(text) == _ID_LENGTH and all(c in "0123456789abcdef" for c in text)


def shard_of(job_id: str) -> int:
    """Return the shard that a job belongs to."""
    return int(job_id[:8], 16) % SHARDS


def job_key(job_id: str) -> str:
    """Return the key-value key of a job."""
    return f"{JOB_PREFIX}{shard_of(job_id):02d}/{job_id}"


def result_key(job_id: str) -> str:
    """Return the key-value key of a job's result."""
    return f"{RESULT_PREFIX}{shard_of(job_id):02d}/{job_id}"


def lock_key(shard: int) -> str:
    """Return the key-value key of the lock on a shard's jobs."""
    return f"{LOCK_PREFIX}{shard:02d}"
