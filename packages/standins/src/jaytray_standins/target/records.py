"""Records of a target stand-in about the requests that it received."""

import hashlib
from typing import Any, NamedTuple

import msgspec

_DISPATCH_FIELDS = ("stream", "priority", "resume_after_tokens", "resume_text")
_KEPT_BODY_BYTES = 65_536


class RanRequest(NamedTuple):
    """One request that a target ran.

    `body_digest` is a `completion_digest`, for services a `body_digest`.
    `headers` and `query` are as received; `was_leaving` is true if the target had
    announced that it leaves. `started_at_s` is a time of the stand-in's clock.
    """

    request_id: str
    method: str
    path: str
    query: str
    body_digest: str
    body: bytes
    headers: list[tuple[str, str]]
    model: str
    priority: int
    resume_after_tokens: int
    started_at_s: float
    was_leaving: bool


class Overcommit(NamedTuple):
    """An order that made an accelerator exceed its memory."""

    accelerator: int
    used_mib: int
    capacity_mib: int
    order_id: str
    at_s: float


class OvercommitError(AssertionError):
    """Accelerator memory was overcommitted."""


def body_digest(body: bytes) -> str:
    """Return the digest under which a body is recorded."""
    return hashlib.blake2b(body, digest_size=12).hexdigest()


def completion_digest(body: bytes) -> str:
    """Return the digest of a completion request without the fields set at dispatch.

    A caller's request keeps its digest when it is retried, resumed or streamed.
    """
    fields = msgspec.json.decode(body, type=dict[str, Any])
    for name in _DISPATCH_FIELDS:
        fields.pop(name, None)
    return body_digest(msgspec.json.encode(fields, order="sorted"))


def truncate_body(body: bytes) -> bytes:
    """Return the part of a body that is recorded, to be searched for secrets."""
    return body[:_KEPT_BODY_BYTES]


def requests_containing(secret: str, requests: list[RanRequest]) -> list[RanRequest]:
    """Return the requests that contain `secret`, whether in the body or elsewhere."""
    return [r for r in requests if secret in _visible_text(r)]


def _visible_text(request: RanRequest) -> str:
    headers = "\n".join(f"{name}: {value}" for name, value in request.headers)
    body = request.body.decode(errors="replace")
    return "\n".join((request.request_id, request.path, request.query, headers, body))
