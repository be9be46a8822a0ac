"""Versions of documents in the key-value service.

Immutable parts are written first; then the head of the environment is replaced by
compare-and-swap. After a lost response, the writer id of the stored version shows
whether the swap took effect. The previous head is copied to the history before the
swap, so that the history never lacks a version.
"""

import asyncio
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from jaytray_core import document_messages, message_registry as messages
from jaytray_core.clock import WallClock, wall_clock
from jaytray_core.document.model import Document
from jaytray_core.document.part_store import (
    read_body,
    swap_with_retries,
    write_parts,
    write_with_retries,
)
from jaytray_core.document.parts import (
    Body,
    Head,
    decode_head,
    document_of,
    encode_head,
    make_body,
    sections_of,
)
from jaytray_core.document.sections import Section
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService

HEADS_PREFIX = "documents/heads/"
HISTORY_PREFIX = "documents/history/"
HISTORY_VERSIONS = 100
CHANGE_TIMEOUT_S = 60.0
_VERSION_DIGITS = 10


class StoredHead(NamedTuple):
    """A head with the key-value revision by which it can be changed."""

    head: Head | None
    revision: int

    @property
    def version(self) -> int:
        """Return the version, or 0 if no version exists yet."""
        return self.head.version if self.head else 0


class Change(NamedTuple):
    """Who changes an environment, and on which version the change is based.

    `minimum_version` is higher than every version that a VM is known to run, in case
    the service has lost the latest versions.
    """

    environment: str
    based_on: int
    author: str
    summary: str
    minimum_version: int = 1


def head_key(environment: str) -> str:
    """Return the key of an environment's head."""
    return HEADS_PREFIX + environment


async def read_head(key_value: KeyValueService, environment: str) -> StoredHead:
    """Return the current head."""
    record = await key_value.get(head_key(environment))
    if record is None:
        return StoredHead(None, ABSENT_REVISION)
    return StoredHead(decode_head(record.value), record.revision)


async def read_sections(key_value: KeyValueService, head: Head) -> list[Section]:
    """Return the sections of a version."""
    parts = await read_body(key_value, head.body_digest)
    return sections_of(head, parts)


async def read_document(key_value: KeyValueService, head: Head) -> Document:
    """Return the typed document of a version."""
    parts = await read_body(key_value, head.body_digest)
    return document_of(head, parts)


async def apply(
    key_value: KeyValueService,
    change: Change,
    sections: list[Section],
    *,
    clock: WallClock = wall_clock,
) -> Head:
    """Make `sections` the next version of an environment and return its head.

    Raises `version_conflict`, with the current version, if the environment is no longer
    at `change.based_on`; `key_value_unavailable` if nothing was changed.
    """
    async with _change_timeout():
        stored = await read_head(key_value, change.environment)
        require_based_on(stored, change.environment, change.based_on)
        body = make_body(sections)
        await write_parts(key_value, body, stored.head, clock)
        await _copy_to_history(key_value, stored)
        head = _next_head(change, body, clock)
        return await _swap_head(key_value, change, stored, head)


def require_based_on(stored: StoredHead, environment: str, based_on: int) -> None:
    """Raise `version_conflict` unless the environment is at version `based_on`."""
    if stored.version != based_on:
        raise _conflict(environment, based_on, stored.head)


async def read_history(key_value: KeyValueService, environment: str) -> list[Head]:
    """Return the current version and those in the history, latest first."""
    stored = await read_head(key_value, environment)
    records = await key_value.get_prefix(f"{HISTORY_PREFIX}{environment}/")
    heads = [decode_head(record.value) for record in records if record.value]
    older = [head for head in heads if head.version < stored.version]
    latest = [stored.head] if stored.head else []
    return latest + sorted(older, key=lambda head: head.version, reverse=True)


async def read_version(
    key_value: KeyValueService, environment: str, version: int
) -> Head:
    """Return the head of a current or past version; raises `version_unknown`."""
    stored = await read_head(key_value, environment)
    if stored.head is not None and stored.head.version == version:
        return stored.head
    record = await key_value.get(_history_key(environment, version))
    if record is None:
        raise JaytrayError(
            document_messages.VERSION_UNKNOWN,
            step=Step.CONFIGURATION,
            environment=environment,
            version=version,
        )
    return decode_head(record.value)


@asynccontextmanager
async def _change_timeout() -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(CHANGE_TIMEOUT_S):
            yield
    except TimeoutError as err:
        raise _uncertain(f"not finished within {CHANGE_TIMEOUT_S:g} s") from err


async def _swap_head(
    key_value: KeyValueService, change: Change, stored: StoredHead, head: Head
) -> Head:
    key = head_key(change.environment)
    try:
        result = await swap_with_retries(
            key_value, key, stored.revision, encode_head(head)
        )
        is_swapped, lost_response = result.is_swapped, None
    except JaytrayError as err:
        if err.code != messages.KEY_VALUE_UNCERTAIN.code:
            raise
        is_swapped, lost_response = False, err
    if not is_swapped:
        await _resolve_unconfirmed_swap(key_value, change, head, lost_response)
    await _trim_history(key_value, head)
    return head


async def _resolve_unconfirmed_swap(
    key_value: KeyValueService,
    change: Change,
    head: Head,
    lost_response: JaytrayError | None,
) -> None:
    """Return if `head` became a version; else raise the error that applies.

    That is `version_conflict`, or `lost_response` if the environment is unchanged, or
    `key_value_uncertain` if the version cannot be read.
    """
    try:
        if await _is_stored_version(key_value, head):
            return
        current = await read_head(key_value, change.environment)
    except JaytrayError as err:
        raise _uncertain("the new version could not be read back") from err
    if current.version == change.based_on and lost_response is not None:
        raise lost_response
    raise _conflict(change.environment, change.based_on, current.head)


async def _is_stored_version(key_value: KeyValueService, head: Head) -> bool:
    """Return whether `head` became a version, even if it was replaced since."""
    try:
        found = await read_version(key_value, head.environment, head.version)
    except JaytrayError as err:
        if err.code != document_messages.VERSION_UNKNOWN.code:
            raise
        return False
    return found.writer_id == head.writer_id


async def _copy_to_history(key_value: KeyValueService, stored: StoredHead) -> None:
    head = stored.head
    if head is not None:
        await write_with_retries(
            key_value,
            _history_key(head.environment, head.version),
            make_value=lambda: encode_head(head),
            is_acceptable=lambda value: value == encode_head(head),
        )


async def _trim_history(key_value: KeyValueService, head: Head) -> None:
    """Delete the version that is now too old; a failure to do so is harmless."""
    key = _history_key(head.environment, head.version - HISTORY_VERSIONS)
    try:
        record = await key_value.get(key)
        if record is not None:
            await key_value.compare_and_swap(key, record.revision, None, "")
    except JaytrayError:
        return


def _next_head(change: Change, body: Body, clock: WallClock) -> Head:
    return Head(
        environment=change.environment,
        version=max(change.based_on + 1, change.minimum_version),
        writer_id=uuid.uuid4().hex,
        body_digest=body.body_digest,
        based_on=change.based_on,
        author=change.author,
        time=clock(),
        summary=change.summary,
    )


def _conflict(environment: str, based_on: int, current: Head | None) -> JaytrayError:
    return JaytrayError(
        document_messages.VERSION_CONFLICT,
        step=Step.CONFIGURATION,
        peer="kv",
        environment=environment,
        version=current.version if current else 0,
        author=current.author if current else "nobody",
        based_on=based_on,
    )


def _uncertain(detail: str) -> JaytrayError:
    return JaytrayError(
        messages.KEY_VALUE_UNCERTAIN,
        step=Step.CONFIGURATION,
        peer="kv",
        execution=Execution.MAY_HAVE_RUN,
        detail=detail,
    )


def _history_key(environment: str, version: int) -> str:
    return f"{HISTORY_PREFIX}{environment}/{version:0{_VERSION_DIGITS}d}"
