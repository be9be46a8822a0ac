"""Keeps the local copy of the key-value service up to date.

One task watches for changes; a response proves that every change before the call is
known. Another task reads all keys: rarely while watches succeed, and at once when they
fail.

In a large fleet only one or two hubs and the placement leader watch. The other hubs
ask them, and the other members ask a hub of their group for changes; they watch
themselves while nobody has a young copy.

On a slow link, the response with a large route table takes much of the bound on a
change. Hence a table that another member has read comes from a hub, or is read without
a pause, in its newest version only. No read begins beside a watch that may still
respond in time, and reads that take long are rarer.
"""

import asyncio
import random
from collections.abc import Callable
from math import isfinite

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueRecord, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.directory_exchange import (
    DirectoryExchange,
    UpdateResult,
)
from jaytray_gateway.process.store_reach import RETRY_PAUSE_S, StoreReach
from jaytray_gateway.process.table_exchange import TableExchange

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
# Interval of the members' questions, and of hubs' questions and watches. A copy is then
# at most 1.4 s old, plus the time of the calls.
MEMBER_INTERVAL_S = 0.6
HUB_INTERVAL_S = 0.4
# The longest intervals as fractions of the bound.
MEMBER_INTERVAL_FRACTION = 0.2
HUB_INTERVAL_FRACTION = 0.13
# Wait of watches in a fleet with hubs. A longer one would show no change earlier, and
# as the age counts from its start, the copies of a group would be older.
HUB_WATCH_WAIT_S = 0.05
# Shortest pause between questions.
MIN_ASK_PAUSE_S = 0.1
# Ages of the copy, as fractions of the bound, at which a member asks its hubs again and
# at which it watches itself if none has answered. At random, as the copies of a group
# come from one hub and would all be as old.
ASK_AGE_FRACTIONS = (0.38, 0.42)
OWN_WATCH_AGE_FRACTIONS = (0.5, 0.55)
# In a fleet with hubs: the fractions that replace `MAX_COPY_AGE_FRACTION`, the time for
# which a late watch may respond, and the interval of reading all keys.
READ_AGE_FRACTIONS = (0.68, 0.75)
MAX_LATE_WATCH_FRACTION = 0.2
FOLLOWER_READ_INTERVAL_S = 30.0

# Called with the source of each update: hub, hub_table, watch or read.
CountUpdate = Callable[[str], None]


class StoreFollower:
    """Reads and watches the key-value service for the directory.

    `bound_s` is the shortest time within which a change must be in force. `reach` knows
    the outcome of all calls to the service. Without an `exchange`, the fleet has no
    hubs.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        key_value: KeyValueService,
        clock: MonotonicClock,
        rng: random.Random,
        bound_s: float,
        reach: StoreReach,
        exchange: DirectoryExchange | None = None,
        tables: TableExchange | None = None,
        count_update: CountUpdate = lambda _source: None,
    ) -> None:
        self._directory = directory
        self._key_value = key_value
        self._clock = clock
        self._rng = rng
        self._bound_s = bound_s
        self._reach = reach
        self._exchange = exchange
        self._tables = tables
        self._count_update = count_update
        self._hub_interval_s = min(HUB_INTERVAL_S, HUB_INTERVAL_FRACTION * bound_s)
        self._member_interval_s = min(
            MEMBER_INTERVAL_S, MEMBER_INTERVAL_FRACTION * bound_s
        )
        self._max_age_s = MAX_COPY_AGE_FRACTION * bound_s
        # Start and duration of the last successful read.
        self._read_at_s = -float("inf")
        self._read_s = 0.0
        self._read_requested = asyncio.Event()
        self._read_ended = asyncio.Event()
        self._is_reading = False
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
            self._is_reading = True
            try:
                read = await self._key_value.read_prefix("")
            except JaytrayError as err:
                self._directory.record_failed_read(begun_s, str(err))
                await self._reach.wait_to_retry()
                continue
            finally:
                self._is_reading = False
            self._read_at_s, self._read_s = begun_s, self._clock() - begun_s
            self._log_fetch("read", read.records, begun_s)
            self._directory.apply_read(read, begun_s)
            self._count_update("read")
            fraction = MAX_COPY_AGE_FRACTION
            if self._follows_hubs():
                fraction = self._rng.uniform(*READ_AGE_FRACTIONS)
            self._max_age_s = self._bound_s * fraction
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
            if self._follows_hubs() and await self._update_from_hub(
                directory.current_as_of_s
                + self._bound_s * self._rng.uniform(*OWN_WATCH_AGE_FRACTIONS)
            ):
                await self._pause(self._ask_pause_s, min_pause_fraction)
                min_pause_fraction = MIN_PAUSE_FRACTION
                continue
            self._watch_begun_s = begun_s = self._clock()
            try:
                batch = await self._key_value.watch(
                    "", directory.revision, self._watch_wait_s()
                )
            except JaytrayError as err:
                get_logger().info("store_watch_ended", error=str(err))
                await self._wait_for_read_or_hub()
                continue
            finally:
                self._watch_begun_s = None
            self._log_fetch("watch", batch.records, begun_s)
            directory.apply_batch(batch, begun_s)
            self._count_update("watch")
            await self._pause(self._watch_pause_s, min_pause_fraction)
            min_pause_fraction = MIN_PAUSE_FRACTION

    async def _wait_for_read_or_hub(self) -> None:
        """Wait after a failed watch until a read or a hub has updated the copy.

        Only reads are repeated, as two tasks would find the service away no sooner.
        """
        ends_s = self._clock() + WATCH_WAIT_S
        self._read_ended.clear()
        self._read_requested.set()
        while self._clock() < ends_s:
            if await wait_until_set(self._read_ended, RETRY_PAUSE_S):
                return
            if self._follows_hubs() and await self._update_from_hub(
                self._clock() + RETRY_PAUSE_S
            ):
                return

    def _follows_hubs(self) -> bool:
        """Return whether hubs are asked before the service."""
        exchange, directory = self._exchange, self._directory
        return (
            exchange is not None
            and exchange.is_used()
            and (self._is_rejected() or not exchange.is_source())
            and not directory.is_placement_leader
            # Otherwise the next watch finds that the service has been restored.
            and directory.restores == self._key_value.count_restores()
        )

    def _is_rejected(self) -> bool:
        """Return whether the service has not responded to this member for a while."""
        max_age_s = OWN_WATCH_AGE_FRACTIONS[0] * self._bound_s
        return self._reach.lost.is_set() and self._directory.age_s() > max_age_s

    async def _update_from_hub(self, ends_s: float) -> bool:
        """Return whether a hub has updated the copy, or a read has that it led to.

        No hub is asked after `ends_s`.
        """
        assert self._exchange is not None
        result = await self._exchange.update(ends_s)
        if result is UpdateResult.RESTORED:
            self._read_requested.set()
        if result is UpdateResult.LARGE:
            if await self._fetch_table(self._directory.route_table_revision() + 1):
                return True
            self._read_ended.clear()
            if not self._is_reading:
                self._read_requested.set()
            return await wait_until_set(self._read_ended, self._bound_s)
        if result is not UpdateResult.FRESH:
            return False
        self._count_update("hub")
        return True

    async def _pause(self, longest_s: Callable[[], float], min_fraction: float) -> None:
        """Pause between updates, and read route tables that are announced."""
        pause_s = longest_s() * self._rng.uniform(min_fraction, 1.0)
        while await wait_until_set(self._announced, pause_s):
            self._announced.clear()
            await self._read_announced_table()
            # All members have read at the same time.
            pause_s = longest_s() * self._rng.random()

    def _is_behind(self) -> bool:
        """Return whether another member knows a newer route table."""
        return self._announced_revision > self._directory.route_table_revision()

    async def _read_announced_table(self) -> None:
        """Get the announced table from a hub, or have all keys read until it is known.

        A watch would transfer each version in between.
        """
        if await self._fetch_table(self._announced_revision):
            return
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

    async def _fetch_table(self, revision: int) -> bool:
        """Return whether a hub has sent the table of this revision or a later one."""
        if self._tables is None or not self._follows_hubs():
            return False
        if not await self._tables.fetch(revision):
            return False
        self._count_update("hub_table")
        return True

    async def _wait_until_read_is_due(self) -> None:
        """Wait until a read is requested, the copy is old, or a target has lapsed."""
        while True:
            left_s = self._read_due_s() - self._clock()
            if left_s <= 0 or await wait_until_set(self._read_requested, left_s):
                return

    def _read_due_s(self) -> float:
        directory = self._directory
        stale_s = directory.current_as_of_s + self._max_age_s
        follows_hubs = self._follows_hubs()
        if self._watch_begun_s is not None:
            fraction = MAX_LATE_WATCH_FRACTION if follows_hubs else MAX_WATCH_FRACTION
            late_s = self._watch_begun_s + self._bound_s * fraction
            stale_s = max(stale_s, late_s)
        interval_s = FOLLOWER_READ_INTERVAL_S if follows_hubs else FULL_READ_INTERVAL_S
        interval_s = max(interval_s, FULL_READ_DURATIONS * self._read_s)
        if directory.has_lapsed_targets():
            interval_s = self._max_age_s
        return min(stale_s, self._read_at_s + interval_s)

    def _watch_wait_s(self) -> float:
        exchange = self._exchange
        if exchange is None or not exchange.is_used():
            return WATCH_WAIT_S
        is_leader = self._directory.is_placement_leader
        is_own_copy_only = is_leader and not exchange.is_source()
        return WATCH_WAIT_S if is_own_copy_only else HUB_WATCH_WAIT_S

    def _watch_pause_s(self) -> float:
        """Return the longest pause after a watch."""
        if self._directory.is_placement_leader:
            return LEADER_WATCH_PAUSE_S
        members = self._directory.member_count
        pause_s = WATCH_PAUSE_S + WATCH_PAUSE_S_PER_MEMBER * members
        pause_s = min(pause_s, WATCH_PAUSE_FRACTION * self._bound_s)
        if self._exchange is None or not self._exchange.is_used():
            return pause_s
        if self._exchange.is_source():
            next_s = self._directory.current_as_of_s + self._hub_interval_s
            return max(0.0, next_s - self._clock())
        return min(pause_s, self._time_to_ask_s())

    def _ask_pause_s(self) -> float:
        """Return the longest pause after an update from a hub."""
        is_asked = self._exchange is not None and self._exchange.is_asked()
        interval_s = self._hub_interval_s if is_asked else self._member_interval_s
        return min(interval_s, self._time_to_ask_s())

    def _time_to_ask_s(self) -> float:
        max_age_s = self._bound_s * self._rng.uniform(*ASK_AGE_FRACTIONS)
        return max(MIN_ASK_PAUSE_S, max_age_s - self._directory.age_s())

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
