"""Keeps the local copy of the key-value service up to date.

One task watches for changes; a response proves that every change before the call is
known. Another task reads all keys: rarely while watches succeed, and at once when they
fail.
"""

import asyncio
from math import isfinite

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueRecord, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.process.directory import Directory

# Age of the copy, as a fraction of the bound on a change, at which all keys are read if
# no watch has succeeded, so that a change that no watch reports is in force in time.
MAX_COPY_AGE_FRACTION = 0.75
# Interval of reading all keys while watches succeed, in case one missed a change.
FULL_READ_INTERVAL_S = 8.0
# Pause after a failed call. Short, because the process stops serving when its copy is
# too old.
RETRY_PAUSE_S = 0.25
WATCH_WAIT_S = 10.0
# Changes within the pause after a watch are fetched by one call. The calls of all
# members have a cost, so the pause grows with the number of members, up to a fraction
# of the bound. The placement leader pauses for less, as it waits for targets to
# complete its orders.
WATCH_PAUSE_S = 0.4
WATCH_PAUSE_S_PER_MEMBER = 0.025
WATCH_PAUSE_FRACTION = 0.6
LEADER_WATCH_PAUSE_S = 0.2


class StoreFollower:
    """Reads and watches the key-value service for the directory.

    `bound_s` is the shortest time within which a change must be in force.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        key_value: KeyValueService,
        clock: MonotonicClock,
        bound_s: float,
    ) -> None:
        self._directory = directory
        self._key_value = key_value
        self._clock = clock
        self._bound_s = bound_s
        self._read_at_s = -float("inf")
        self._read_requested = asyncio.Event()

    async def run_reads(self) -> None:
        """Read all keys whenever a read is due, until cancelled."""
        while True:
            begun_s = self._clock()
            try:
                read = await self._key_value.read_prefix("")
            except JaytrayError as err:
                self._directory.record_failed_read(begun_s, str(err))
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._read_at_s = begun_s
            self._log_fetch("read", read.records, begun_s)
            self._directory.apply_read(read, begun_s)
            self._read_requested.clear()
            await self._wait_until_read_is_due()

    async def run_watch(self) -> None:
        """Watch for changes and apply them until cancelled."""
        directory = self._directory
        while True:
            if directory.revision == 0:
                await asyncio.sleep(LEADER_WATCH_PAUSE_S)
                continue
            begun_s = self._clock()
            try:
                batch = await self._key_value.watch(
                    "", directory.revision, WATCH_WAIT_S
                )
            except JaytrayError as err:
                get_logger().info("store_watch_ended", error=str(err))
                self._read_requested.set()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._log_fetch("watch", batch.records, begun_s)
            directory.apply_batch(batch, begun_s)
            await asyncio.sleep(self._watch_pause_s())

    async def _wait_until_read_is_due(self) -> None:
        """Wait until a read is requested, the copy is old, or a target has lapsed."""
        directory = self._directory
        while True:
            max_age_s = self._bound_s * MAX_COPY_AGE_FRACTION
            longest_s = (
                max_age_s if directory.has_lapsed_targets() else FULL_READ_INTERVAL_S
            )
            due_s = min(
                directory.current_as_of_s + max_age_s, self._read_at_s + longest_s
            )
            left_s = due_s - self._clock()
            if left_s <= 0 or await wait_until_set(self._read_requested, left_s):
                return

    def _watch_pause_s(self) -> float:
        if self._directory.is_placement_leader:
            return LEADER_WATCH_PAUSE_S
        members = self._directory.member_count
        pause_s = WATCH_PAUSE_S + WATCH_PAUSE_S_PER_MEMBER * members
        return min(pause_s, WATCH_PAUSE_FRACTION * self._bound_s)

    def _log_fetch(
        self, function: str, records: list[KeyValueRecord], begun_s: float
    ) -> None:
        """Log a call that brought newer versions of the route table.

        `copy_age_ms` is the longest time for which they have been in the store.
        """
        sizes = [len(record.value) for record in self._directory.newer_tables(records)]
        age_s = self._directory.age_s()
        if sizes:
            get_logger().info(
                "route_table_fetched",
                function=function,
                versions=len(sizes),
                bytes=sum(sizes),
                call_ms=round((self._clock() - begun_s) * 1000),
                copy_age_ms=round(age_s * 1000) if isfinite(age_s) else "",
            )
