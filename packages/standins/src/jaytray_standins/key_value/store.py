"""In-memory key-value store with revisions, leases and long-poll watches.

Each write is assigned the next store-wide revision. A watch from any revision is
served from the last change of each key, deletions included, or from each write; a read
as of an older revision is served from a bounded history of writes.
"""

import asyncio
import collections
import copy
import itertools
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.keyvalue import (
    ABSENT_REVISION,
    MAX_VALUE_BYTES,
    KeyValueRecord,
    SwapResult,
    WatchBatch,
)
from jaytray_standins.virtual_time import Sleep

_HISTORY_WRITES = 20_000


class ValueTooLargeError(Exception):
    """A value exceeds the limit; nothing was written."""


class _Write(NamedTuple):
    record: KeyValueRecord
    is_deletion: bool


class _Lease(NamedTuple):
    ttl_s: float
    expires_at_s: float
    keys: set[str]


class StoreCopy(NamedTuple):
    """A copy of a store's state."""

    revision: int
    last_write_by_key: dict[str, _Write]
    lease_by_id: dict[str, _Lease]
    lease_id_by_key: dict[str, str]
    lease_numbers: "itertools.count[int]"


class KeyValueStore:
    """State of the key-value service; `sleep` must follow the time of `clock`.

    `calls_by_function` counts the calls; a watch that waits counts once.
    `reports_every_write` has watches report the versions of a key in between as well.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        sleep: Sleep = asyncio.sleep,
        max_value_bytes: int = MAX_VALUE_BYTES,
        reports_every_write: bool = False,
    ) -> None:
        self.clock = clock
        self.sleep = sleep
        self.max_value_bytes = max_value_bytes
        self.reports_every_write = reports_every_write
        self.revision = 0
        self.restores = 0
        self.calls_by_function: collections.Counter[str] = collections.Counter()
        self._last_write_by_key: dict[str, _Write] = {}
        self._history: collections.deque[_Write] = collections.deque(
            maxlen=_HISTORY_WRITES
        )
        self._lease_by_id: dict[str, _Lease] = {}
        self._lease_id_by_key: dict[str, str] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()

    def get(self, key: str) -> KeyValueRecord | None:
        """Return the record of `key`, or None."""
        self._begin("get")
        return self._find(key)

    def get_prefix(self, prefix: str) -> list[KeyValueRecord]:
        """Return the records whose keys start with `prefix`, in key order."""
        self._begin("get_prefix")
        return sorted(
            write.record
            for key, write in self._last_write_by_key.items()
            if key.startswith(prefix) and not write.is_deletion
        )

    def get_as_of(self, prefix: str, revision: int) -> list[KeyValueRecord]:
        """Return the records under `prefix` as they were at `revision`."""
        self._begin("get_prefix")
        write_by_key = {
            write.record.key: write
            for write in self._history
            if write.record.revision <= revision and write.record.key.startswith(prefix)
        }
        return sorted(w.record for w in write_by_key.values() if not w.is_deletion)

    def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: str
    ) -> SwapResult:
        """Write `value` if the key's revision is the expected one.

        If the lease has ended, the call fails with the revision found. Writing
        without a lease detaches the key from its lease.
        """
        self._begin("compare_and_swap")
        if value is not None and len(value) > self.max_value_bytes:
            raise ValueTooLargeError(key)
        found = self._find(key)
        found_revision = found.revision if found else ABSENT_REVISION
        is_lease_gone = bool(lease_id) and lease_id not in self._lease_by_id
        if found_revision != expected_revision or is_lease_gone:
            return SwapResult(False, found_revision)
        if value is None and found is None:
            return SwapResult(True, ABSENT_REVISION)
        self._write(key, value)
        if lease_id and value is not None:
            self._lease_id_by_key[key] = lease_id
            self._lease_by_id[lease_id].keys.add(key)
        return SwapResult(True, ABSENT_REVISION if value is None else self.revision)

    def grant_lease(self, ttl_s: float) -> str:
        """Return the id of a new lease that ends `ttl_s` from now unless extended."""
        self._begin("grant_lease")
        lease_id = f"lease-{next(self._lease_numbers)}"
        self._lease_by_id[lease_id] = _Lease(ttl_s, self.clock() + ttl_s, set())
        self._changed.set()
        return lease_id

    def keep_lease(self, lease_id: str) -> bool:
        """Extend a lease by its time to live; False when it has ended."""
        self._begin("keep_lease")
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return False
        expires_at_s = self.clock() + lease.ttl_s
        self._lease_by_id[lease_id] = lease._replace(expires_at_s=expires_at_s)
        return True

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self._begin("revoke_lease")
        self._end_lease(lease_id)

    async def watch(self, prefix: str, after: int, wait_s: float) -> WatchBatch:
        """Return the changes under `prefix` after a revision, waiting for the first."""
        self._begin("watch")
        deadline_s = self.clock() + wait_s
        while True:
            self._expire_leases()
            batch = self._changes(prefix, after)
            remaining_s = deadline_s - self.clock()
            if batch.records or remaining_s <= 0:
                return batch
            await self._wait_for_change(remaining_s)

    def copy_state(self) -> StoreCopy:
        """Return a copy of the state."""
        leases = {
            lease_id: lease._replace(keys=set(lease.keys))
            for lease_id, lease in self._lease_by_id.items()
        }
        return StoreCopy(
            self.revision,
            dict(self._last_write_by_key),
            leases,
            dict(self._lease_id_by_key),
            copy.copy(self._lease_numbers),
        )

    def restore(self, state: StoreCopy) -> None:
        """Go on from a copy; revisions and lease ids are given out again."""
        self.revision = state.revision
        self._last_write_by_key = dict(state.last_write_by_key)
        self._lease_by_id = dict(state.lease_by_id)
        self._lease_id_by_key = dict(state.lease_id_by_key)
        self._lease_numbers = copy.copy(state.lease_numbers)
        self._history.clear()
        self.restores += 1
        self._changed.set()

    def _begin(self, function: str) -> None:
        self.calls_by_function[function] += 1
        self._expire_leases()

    def _find(self, key: str) -> KeyValueRecord | None:
        write = self._last_write_by_key.get(key)
        return None if write is None or write.is_deletion else write.record

    def _changes(self, prefix: str, after: int) -> WatchBatch:
        writes = (
            itertools.takewhile(
                lambda write: write.record.revision > after, reversed(self._history)
            )
            if self.reports_every_write
            else self._last_write_by_key.values()
        )
        records = [
            write.record
            for write in writes
            if write.record.revision > after and write.record.key.startswith(prefix)
        ]
        records.sort(key=lambda record: record.revision)
        return WatchBatch(records, max(self.revision, after))

    def _write(self, key: str, value: bytes | None) -> None:
        lease_id = self._lease_id_by_key.pop(key, "")
        if lease_id in self._lease_by_id:
            self._lease_by_id[lease_id].keys.discard(key)
        self.revision += 1
        record = KeyValueRecord(key, value or b"", self.revision)
        write = _Write(record, value is None)
        self._last_write_by_key[key] = write
        self._history.append(write)
        self._changed.set()

    def _expire_leases(self) -> None:
        now_s = self.clock()
        for lease_id, lease in list(self._lease_by_id.items()):
            if lease.expires_at_s <= now_s:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        lease = self._lease_by_id.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else ():
            self._write(key, None)

    async def _wait_for_change(self, max_wait_s: float) -> None:
        """Wait for a write or the end of a lease, at most `max_wait_s`."""
        if self._changed.is_set():
            self._changed = asyncio.Event()
        expiries = [lease.expires_at_s for lease in self._lease_by_id.values()]
        next_expiry_s = min(expiries, default=float("inf")) - self.clock()
        wait_s = min(max_wait_s, max(next_expiry_s, 0.0))
        waiters = [
            asyncio.ensure_future(self._changed.wait()),
            asyncio.ensure_future(self.sleep(wait_s)),
        ]
        try:
            await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for waiter in waiters:
                waiter.cancel()
