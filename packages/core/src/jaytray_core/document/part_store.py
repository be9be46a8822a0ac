"""Parts in the key-value service, and writes whose answer may be lost.

A part is stored under its digest, after a line with the time of writing by which
unused parts are collected.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from jaytray_core import message_registry as messages
from jaytray_core.clock import WallClock
from jaytray_core.document.parts import Body, Head, needed_digests
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService, SwapResult

PARTS_PREFIX = "documents/parts/"
# A part that no version names is kept this long, because an operator may be about
# to name it; an operator's change is given up long before.
UNUSED_PART_GRACE_S = 3600.0
_WRITE_ATTEMPTS = 4
_RETRY_PAUSE_S = 0.1
_CALLS_AT_ONCE = 8


def part_key(digest: str) -> str:
    """Return the key of a part."""
    return PARTS_PREFIX + digest


async def read_parts(
    key_value: KeyValueService, digests: Iterable[str]
) -> dict[str, bytes]:
    """Return the parts that the service has."""
    parts = {}

    async def read_part(digest: str) -> None:
        record = await key_value.get(part_key(digest))
        if record is not None:
            parts[digest] = strip_time(record.value)

    await for_each(sorted(digests), read_part)
    return parts


async def read_body(key_value: KeyValueService, body_digest: str) -> dict[str, bytes]:
    """Return the manifest and the parts of a body that the service has."""
    manifest = await read_parts(key_value, {body_digest})
    needed = needed_digests(body_digest, manifest) - manifest.keys()
    return {**manifest, **await read_parts(key_value, needed)}


async def write_parts(
    key_value: KeyValueService, body: Body, base: Head | None, clock: WallClock
) -> None:
    """Write the parts that the base version does not already hold."""
    present: set[str] = set()
    if base is not None:
        manifest = await read_parts(key_value, {base.body_digest})
        present = needed_digests(base.body_digest, manifest)

    async def write_part(digest: str) -> None:
        data = body.parts_by_digest[digest]
        await _write_part(key_value, part_key(digest), data, clock)

    await for_each(sorted(body.parts_by_digest.keys() - present), write_part)


async def _write_part(
    key_value: KeyValueService, key: str, data: bytes, clock: WallClock
) -> None:
    await write_surely(
        key_value,
        key,
        make_value=lambda: _stamp_time(data, clock()),
        is_kept=lambda value: not _is_near_removal(value, clock()),
    )


async def for_each(
    digests: Iterable[str], run: Callable[[str], Awaitable[None]]
) -> None:
    """Run a call for each digest, a few at a time; raises the first error."""
    semaphore = asyncio.Semaphore(_CALLS_AT_ONCE)

    async def run_one(digest: str) -> None:
        async with semaphore:
            await run(digest)

    tasks = [asyncio.ensure_future(run_one(digest)) for digest in digests]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def write_surely(
    key_value: KeyValueService,
    key: str,
    *,
    make_value: Callable[[], bytes],
    is_kept: Callable[[bytes], bool],
) -> None:
    """Write a value unless one is stored that `is_kept` accepts.

    A lost answer is settled by reading. Raises `key_value_unavailable` when the value
    cannot be written; the caller has changed nothing that is in force by then.
    """
    for _ in range(_WRITE_ATTEMPTS):
        record = await key_value.get(key)
        if record is not None and is_kept(record.value):
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


async def swap_surely(
    key_value: KeyValueService, key: str, revision: int, value: bytes
) -> SwapResult:
    """Swap until the answer arrives; only the first of the attempts takes effect.

    An attempt that finds another revision may have been beaten by an earlier attempt
    whose answer was lost: the caller compares what is stored. Once one answer was
    lost, the error is `key_value_uncertain`, whatever the later attempts met.
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


def _stamp_time(data: bytes, time_s: float) -> bytes:
    return b"%d\n" % time_s + data


def strip_time(value: bytes) -> bytes:
    """Return the encoded sections of a part without the time of writing."""
    return value.partition(b"\n")[2]


def written_at_s(value: bytes) -> float:
    """Return when a part was written, in seconds since the Unix epoch."""
    stamp = value.partition(b"\n")[0]
    return float(stamp) if stamp.isdigit() else 0.0


def _is_near_removal(value: bytes, time_s: float) -> bool:
    return time_s - written_at_s(value) > UNUSED_PART_GRACE_S / 2
