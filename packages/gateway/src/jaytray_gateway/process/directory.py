"""Local copy of the key-value service: route table, targets and members.

One task watches for changes; a response proves that every change before the call is
known. Another task reads all keys: rarely while watches succeed, and at once when they
fail. The version of the route table never decreases within a process. When the
service returns from an older copy, what it lost stays valid for a short time, in which
it is written again.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueRecord, KeyValueService, WatchBatch
from jaytray_core.logs import get_logger
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.version.route_table import ClientAccount, RouteTable

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
# Wait of a watch that only fetches the changes so far.
UPDATE_WAIT_S = 0.001
# Targets register again within about 2 s of the end of an outage.
REREGISTRATION_S = 2.2
# Reads that fail for longer than this count as an outage of the key-value service, in
# which registrations may expire.
MIN_OUTAGE_S = 0.5

OnChange = Callable[[], None]


class _KeyState(NamedTuple):
    """Last known state of a key; `value` is empty once the key was removed."""

    value: bytes
    revision: int


class Directory:
    """Local copy of the key-value service.

    `bound_s` is the shortest time within which a change must be in force.

    `current_as_of_s` is the start of the last successful read or watch, by a clock that
    also runs while the VM is suspended. All earlier changes are known.
    """

    def __init__(
        self,
        *,
        key_value: KeyValueService,
        adapter: PlatformAdapter,
        clock: MonotonicClock,
        bound_s: float,
    ) -> None:
        self.route_table: RouteTable | None = None
        self.targets_by_id: dict[str, TargetEntry] = {}
        self.records_by_key: dict[str, bytes] = {}
        self.member_count = 1
        self.is_placement_leader = False
        self._bound_s = bound_s
        self.current_as_of_s = -float("inf")
        # When the service was last found to have returned from an older copy.
        self.restored_at_s = -float("inf")
        self._restores: int | None = None
        self._read_at_s = -float("inf")
        self._key_value = key_value
        self._adapter = adapter
        self._clock = clock
        self._state_by_key: dict[str, _KeyState] = {}
        self._lapsed_until_s_by_id: dict[str, float] = {}
        self._revision = 0
        self._failing_since_s: float | None = None
        self._outage_ended_s = -float("inf")
        self._listeners: list[OnChange] = []
        self._read_requested = asyncio.Event()
        self._update_lock = asyncio.Lock()

    def on_change(self, listener: OnChange) -> None:
        """Call `listener` after each change of the copy."""
        self._listeners.append(listener)

    def age_s(self) -> float:
        """Return the maximum age of the copy."""
        return self._clock() - self.current_as_of_s

    async def wait_until_current(self, as_of_s: float, timeout_s: float) -> bool:
        """Return whether all changes before `as_of_s` are known within `timeout_s`.

        Fetches changes at once. Callers that wait at the same time share the calls.
        """
        try:
            async with asyncio.timeout(timeout_s), self._update_lock:
                if self.current_as_of_s < as_of_s and self._revision:
                    begun_s = self._clock()
                    batch = await self._key_value.watch(
                        "", self._revision, UPDATE_WAIT_S
                    )
                    self._apply_batch(batch)
                    self.current_as_of_s = max(self.current_as_of_s, begun_s)
        except (TimeoutError, JaytrayError) as err:
            get_logger().info("directory_not_updated", error=str(err) or "timed out")
        return self.current_as_of_s >= as_of_s

    def find_account(self, name: str) -> ClientAccount | None:
        """Return a client account of the route table in force."""
        table = self.route_table
        return table.accounts_by_name.get(name) if table is not None else None

    def targets_of(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that accept new requests."""
        now_s = self._clock()
        # The read that removes a lapsed target may come later than its time is over.
        overdue = {
            target_id
            for target_id, until_s in self._lapsed_until_s_by_id.items()
            if until_s <= now_s
        }
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service
            and not target.is_leaving
            and target.target_id not in overdue
        ]

    async def run_reads(self) -> None:
        """Read all keys whenever a read is due, until cancelled."""
        while True:
            begun_s = self._clock()
            try:
                await self._read_all(begun_s)
            except JaytrayError as err:
                if self._failing_since_s is None:
                    self._failing_since_s = begun_s
                    get_logger().warning("store_lost", error=str(err))
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._read_requested.clear()
            await self._wait_until_read_is_due()

    async def run_watch(self) -> None:
        """Watch for changes and apply them until cancelled."""
        while True:
            if self._revision == 0:
                await asyncio.sleep(LEADER_WATCH_PAUSE_S)
                continue
            try:
                begun_s = self._clock()
                batch = await self._key_value.watch("", self._revision, WATCH_WAIT_S)
            except JaytrayError as err:
                get_logger().info("store_watch_ended", error=str(err))
                self._read_requested.set()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._apply_batch(batch)
            self.current_as_of_s = max(self.current_as_of_s, begun_s)
            await asyncio.sleep(self._watch_pause_s())

    async def _wait_until_read_is_due(self) -> None:
        """Wait until a read is requested, the copy is old, or a target has lapsed."""
        while True:
            max_age_s = self._bound_s * MAX_COPY_AGE_FRACTION
            longest_s = (
                max_age_s if self._lapsed_until_s_by_id else FULL_READ_INTERVAL_S
            )
            due_s = min(self.current_as_of_s + max_age_s, self._read_at_s + longest_s)
            left_s = due_s - self._clock()
            if left_s <= 0 or await wait_until_set(self._read_requested, left_s):
                return

    def _watch_pause_s(self) -> float:
        if self.is_placement_leader:
            return LEADER_WATCH_PAUSE_S
        pause_s = WATCH_PAUSE_S + WATCH_PAUSE_S_PER_MEMBER * self.member_count
        return min(pause_s, WATCH_PAUSE_FRACTION * self._bound_s)

    async def _read_all(self, begun_s: float) -> None:
        records, revision = await self._key_value.read_prefix("")
        self._end_outage()
        is_restored = self._notice_restore()
        self._read_at_s = begun_s
        self.current_as_of_s = max(self.current_as_of_s, begun_s)
        found = {record.key for record in records}
        # Watch responses may have arrived during the read. What they say of a key that
        # is missing is outdated, unless it was written after the read.
        removed = [
            KeyValueRecord(key, b"", revision)
            for key, state in self._state_by_key.items()
            if key not in found and state.value and state.revision <= revision
        ]
        self._revision = max(self._revision, revision)
        self._expire_lapsed_targets(found)
        if is_restored:
            records = [r for r in records if not self._is_before_leaving(r)]
        self._apply([*records, *removed], removed_keys={r.key for r in removed})

    def _end_outage(self) -> None:
        if self._failing_since_s is None:
            return
        now_s = self._clock()
        away_s = now_s - self._failing_since_s
        self._failing_since_s = None
        get_logger().info("store_regained", away_s=round(away_s, 2))
        if away_s > MIN_OUTAGE_S:
            self._outage_ended_s = now_s
            for target_id in self._lapsed_until_s_by_id:
                self._lapsed_until_s_by_id[target_id] = now_s + REREGISTRATION_S

    def _notice_restore(self) -> bool:
        """Return whether the service has returned from an older copy since last read.

        Targets and members that it lost need time to register again.
        """
        restores = self._key_value.count_restores()
        is_restored = self._restores is not None and restores != self._restores
        self._restores = restores
        if is_restored:
            get_logger().warning("store_restored", restores=restores)
            self.restored_at_s = self._outage_ended_s = self._clock()
        return is_restored

    def _is_before_leaving(self, record: KeyValueRecord) -> bool:
        """Return whether a record is that of a leaving target before it was leaving."""
        prefix = self._adapter.targets_prefix
        known = self.targets_by_id.get(record.key.removeprefix(prefix))
        if known is None or not known.is_leaving or not record.key.startswith(prefix):
            return False
        try:
            entry = self._adapter.decode_target(known.target_id, record.value)
        except JaytrayError:
            # Logged when the record is applied.
            return False
        return entry.incarnation == known.incarnation and not entry.is_leaving

    def _is_in_outage(self) -> bool:
        since_s = self._failing_since_s
        return since_s is not None and self._clock() - since_s > MIN_OUTAGE_S

    def _apply_batch(self, batch: WatchBatch) -> None:
        if batch.records:
            self._apply(batch.records)
        self._revision = max(self._revision, batch.revision)

    def _apply(
        self,
        records: list[KeyValueRecord],
        removed_keys: frozenset[str] | set[str] = frozenset(),
    ) -> None:
        is_changed = False
        for record in records:
            state = self._state_by_key.get(record.key)
            is_removed = record.key in removed_keys
            if (
                state is not None
                and record.revision <= state.revision
                and not is_removed
            ):
                continue
            self._state_by_key[record.key] = _KeyState(record.value, record.revision)
            self._apply_record(record)
            is_changed = True
        if is_changed:
            for listener in self._listeners:
                listener()

    def _apply_record(self, record: KeyValueRecord) -> None:
        adapter = self._adapter
        if record.key == adapter.route_table_key:
            self._apply_route_table(record)
        elif record.key.startswith(adapter.targets_prefix):
            target_id = record.key.removeprefix(adapter.targets_prefix)
            if record.value:
                self._apply_target(target_id, record)
            else:
                self._remove_target(target_id)
        elif record.key.startswith(adapter.records_prefix):
            if record.value:
                self.records_by_key[record.key] = record.value
            else:
                self.records_by_key.pop(record.key, None)

    def _apply_route_table(self, record: KeyValueRecord) -> None:
        try:
            table = self._adapter.decode_route_table(record.value)
        except JaytrayError as err:
            get_logger().error("route_table_unreadable", error=str(err))
            return
        if self.route_table is not None and table.version < self.route_table.version:
            get_logger().warning("route_table_older", version=table.version)
            return
        self.route_table = table
        get_logger().info(
            "route_table_in_force",
            version=table.version,
            revision=record.revision,
            routes=sum(map(len, table.routes_by_host.values())),
            accounts=len(table.accounts_by_name),
        )

    def _apply_target(self, target_id: str, record: KeyValueRecord) -> None:
        try:
            entry = self._adapter.decode_target(target_id, record.value)
        except JaytrayError as err:
            get_logger().info("target_unreadable", target=target_id, error=str(err))
            self.targets_by_id.pop(target_id, None)
            return
        before = self.targets_by_id.get(target_id)
        self._lapsed_until_s_by_id.pop(target_id, None)
        self.targets_by_id[target_id] = entry
        if before is None or (before.incarnation, before.is_leaving) != (
            entry.incarnation,
            entry.is_leaving,
        ):
            get_logger().info(
                "target_known",
                target=target_id,
                service=entry.service,
                software_version=entry.software_version,
                incarnation=entry.incarnation,
                is_leaving=entry.is_leaving,
                revision=record.revision,
            )

    def _remove_target(self, target_id: str) -> None:
        if target_id not in self.targets_by_id:
            return
        now_s = self._clock()
        outage_end_s = now_s if self._is_in_outage() else self._outage_ended_s
        until_s = outage_end_s + REREGISTRATION_S
        if now_s < until_s and not self.targets_by_id[target_id].is_leaving:
            self._lapsed_until_s_by_id[target_id] = until_s
            get_logger().info("target_lapsed", target=target_id)
            return
        del self.targets_by_id[target_id]
        get_logger().info("target_gone", target=target_id)

    def _expire_lapsed_targets(self, found_keys: set[str]) -> None:
        now_s = self._clock()
        for target_id, until_s in list(self._lapsed_until_s_by_id.items()):
            if self._adapter.targets_prefix + target_id in found_keys:
                del self._lapsed_until_s_by_id[target_id]
            elif now_s >= until_s:
                del self._lapsed_until_s_by_id[target_id]
                self.targets_by_id.pop(target_id, None)
                get_logger().info("target_gone", target=target_id, lapsed=True)
