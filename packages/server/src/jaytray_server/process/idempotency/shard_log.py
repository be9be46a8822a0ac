"""One shard's log in the key-value service, extended by compare-and-swap.

Any VM may append at any time. Of concurrent writers, only one matches the revision of
the last segment; the others read its entries and decide again which of theirs to
append. An owner that was paused, or two VMs that both consider themselves the owner,
are therefore harmless.
"""

from collections.abc import Iterable

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock, WallClock
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueRecord, KeyValueService
from jaytray_server.process.idempotency.records import (
    MAX_SEGMENT_BYTES,
    RETENTION_S,
    Entry,
    EntryKind,
    Record,
    Segment,
    StoredResponse,
    segment_key,
    segment_number,
    shard_prefix,
)

MAX_APPEND_ATTEMPTS = 8
# A cached end of the log older than this is read again, as segments that it refers
# to may have expired.
MAX_LOG_END_AGE_S = RETENTION_S / 4
_FIRST_SEGMENT = 1


class ShardLog:
    """Cache of one shard on this VM: its records and the last segment of its log."""

    def __init__(
        self,
        *,
        shard: int,
        key_value: KeyValueService,
        clock: MonotonicClock,
        wall_clock: WallClock,
    ) -> None:
        self.shard = shard
        self.records_by_key: dict[str, Record] = {}
        self._key_value = key_value
        self._clock = clock
        self._wall_clock = wall_clock
        self._number = 0
        self._revision = ABSENT_REVISION
        self._segment = Segment(False, [])
        self._applied_entries = 0
        self._read_at_s = -float("inf")

    async def append(self, entries: Iterable[Entry]) -> None:
        """Append those of `entries` that change the state of their key.

        Afterwards `records_by_key` includes them and all earlier entries. Raises
        `key_value_unavailable` when this call certainly wrote nothing, otherwise
        `key_value_uncertain`.
        """
        requested = list(entries)
        uncertain: JaytrayError | None = None
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                await self._catch_up()
                effective = [e for e in requested if self._changes_state(e)]
                if not effective or await self._try_append(effective):
                    return
            except JaytrayError as err:
                if err.code == messages.KEY_VALUE_UNCERTAIN.code:
                    uncertain = err
                    self._read_at_s = -float("inf")
                    continue
                raise uncertain or err from err
        raise uncertain or _contention_error(self.shard)

    async def refresh(self) -> None:
        """Read entries that other VMs have appended."""
        self._read_at_s = -float("inf")
        await self._catch_up()

    async def read_response(self, record: Record) -> StoredResponse | None:
        """Return the stored response of `record`, or None if it was deleted."""
        found = await self._key_value.get(segment_key(self.shard, record.segment))
        if found is None:
            return None
        for entry in _decode(found).entries:
            is_same = entry.claim_id == record.claim_id
            if is_same and entry.kind is EntryKind.DONE:
                return entry.response
        return None

    async def delete_expired(self) -> int:
        """Delete segments whose records have all expired; return how many.

        The last segment is never deleted, so that segment numbers are not reused.
        """
        found = await self._key_value.get_prefix(shard_prefix(self.shard))
        oldest_kept_s = self._wall_clock() - RETENTION_S
        deleted = 0
        for record in found[:-1]:
            segment = _decode(record)
            if any(e.at_s >= oldest_kept_s for e in segment.entries):
                break
            await self._key_value.compare_and_swap(
                record.key, record.revision, None, ""
            )
            deleted += 1
        self._drop_expired_records(oldest_kept_s)
        return deleted

    def live_record(self, key_digest: str) -> Record | None:
        """Return the record of a key, or None if it is absent or has expired."""
        record = self.records_by_key.get(key_digest)
        if record is None or record.claimed_at_s < self._wall_clock() - RETENTION_S:
            return None
        return record

    def _changes_state(self, entry: Entry) -> bool:
        record = self.live_record(entry.key_digest)
        if entry.kind is EntryKind.CLAIMED:
            return record is None
        if record is None or record.claim_id != entry.claim_id:
            return False
        return record.kind is EntryKind.CLAIMED

    async def _try_append(self, entries: list[Entry]) -> bool:
        number, revision = self._number, self._revision
        existing = self._segment.entries
        if self._segment.is_sealed:
            number, revision, existing = number + 1, ABSENT_REVISION, []
        combined = [*existing, *entries]
        value = encode_json(Segment(False, combined))
        is_full = len(value) > MAX_SEGMENT_BYTES
        if is_full:
            value = encode_json(Segment(True, combined))
        result = await self._key_value.compare_and_swap(
            segment_key(self.shard, number), revision, value, ""
        )
        if not result.is_swapped:
            self._read_at_s = -float("inf")
            return False
        self._apply_segment(number, result.revision, Segment(is_full, combined))
        return True

    async def _catch_up(self) -> None:
        """Read new entries of the log unless the cached end is recent."""
        age_s = self._clock() - self._read_at_s
        if age_s <= MAX_LOG_END_AGE_S:
            return
        if age_s == float("inf") and self._number:
            if await self._read_forward():
                return
        await self._read_all()

    async def _read_forward(self) -> bool:
        number = self._number
        while True:
            found = await self._key_value.get(segment_key(self.shard, number))
            if found is None:
                break
            self._apply_segment(number, found.revision, _decode(found))
            if not self._segment.is_sealed:
                return True
            number += 1
        is_at_end = number == self._number + 1
        return is_at_end and self._segment.is_sealed

    async def _read_all(self) -> None:
        self.records_by_key.clear()
        self._number, self._applied_entries = 0, 0
        found = await self._key_value.get_prefix(shard_prefix(self.shard))
        if not found:
            self._apply_segment(_FIRST_SEGMENT, ABSENT_REVISION, Segment(False, []))
        for record in found:
            number = segment_number(record.key)
            self._apply_segment(number, record.revision, _decode(record))

    def _apply_segment(self, number: int, revision: int, segment: Segment) -> None:
        if number != self._number:
            self._applied_entries = 0
        for entry in segment.entries[self._applied_entries :]:
            self._apply_entry(entry, number)
        self._number, self._revision, self._segment = number, revision, segment
        self._applied_entries = len(segment.entries)
        self._read_at_s = self._clock()

    def _apply_entry(self, entry: Entry, number: int) -> None:
        record = self.records_by_key.get(entry.key_digest)
        if entry.kind is EntryKind.CLAIMED:
            if record is None or record.claimed_at_s < entry.at_s - RETENTION_S:
                self.records_by_key[entry.key_digest] = _claimed_record(entry, number)
            return
        if record is None or record.claim_id != entry.claim_id:
            return
        if entry.kind is EntryKind.RELEASED:
            del self.records_by_key[entry.key_digest]
            return
        self.records_by_key[entry.key_digest] = record._replace(
            kind=entry.kind, segment=number
        )

    def _drop_expired_records(self, oldest_kept_s: float) -> None:
        for key, record in list(self.records_by_key.items()):
            if record.claimed_at_s < oldest_kept_s:
                del self.records_by_key[key]


def _claimed_record(entry: Entry, number: int) -> Record:
    return Record(
        kind=EntryKind.CLAIMED,
        request_digest=entry.request_digest,
        claim_id=entry.claim_id,
        claimed_at_s=entry.at_s,
        running_until_s=entry.running_until_s,
        segment=number,
    )


def _decode(record: KeyValueRecord) -> Segment:
    return decode_json(record.value, Segment, peer="kv")


def _contention_error(shard: int) -> JaytrayError:
    return JaytrayError(
        messages.KEY_VALUE_UNAVAILABLE,
        step=Step.IDEMPOTENCY,
        peer="kv",
        detail=f"shard {shard}: every append lost to a concurrent write",
    )
