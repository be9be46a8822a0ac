"""A caller's parsed request, independent of the platform's wire format."""

import hashlib
from typing import NamedTuple

from jaytray_gateway.replica_names import replica_name

Headers = tuple[tuple[bytes, bytes], ...]


class PromptPart(NamedTuple):
    """A part of the prompt that several requests may share, in prompt order."""

    part_id: str
    tokens: int


class RoutedRequest(NamedTuple):
    """A complete request with its body.

    `request_target` is the path and query exactly as sent. `headers` are those to
    forward, without connection headers, credentials and headers that only this
    system may set. `deadline_s` is how long the caller waits, None if not stated.
    `model` and `adapter` are empty if the request names none. `has_token_counts`
    tells whether the caller declared token counts. If the request continues a stream,
    `last_event_id` is the last event that the caller has, and `original_request_id` the
    id of the request whose response had the first one; empty if not stated.
    """

    request_id: str
    method: bytes
    request_target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    deadline_s: float | None
    key_digest: str | None
    model: str
    adapter: str
    has_token_counts: bool
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str
    original_request_id: str
    received_at_s: float

    @property
    def replica_name(self) -> str:
        """Return the model, followed by a slash and the adapter if there is one."""
        return replica_name(self.model, self.adapter)

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Return the prompt parts that other requests may have too, in prompt order."""
        return tuple(part.part_id for part in self.prompt_parts[:-1])


def content_digest(request: RoutedRequest, account: str) -> str:
    """Return a digest that is equal for repetitions of the same request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (
        account.encode(),
        request.method,
        request.request_target,
        request.body,
    ):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
