"""Local copy of the key-value service: route table, targets and members.

`StoreFollower` keeps it up to date. The version of the route table never decreases
within a process. When the service returns from an older copy, what it lost stays valid
for a short time, in which it is written again.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import (
    ABSENT_REVISION,
    KeyValueRecord,
    KeyValueService,
    PrefixRead,
    WatchBatch,
)
from jaytray_core.logs import get_logger
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.change_history import ChangeHistory, KeyState
from jaytray_gateway.process.ended_starts import EndedStarts
from jaytray_gateway.process.evacuations import Evacuations
from jaytray_gateway.process.store_outage import REREGISTRATION_S, StoreOutage
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.version.route_table import ClientAccount, RouteTable, Service

# Wait of a watch that only fetches the changes so far.
UPDATE_WAIT_S = 0.001

OnChange = Callable[[], None]


class TargetDeparture(NamedTuple):
    """A start of a target that takes no more requests.

    `removed_at` is the revision at which its entry was removed, 0 if it is leaving.
    """

    target_id: str
    incarnation: str
    removed_at: int = 0


OnDeparture = Callable[[list[TargetDeparture]], None]
# Called with the revision at which the route table was written.
OnRouteTable = Callable[[int], None]


class Directory:
    """Local copy of the key-value service.

    `current_as_of_s` is the start of the last successful read or watch, by a clock that
    also runs while the VM is suspended. All earlier changes are known. A watch goes on
    after `revision`, which is 0 before the first read. `restores` is the number of the
    service's restores at the last read, None before the first.
    """

    def __init__(
        self,
        *,
        key_value: KeyValueService,
        adapter: PlatformAdapter,
        clock: MonotonicClock,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.evacuations = evacuations or Evacuations(clock=clock)
        self.route_table: RouteTable | None = None
        self.targets_by_id: dict[str, TargetEntry] = {}
        self.records_by_key: dict[str, bytes] = {}
        self.member_count = 1
        self.is_placement_leader = False
        self.revision = 0
        self.current_as_of_s = -float("inf")
        # When the service was last found to have returned from an older copy.
        self.restored_at_s = -float("inf")
        self.restores: int | None = None
        self.history = ChangeHistory()
        self.outage = StoreOutage(clock=clock)
        self._key_value = key_value
        self._adapter = adapter
        self._clock = clock
        self._ended = EndedStarts()
        self._departures: list[TargetDeparture] = []
        self._listeners: list[OnChange] = []
        self._departure_listeners: list[OnDeparture] = []
        self._route_table_listeners: list[OnRouteTable] = []
        self._update_lock = asyncio.Lock()

    def on_change(self, listener: OnChange) -> None:
        """Call `listener` after each change of the copy."""
        self._listeners.append(listener)

    def on_departure(self, listener: OnDeparture) -> None:
        """Call `listener` with departures that this member is the first to know."""
        self._departure_listeners.append(listener)

    def on_route_table(self, listener: OnRouteTable) -> None:
        """Call `listener` after each change of the route table."""
        self._route_table_listeners.append(listener)

    def route_table_revision(self) -> int:
        """Return the revision of the newest known route table, 0 before the first."""
        state = self.history.state_by_key.get(self._adapter.route_table_key)
        return state.revision if state is not None else ABSENT_REVISION

    def age_s(self) -> float:
        """Return the maximum age of the copy."""
        return self._clock() - self.current_as_of_s

    async def wait_until_current(self, as_of_s: float, timeout_s: float) -> bool:
        """Return whether all changes before `as_of_s` are known within `timeout_s`.

        Fetches changes at once. Callers that wait at the same time share the calls.
        """
        try:
            async with asyncio.timeout(timeout_s), self._update_lock:
                if self.current_as_of_s < as_of_s and self.revision:
                    begun_s = self._clock()
                    batch = await self._key_value.watch(
                        "", self.revision, UPDATE_WAIT_S
                    )
                    self.apply_batch(batch, begun_s)
        except (TimeoutError, JaytrayError) as err:
            get_logger().info("directory_not_updated", error=str(err) or "timed out")
        return self.current_as_of_s >= as_of_s

    def find_account(self, name: str) -> ClientAccount | None:
        """Return a client account of the route table in force."""
        table = self.route_table
        return table.accounts_by_name.get(name) if table is not None else None

    def find_service(self, name: str) -> Service | None:
        """Return a service of the route table in force."""
        table = self.route_table
        return table.services_by_name.get(name) if table is not None else None

    def targets_of(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that accept new requests."""
        # The read that removes a lapsed target may come later than its time is over.
        overdue = self.outage.overdue_ids()
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service
            and not target.is_leaving
            and target.target_id not in overdue
            and not self.evacuations.is_in_force(target.failure_domain)
        ]

    def apply_departures(
        self, departures: list[TargetDeparture]
    ) -> list[TargetDeparture]:
        """Apply departures that another source tells of; returns the new ones."""
        news = []
        removed = []
        for departure in departures:
            target = self.targets_by_id.get(departure.target_id)
            is_same = target and target.incarnation == departure.incarnation
            if target is None or not is_same or target.is_leaving:
                continue
            news.append(departure)
            if departure.removed_at:
                key = self._adapter.targets_prefix + departure.target_id
                removed.append(KeyValueRecord(key, b"", departure.removed_at))
            else:
                self._ended.note_leaving(target)
                self.targets_by_id[target.target_id] = target._replace(is_leaving=True)
        self._apply(removed)
        self._departures.clear()
        if len(news) > len(removed):
            self._notify_listeners()
        return news

    def takes_requests(self, target: TargetEntry) -> bool:
        """Return whether a target that was found earlier still accepts new requests."""
        known = self.targets_by_id.get(target.target_id)
        return (
            known is not None
            and known.incarnation == target.incarnation
            and not known.is_leaving
            and target.target_id not in self.outage.overdue_ids()
            and not self.evacuations.is_in_force(target.failure_domain)
        )

    def apply_read(self, read: PrefixRead, begun_s: float) -> None:
        """Apply a read of all keys that began at `begun_s`."""
        self.outage.record_success()
        self._notice_restore()
        removed = self.history.record_read(read, self.revision)
        self.revision = max(self.revision, read.revision)
        self._expire_lapsed_targets(read.records)
        self._apply([*read.records, *removed])
        # Only now, as an evacuation is counted from the copy before this read.
        self.note_current(begun_s)
        self._announce_departures()

    def _notice_restore(self) -> None:
        """Check whether the service has returned from an older copy since last read.

        Targets and members that it lost need time to register again.
        """
        restores = self._key_value.count_restores()
        is_restored = self.restores is not None and restores != self.restores
        self.restores = restores
        if is_restored:
            get_logger().warning("store_restored", restores=restores)
            self.restored_at_s = self._clock()
            self.outage.record_restore()

    def apply_batch(
        self, batch: WatchBatch, begun_s: float, *, is_from_hub: bool = False
    ) -> None:
        """Apply the response to a watch that began at `begun_s`.

        A hub has already told the others of the departures among its changes.
        """
        if batch.records:
            self._apply(batch.records)
            if is_from_hub:
                self._departures.clear()
            self._announce_departures()
        self.revision = max(self.revision, batch.revision)
        self.note_current(begun_s)

    def newer_tables(self, records: list[KeyValueRecord]) -> list[KeyValueRecord]:
        """Return those of the records that are newer versions of the route table."""
        key, known = self._adapter.route_table_key, self.route_table_revision()
        return [r for r in records if r.key == key and r.revision > known]

    def note_current(self, as_of_s: float) -> None:
        """Record that all changes before `as_of_s` are known."""
        self.current_as_of_s = max(self.current_as_of_s, as_of_s)

    def record_failed_read(self, begun_s: float, error: str) -> None:
        """Record that a read that began at `begun_s` failed."""
        self.outage.record_failure(begun_s, error)

    def has_lapsed_targets(self) -> bool:
        """Return whether a target without an entry may still register again."""
        return self.outage.has_lapsed_targets()

    def _apply(self, records: list[KeyValueRecord]) -> None:
        is_changed = False
        for record in records:
            if not self.history.is_newer(record.key, record.revision):
                continue
            state = KeyState(record.value, record.revision)
            self.history.state_by_key[record.key] = state
            is_changed = True
            # One record must not keep the others from being applied.
            try:
                self._apply_record(record)
            except Exception as err:
                key = record.key
                get_logger().error(
                    "record_not_applied", record=key, error=repr(err), exc_info=err
                )
                target_id = key.removeprefix(self._adapter.targets_prefix)
                self.targets_by_id.pop(target_id, None)
        if is_changed:
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            try:
                listener()
            except Exception as err:
                get_logger().error("change_not_handled", error=repr(err), exc_info=err)

    def _announce_departures(self) -> None:
        departures, self._departures = self._departures, []
        if departures:
            for departure_listener in self._departure_listeners:
                departure_listener(departures)

    def _apply_record(self, record: KeyValueRecord) -> None:
        adapter = self._adapter
        if record.key == adapter.route_table_key:
            self._apply_route_table(record)
        elif record.key.startswith(adapter.targets_prefix):
            target_id = record.key.removeprefix(adapter.targets_prefix)
            if record.value:
                self._apply_target(target_id, record)
            else:
                self._remove_target(target_id, record.revision)
        elif record.key.startswith(adapter.records_prefix):
            if record.value:
                self.records_by_key[record.key] = record.value
            else:
                self.records_by_key.pop(record.key, None)
        elif adapter.evacuations_prefix and record.key.startswith(
            adapter.evacuations_prefix
        ):
            domain = record.key.removeprefix(adapter.evacuations_prefix)
            self.evacuations.apply(
                domain,
                is_requested=bool(record.value),
                absent_as_of_s=self.current_as_of_s,
                is_lost=self._clock() - self.restored_at_s < REREGISTRATION_S
                and not self.evacuations.was_seen_since(domain, self.restores or 0),
                restores=self.restores or 0,
            )

    def _apply_route_table(self, record: KeyValueRecord) -> None:
        try:
            table = self._adapter.decode_route_table(record.value)
        except JaytrayError as err:
            get_logger().error("route_table_unreadable", error=str(err))
            return
        if self.route_table is not None and table.version < self.route_table.version:
            get_logger().warning("route_table_older", version=table.version)
            return
        listeners = self._route_table_listeners if self.route_table else []
        self.route_table = table
        for listener in listeners:
            listener(record.revision)
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
        if self._ended.is_outdated(entry):
            get_logger().info(
                "target_entry_outdated",
                target=target_id,
                incarnation=entry.incarnation,
                heartbeat_count=entry.heartbeat_count,
            )
            return
        if self._ended.is_leaving(entry):
            entry = entry._replace(is_leaving=True)
        elif entry.is_leaving:
            self._ended.note_leaving(entry)
            self._departures.append(TargetDeparture(target_id, entry.incarnation))
        before = self.targets_by_id.get(target_id)
        self.outage.forget_lapsed(target_id)
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

    def _remove_target(self, target_id: str, revision: int) -> None:
        target = self.targets_by_id.get(target_id)
        if target is None:
            return
        self._ended.note_removed(target)
        if not target.is_leaving:
            if self.outage.try_lapse(target_id):
                return
            self._departures.append(
                TargetDeparture(target_id, target.incarnation, revision)
            )
        del self.targets_by_id[target_id]
        get_logger().info("target_gone", target=target_id)

    def _expire_lapsed_targets(self, records: list[KeyValueRecord]) -> None:
        prefix = self._adapter.targets_prefix
        registered = {
            record.key.removeprefix(prefix)
            for record in records
            if record.key.startswith(prefix) and not self._is_outdated(record)
        }
        for target_id in self.outage.expire_lapsed(registered):
            self.targets_by_id.pop(target_id, None)
            get_logger().info("target_gone", target=target_id, lapsed=True)

    def _is_outdated(self, record: KeyValueRecord) -> bool:
        """Return whether a target's record is older than its removal."""
        target_id = record.key.removeprefix(self._adapter.targets_prefix)
        if not self._ended.was_removed(target_id):
            return False
        try:
            entry = self._adapter.decode_target(target_id, record.value)
        except JaytrayError:
            return False
        return self._ended.is_outdated(entry)
