"""Records of quarantined prompt parts in the key-value service.

Members that start later, or missed the evidence, learn of a quarantine from its record,
which ends with its lease, and of a release from its removal. Members write and remove
records in the order of their rank, so that usually one call is enough.
"""

import asyncio
import hashlib
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import rank_members
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.prompt_part_guard import (
    PART_QUARANTINE_S,
    PromptPartGuard,
)

CHECK_INTERVAL_S = 0.25
# Delay before a record is written or removed, for each member with a better rank.
# Longer than it takes to see another member's change.
RANK_DELAY_S = 1.5
RETRY_PAUSE_S = 1.0


class _Record(NamedTuple):
    part: str


class QuarantineRecords:
    """Writes records of this member's quarantines and applies those of others."""

    def __init__(
        self,
        *,
        part_guard: PromptPartGuard,
        directory: Directory,
        prefix: str,
        own_id: str,
        member_ids: Callable[[], frozenset[str]],
        key_value: KeyValueService,
        clock: MonotonicClock,
    ) -> None:
        self._part_guard = part_guard
        self._directory = directory
        self._prefix = prefix
        self._own_id = own_id
        self._member_ids = member_ids
        self._key_value = key_value
        self._clock = clock
        self._restored_at_s = directory.restored_at_s
        self._part_by_recorded_key: dict[str, str] = {}
        # Times since when a record and this member's quarantine differ.
        self._differs_since_s_by_key: dict[str, float] = {}
        directory.on_change(self._apply_records)

    async def run(self) -> None:
        """Write missing records and delete those of released parts until cancelled."""
        while True:
            try:
                await self.synchronize()
            except JaytrayError as err:
                get_logger().info("quarantine_not_recorded", error=str(err))
                await asyncio.sleep(RETRY_PAUSE_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def synchronize(self) -> None:
        """Make this member's changes to the records that are due."""
        self._part_guard.settle_crashes()
        part_by_key = {
            self._key_of(part): part
            for part in self._part_guard.quarantined_until_s_by_part
        }
        differing = part_by_key.keys() ^ self._part_by_recorded_key.keys()
        now_s = self._clock()
        self._differs_since_s_by_key = {
            key: self._differs_since_s_by_key.get(key, now_s) for key in differing
        }
        for key, since_s in self._differs_since_s_by_key.items():
            if now_s - since_s < self._rank(key) * RANK_DELAY_S:
                continue
            if key in part_by_key:
                await self._write(key, part_by_key[key])
            else:
                await self._remove(key)

    def _apply_records(self) -> None:
        """Apply records that appeared or vanished to this member's quarantine."""
        known = self._part_by_recorded_key
        if self._directory.restored_at_s != self._restored_at_s:
            # Records that the service lost are written again, not taken as removed.
            self._restored_at_s = self._directory.restored_at_s
            known.clear()
        records = {
            key: value
            for key, value in self._directory.records_by_key.items()
            if key.startswith(self._prefix)
        }
        for key in known.keys() - records.keys():
            self._part_guard.end_quarantine(known.pop(key))
        for key in records.keys() - known.keys():
            try:
                part = decode_json(records[key], _Record, peer=key).part
            except JaytrayError as err:
                get_logger().warning(
                    "quarantine_record_unreadable", record=key, error=str(err)
                )
                continue
            known[key] = part
            self._part_guard.quarantine(part)

    def _key_of(self, part: str) -> str:
        digest = hashlib.blake2b(part.encode(), digest_size=12).hexdigest()
        return f"{self._prefix}{digest}"

    def _rank(self, key: str) -> int:
        ranked = rank_members(key, self._member_ids())
        return ranked.index(self._own_id) if self._own_id in ranked else len(ranked)

    async def _write(self, key: str, part: str) -> None:
        lease_id = await self._key_value.grant_lease(PART_QUARANTINE_S)
        outcome = await self._key_value.compare_and_swap(
            key, ABSENT_REVISION, encode_json(_Record(part)), lease_id
        )
        get_logger().info(
            "quarantine_recorded", part=part, is_written=outcome.is_swapped
        )

    async def _remove(self, key: str) -> None:
        current = await self._key_value.get(key)
        if current is not None:
            await self._key_value.compare_and_swap(key, current.revision, None, "")
