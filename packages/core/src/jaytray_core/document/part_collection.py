"""Deletes parts that no version in the history references.

A part is deleted only when it is older than a grace period far above the longest
change, and only by compare-and-swap: a part that a change in progress is about to
reference is younger, or was rewritten and has another revision.
"""

from jaytray_core.clock import WallClock, wall_clock
from jaytray_core.document.part_store import (
    PARTS_PREFIX,
    UNUSED_PART_GRACE_S,
    part_key,
    strip_timestamp,
    written_at_s,
)
from jaytray_core.document.parts import decode_head, needed_digests
from jaytray_core.document.store import HEADS_PREFIX, HISTORY_PREFIX
from jaytray_core.keyvalue import KeyValueService

# Unused parts are collected after a change whose version is a multiple of this.
COLLECTION_INTERVAL_VERSIONS = 50


async def collect_unused_parts(
    key_value: KeyValueService, *, clock: WallClock = wall_clock
) -> int:
    """Delete unused parts and return how many were deleted.

    Parts are listed before the heads are read, so that every head that references a
    listed part is seen.
    """
    parts = await key_value.get_prefix(PARTS_PREFIX)
    used = await _used_keys(key_value, {r.key: strip_timestamp(r.value) for r in parts})
    deleted = 0
    for record in parts:
        age_s = clock() - written_at_s(record.value)
        if record.key in used or age_s <= UNUSED_PART_GRACE_S:
            continue
        result = await key_value.compare_and_swap(record.key, record.revision, None, "")
        deleted += result.is_swapped
    return deleted


async def _used_keys(
    key_value: KeyValueService, part_by_key: dict[str, bytes]
) -> set[str]:
    """Return the keys of the parts that a head or the history references.

    Heads are read first: a head that is replaced in between is then found in the
    history. A manifest that was not listed is too recent for its parts to be deleted.
    """
    used: set[str] = set()
    for prefix in (HEADS_PREFIX, HISTORY_PREFIX):
        for record in await key_value.get_prefix(prefix):
            if record.value:
                used |= _referenced_part_keys(
                    decode_head(record.value).body_digest, part_by_key
                )
    return used


def _referenced_part_keys(body_digest: str, part_by_key: dict[str, bytes]) -> set[str]:
    key = part_key(body_digest)
    listed = {body_digest: part_by_key[key]} if key in part_by_key else {}
    return {part_key(digest) for digest in needed_digests(body_digest, listed)}
