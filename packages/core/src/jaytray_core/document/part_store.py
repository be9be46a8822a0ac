"""Parts in the key-value service, and writes that are retried when a response is lost.

A part is stored under its digest. The value starts with a line with the time of
writing, which the collection of unused parts compares with its grace period.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from jaytray_core import message_registry as messages
from jaytray_core.clock import WallClock
from jaytray_core.document.parts import Body, Head, needed_digests
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService, SwapResult

PARTS_PREFIX = "documents/parts/"
# A part that no version references is kept this long, because a change in progress may
# be about to reference it; a change times out long before.
UNUSED_PART_GRACE_S = 3600.0
_WRITE_ATTEMPTS = 4
_RETRY_PAUSE_S = 0.1
_MAX_CONCURRENT_CALLS = 8


def part_key(digest: str) -> str:
    """Return the key of a part."""
    return PARTS_PREFIX + digest


async def read_parts(
    key_value: KeyValueService, digests: Iterable[str]
) -> dict[str, bytes]:
    """Return those of the parts that the service has, without their timestamps."""
    parts = {}

    async def read_part(digest: str) -> None:
        record = await key_value.get(part_key(digest))
        if record is not None:
            parts[digest] = strip_timestamp(record.value)

    await run_for_each(sorted(digests), read_part)
    return parts


async def read_body(key_value: KeyValueService, body_digest: str) -> dict[str, bytes]:
    """Return the manifest and those parts of a body that the service has."""
    manifest = await read_parts(key_value, {body_digest})
    needed = needed_digests(body_digest, manifest) - manifest.keys()
    return {**manifest, **await read_parts(key_value, needed)}


async def write_parts(
    key_value: KeyValueService, body: Body, base: Head | None, clock: WallClock
) -> None:
    """Write the parts that the base version does not contain."""
    present: set[str] = set()
    if base is not None:
        manifest = await read_parts(key_value, {base.body_digest})
        present = needed_digests(base.body_digest, manifest)

    async def write_part(digest: str) -> None:
        data = body.parts_by_digest[digest]
        await _write_part(key_value, part_key(digest), data, clock)

    await run_for_each(sorted(body.parts_by_digest.keys() - present), write_part)


async def _write_part(
    key_value: KeyValueService, key: str, data: bytes, clock: WallClock
) -> None:
    await write_with_retries(
        key_value,
        key,
        make_value=lambda: _add_timestamp(data, clock()),
        is_acceptable=lambda value: not _is_near_collection(value, clock()),
    )


async def run_for_each(
    digests: Iterable[str], run: Callable[[str], Awaitable[None]]
) -> None:
    """Run a call for each digest with bounded concurrency; raises the first error."""
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

    async def run_one(digest: str) -> None:
        async with semaphore:
            await run(digest)

    tasks = [asyncio.ensure_future(run_one(digest)) for digest in digests]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def write_with_retries(
    key_value: KeyValueService,
    key: str,
    *,
    make_value: Callable[[], bytes],
    is_acceptable: Callable[[bytes], bool],
) -> None:
    """Write a value unless the stored one satisfies `is_acceptable`.

    After a lost response the key is read again before the next attempt. Raises
    `key_value_unavailable` if the value cannot be written; callers use it only for
    writes before the swap of the head, so that the current version is unchanged.
    """
    for _ in range(_WRITE_ATTEMPTS):
        record = await key_value.get(key)
        if record is not None and is_acceptable(record.value):
            return
        revision = record.revision if record else ABSENT_REVISION
        try:
            result = await key_value.compare_and_swap(key, revision, make_value(), "")
        except JaytrayError as err:
            if err.code != messages.KEY_VALUE_UNCERTAIN.code:
                raise
            continue
        if result.is_swapped:
            return
    raise JaytrayError(
        messages.KEY_VALUE_UNAVAILABLE,
        step=Step.CONFIGURATION,
        peer="kv",
        detail=f"{key} could not be written",
    )


async def swap_with_retries(
    key_value: KeyValueService, key: str, revision: int, value: bytes
) -> SwapResult:
    """Retry a compare-and-swap until a response arrives; at most one attempt succeeds.

    An attempt that finds another revision may follow an earlier successful attempt
    whose response was lost: the caller has to compare the stored value. Once a response
    was lost, the error is `key_value_uncertain`, whatever the later errors are.
    """
    uncertain: JaytrayError | None = None
    for attempt in range(_WRITE_ATTEMPTS):
        await asyncio.sleep(attempt * _RETRY_PAUSE_S)
        try:
            return await key_value.compare_and_swap(key, revision, value, "")
        except JaytrayError as err:
            if err.code == messages.KEY_VALUE_UNCERTAIN.code:
                uncertain = err
            elif uncertain is None:
                raise
    assert uncertain is not None
    raise uncertain


def _add_timestamp(data: bytes, time_s: float) -> bytes:
    return b"%d\n" % time_s + data


def strip_timestamp(value: bytes) -> bytes:
    """Return the encoded sections of a part without the timestamp."""
    return value.partition(b"\n")[2]


def written_at_s(value: bytes) -> float:
    """Return the timestamp of a part in seconds since the Unix epoch."""
    stamp = value.partition(b"\n")[0]
    return float(stamp) if stamp.isdigit() else 0.0


def _is_near_collection(value: bytes, time_s: float) -> bool:
    return time_s - written_at_s(value) > UNUSED_PART_GRACE_S / 2
