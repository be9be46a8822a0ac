"""Leased records of what members have found out, in the key-value service.

Members that start later, or missed the evidence, learn of an item from its record,
which ends with its lease, and of its end from the removal of the record. Members write
and remove records in the order of their rank, so that usually one call is enough.
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

CHECK_INTERVAL_S = 0.25
# Delay before a record is written or removed, for each member with a better rank.
# Longer than it takes to see another member's change.
RANK_DELAY_S = 1.5
RETRY_PAUSE_S = 1.0


class RecordKind(NamedTuple):
    """A kind of recorded item, and the functions of the subsystem that decides on it.

    `lease_s` is how long an item lasts. `items` returns those that should be recorded,
    `add` and `end` apply those that other members have recorded and removed.
    """

    lease_s: float
    items: Callable[[], frozenset[str]]
    add: Callable[[str], None]
    end: Callable[[str], None]


class _Record(NamedTuple):
    kind: str
    item: str


class LeasedRecords:
    """Writes records of this member's items and applies those of others."""

    def __init__(
        self,
        *,
        kinds_by_name: dict[str, RecordKind],
        directory: Directory,
        prefix: str,
        own_id: str,
        member_ids: Callable[[], frozenset[str]],
        key_value: KeyValueService,
        clock: MonotonicClock,
    ) -> None:
        self._kinds_by_name = kinds_by_name
        self._directory = directory
        self._prefix = prefix
        self._own_id = own_id
        self._member_ids = member_ids
        self._key_value = key_value
        self._clock = clock
        self._restored_at_s = directory.restored_at_s
        self._record_by_key: dict[str, _Record] = {}
        # Times since when a record and this member's items differ.
        self._differs_since_s_by_key: dict[str, float] = {}
        directory.on_change(self._apply_records)

    async def run(self) -> None:
        """Write missing records and remove those of ended items until cancelled."""
        while True:
            try:
                await self._synchronize()
            except JaytrayError as err:
                get_logger().info("item_not_recorded", error=str(err))
                await asyncio.sleep(RETRY_PAUSE_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _synchronize(self) -> None:
        """Make this member's changes to the records that are due."""
        wanted_by_key = {
            self._key_of(record): record
            for name, kind in self._kinds_by_name.items()
            for record in (_Record(name, item) for item in kind.items())
        }
        now_s = self._clock()
        self._differs_since_s_by_key = {
            key: self._differs_since_s_by_key.get(key, now_s)
            for key in wanted_by_key.keys() ^ self._record_by_key.keys()
        }
        for key, since_s in self._differs_since_s_by_key.items():
            if now_s - since_s < self._rank(key) * RANK_DELAY_S:
                continue
            if key in wanted_by_key:
                await self._write(key, wanted_by_key[key])
            else:
                await self._remove(key)

    def _apply_records(self) -> None:
        """Apply records that appeared or vanished to this member's items."""
        known = self._record_by_key
        if self._directory.restored_at_s != self._restored_at_s:
            # Records that the service lost are written again, not taken as removed.
            self._restored_at_s = self._directory.restored_at_s
            known.clear()
        values_by_key = {
            key: value
            for key, value in self._directory.records_by_key.items()
            if key.startswith(self._prefix)
        }
        for key in known.keys() - values_by_key.keys():
            record = known.pop(key)
            self._kinds_by_name[record.kind].end(record.item)
        for key in values_by_key.keys() - known.keys():
            try:
                record = decode_json(values_by_key[key], _Record, peer=key)
            except JaytrayError as err:
                get_logger().warning(
                    "item_record_unreadable", record=key, error=str(err)
                )
                continue
            kind = self._kinds_by_name.get(record.kind)
            if kind is not None:
                known[key] = record
                kind.add(record.item)

    def _key_of(self, record: _Record) -> str:
        # Items come from callers and may be too long for a key.
        digest = hashlib.blake2b(record.item.encode(), digest_size=12).hexdigest()
        return f"{self._prefix}{record.kind}/{digest}"

    def _rank(self, key: str) -> int:
        ranked = rank_members(key, self._member_ids())
        return ranked.index(self._own_id) if self._own_id in ranked else len(ranked)

    async def _write(self, key: str, record: _Record) -> None:
        lease_s = self._kinds_by_name[record.kind].lease_s
        lease_id = await self._key_value.grant_lease(lease_s)
        outcome = await self._key_value.compare_and_swap(
            key, ABSENT_REVISION, encode_json(record), lease_id
        )
        get_logger().info(
            "item_recorded",
            kind=record.kind,
            item=record.item,
            is_written=outcome.is_swapped,
        )

    async def _remove(self, key: str) -> None:
        current = await self._key_value.get(key)
        if current is not None:
            await self._key_value.compare_and_swap(key, current.revision, None, "")
