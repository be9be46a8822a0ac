"""One caller's request as the edge has read it, free of any wire format."""

import hashlib
from typing import NamedTuple

from jaytray_gateway.replica_names import replica_name

Headers = tuple[tuple[bytes, bytes], ...]


class PromptPart(NamedTuple):
    """A part of the prompt that requests may share; parts come in order."""

    part_id: str
    tokens: int


class RoutedRequest(NamedTuple):
    """A whole request, its body included.

    `target` is path and query exactly as sent. `headers` are those to forward:
    headers of the connection, credentials and headers that only this system may set
    are left out. `deadline_s` is how long the caller waits, None when not stated.
    `model` and `adapter` are empty where none is asked for. `is_metered` tells
    whether the caller declared its tokens.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    deadline_s: float | None
    key_digest: str | None
    model: str
    adapter: str
    is_metered: bool
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str
    received_at_s: float

    @property
    def replica_name(self) -> str:
        """Return the model, with its adapter after a slash if there is one."""
        return replica_name(self.model, self.adapter)


def content_digest(request: RoutedRequest, account: str) -> str:
    """Return the identity by which a request that is sent again is recognised."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account.encode(), request.method, request.target, request.body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
