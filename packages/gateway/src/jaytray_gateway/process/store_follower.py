"""Keeps the local copy of the key-value service up to date.

One task watches for changes; a response proves that every change before the call is
known. Another task reads all keys: rarely while watches succeed, and at once when they
fail.

On a slow link, the response with a large route table takes much of the bound on a
change. Hence a table that another member has read is read without a pause, in its
newest version only. No read begins beside a watch that may still respond in time, and
reads that take long are rarer.
"""

import asyncio
import random
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
# Time, as a fraction of the bound, within which a watch may still respond.
MAX_WATCH_FRACTION = 0.4
# Shortest interval, as a fraction of the bound, of reads for announced route tables.
ANNOUNCED_READ_FRACTION = 0.1
# Interval of reading all keys while watches succeed, in case one missed a change.
FULL_READ_INTERVAL_S = 8.0
# The same interval as a multiple of the time that a read takes.
FULL_READ_DURATIONS = 20.0
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
# Pauses vary between this fraction and the whole, as members that started at the same
# time would also watch at the same time, and all notice a change as late as any.
MIN_PAUSE_FRACTION = 0.8


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
        rng: random.Random,
        bound_s: float,
    ) -> None:
        self._directory = directory
        self._key_value = key_value
        self._clock = clock
        self._rng = rng
        self._bound_s = bound_s
        # Start and duration of the last successful read.
        self._read_at_s = -float("inf")
        self._read_s = 0.0
        self._read_requested = asyncio.Event()
        self._read_ended = asyncio.Event()
        # Start of the watch that is in progress.
        self._watch_begun_s: float | None = None
        # Highest revision of the route table that another member has announced.
        self._announced_revision = 0
        self._announced = asyncio.Event()

    def announce_route_table(self, revision: int) -> None:
        """Have a route table read that another member has read."""
        known = self._directory.route_table_revision()
        if revision > max(known, self._announced_revision):
            self._announced_revision = revision
            self._announced.set()

    async def run_reads(self) -> None:
        """Read all keys whenever a read is due, until cancelled."""
        while True:
            begun_s = self._clock()
            self._read_requested.clear()
            try:
                read = await self._key_value.read_prefix("")
            except JaytrayError as err:
                self._directory.record_failed_read(begun_s, str(err))
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._read_at_s, self._read_s = begun_s, self._clock() - begun_s
            self._log_fetch("read", read.records, begun_s)
            self._directory.apply_read(read, begun_s)
            self._read_ended.set()
            await self._wait_until_read_is_due()

    async def run_watch(self) -> None:
        """Watch for changes and apply them until cancelled."""
        directory = self._directory
        min_pause_fraction = 0.0
        while True:
            if directory.revision == 0:
                await asyncio.sleep(LEADER_WATCH_PAUSE_S)
                continue
            self._watch_begun_s = begun_s = self._clock()
            try:
                batch = await self._key_value.watch(
                    "", directory.revision, WATCH_WAIT_S
                )
            except JaytrayError as err:
                get_logger().info("store_watch_ended", error=str(err))
                self._read_requested.set()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            finally:
                self._watch_begun_s = None
            self._log_fetch("watch", batch.records, begun_s)
            directory.apply_batch(batch, begun_s)
            await self._pause(min_pause_fraction)
            min_pause_fraction = MIN_PAUSE_FRACTION

    async def _pause(self, min_fraction: float) -> None:
        """Pause between watches, and read route tables that are announced."""
        pause_s = self._watch_pause_s() * self._rng.uniform(min_fraction, 1.0)
        while await wait_until_set(self._announced, pause_s):
            self._announced.clear()
            await self._read_announced_table()
            # All members have read at the same time.
            pause_s = self._watch_pause_s() * self._rng.random()

    def _is_behind(self) -> bool:
        """Return whether another member knows a newer route table."""
        return self._announced_revision > self._directory.route_table_revision()

    async def _read_announced_table(self) -> None:
        """Have all keys read until the announced table is known.

        A watch would transfer each version in between.
        """
        interval_s = self._bound_s * ANNOUNCED_READ_FRACTION
        await asyncio.sleep(self._read_at_s + interval_s - self._clock())
        revision, asked_s = self._announced_revision, self._clock()
        while self._is_behind() and self._read_at_s < asked_s:
            self._read_ended.clear()
            self._read_requested.set()
            if not await wait_until_set(self._read_ended, self._bound_s):
                break
        if self._announced_revision > revision:
            self._announced.set()
        elif self._is_behind():
            # The service does not have it, or does not respond.
            self._announced_revision = self._directory.route_table_revision()

    async def _wait_until_read_is_due(self) -> None:
        """Wait until a read is requested, the copy is old, or a target has lapsed."""
        while True:
            left_s = self._read_due_s() - self._clock()
            if left_s <= 0 or await wait_until_set(self._read_requested, left_s):
                return

    def _read_due_s(self) -> float:
        directory = self._directory
        max_age_s = self._bound_s * MAX_COPY_AGE_FRACTION
        stale_s = directory.current_as_of_s + max_age_s
        if self._watch_begun_s is not None:
            late_s = self._watch_begun_s + self._bound_s * MAX_WATCH_FRACTION
            stale_s = max(stale_s, late_s)
        interval_s = max(FULL_READ_INTERVAL_S, FULL_READ_DURATIONS * self._read_s)
        if directory.has_lapsed_targets():
            interval_s = max_age_s
        return min(stale_s, self._read_at_s + interval_s)

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
