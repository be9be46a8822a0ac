"""Plans one group of targets and sends the orders, under the group's lease.

Each pass renews the lease, reads the records and load reports of the targets, plans,
and sends the orders that are safe now. An order is first written to its target's
record by compare-and-swap and then sent with the record's revision as its fencing
number. Right before sending, the lease is checked against the monotonic clock. Orders
without a visible effect are sent again with the same id. No order is sent while the
key-value service is unavailable.
"""

import asyncio
import contextlib
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.document.model import Document, Target
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.targets import Order, OrderKind, ResidentState
from jaytray_server.ports import CurrentDocument, GetTargetConnection
from jaytray_server.process.decision_log import DecisionLog, DecisionRecord
from jaytray_server.process.demand import DemandMeter
from jaytray_server.process.placement.changes import (
    PlannedChange,
    PlanSettings,
    order_for,
)
from jaytray_server.process.placement.groups import Group
from jaytray_server.process.placement.lease import GroupLease
from jaytray_server.process.placement.memory import LOAD_KINDS, UNLOAD_KINDS
from jaytray_server.process.placement.order_tracker import OrderTracker, SafetyRules
from jaytray_server.process.placement.pacing import LoadLimits, LoadPacer
from jaytray_server.process.placement.planner import plan
from jaytray_server.process.placement.record import (
    StoredRecord,
    TargetRecord,
    append_order,
    decode_record,
    encode_record,
    fill_fencing_numbers,
    record_key,
)
from jaytray_server.process.placement.state import TargetState
from jaytray_server.process.target_table import TargetTable

PASS_PERIOD_S = 1.0
READS_PER_S = 8
READ_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 2.0
RESEND_AFTER_S = 2.0
# A target whose load reports fail for this long counts as unusable.
UNREACHABLE_AFTER_S = 5.0

Sleep = Callable[[float], Awaitable[None]]
NewOrderId = Callable[[], str]


class GroupConfig(NamedTuple):
    """The group and its load limits, read again at the start of each pass."""

    group: Group
    limits: LoadLimits


class GroupController:
    """Plans one group while this VM holds its lease.

    Run `run()` as one task; cancelling it releases the lease. `current_config`
    returns the group as defined by the document in force.
    """

    def __init__(
        self,
        *,
        group: str,
        vm_id: str,
        key_value: KeyValueService,
        connection_to: GetTargetConnection,
        current_document: CurrentDocument,
        current_config: Callable[[], GroupConfig],
        table: TargetTable,
        demand: DemandMeter,
        clock: MonotonicClock,
        sleep: Sleep = asyncio.sleep,
        settings: PlanSettings = PlanSettings(),
        rules: SafetyRules = SafetyRules(),
        decisions: DecisionLog | None = None,
        new_order_id: NewOrderId = lambda: uuid.uuid4().hex,
    ) -> None:
        self.group = group
        self._vm_id = vm_id
        self._key_value = key_value
        self._connection_to = connection_to
        self._current_document = current_document
        self._current_config = current_config
        self._table = table
        self._demand = demand
        self._clock = clock
        self._sleep = sleep
        self._settings = settings
        self._rules = rules
        self._decisions = decisions or DecisionLog()
        self._new_order_id = new_order_id
        self._pacer = LoadPacer(clock=clock, limits=current_config().limits)
        self._wake = asyncio.Event()
        self._requested_by_adapter: dict[str, str] = {}
        self._term = 0
        self._taken_over_at_s = float("-inf")
        self._trackers_by_target: dict[str, OrderTracker] = {}
        self._failing_since_s: dict[str, float] = {}
        self.lease = GroupLease(
            group=group, vm_id=vm_id, key_value=key_value, clock=clock
        )

    async def run(self) -> None:
        """Run passes until cancelled."""
        try:
            while True:
                try:
                    await self.run_pass()
                except JaytrayError as err:
                    get_logger().warning(
                        "placement_pass_failed", group=self.group, code=err.code
                    )
                await self._wait_for_next_pass()
        finally:
            await self.lease.release()

    def request_adapter(self, adapter: str, target: str) -> None:
        """Start a pass at once, which loads the adapter that a request waits for."""
        self._requested_by_adapter[adapter] = target
        self._wake.set()

    async def run_pass(self) -> int:
        """Run one pass; return the number of new orders that were sent.

        Raises `key_value_unavailable` or `key_value_uncertain`.
        """
        if not await self.lease.acquire_or_renew():
            self._trackers_by_target.clear()
            return 0
        if self._term != self.lease.term:
            self._begin_term()
        document = self._current_document()
        config = self._current_config()
        self._pacer.limits = config.limits
        targets = [
            document.targets_by_name[name]
            for name in sorted(config.group.targets)
            if name in document.targets_by_name
        ]
        await self._read_records(targets)
        await asyncio.gather(*(self._read_report(t, len(targets)) for t in targets))
        states = [self._target_state(target) for target in targets]
        requested, self._requested_by_adapter = self._requested_by_adapter, {}
        changes = plan(
            document=document,
            states=states,
            demand_by_name=self._demand.total_demand(),
            settings=self._settings,
            models=config.group.models,
            requested_targets_by_adapter=requested,
        )
        sent = await self._send_allowed_orders(document, changes, states)
        await asyncio.gather(*(self._resend_unsettled(t, states) for t in targets))
        return sent

    def _begin_term(self) -> None:
        self._term = self.lease.term
        self._taken_over_at_s = self._clock()
        self._trackers_by_target.clear()
        get_logger().info("placement_lease_taken", group=self.group, vm=self._vm_id)

    def _tracker(self, target: str) -> OrderTracker:
        tracker = self._trackers_by_target.get(target)
        if tracker is None:
            tracker = OrderTracker(
                rules=self._rules, taken_over_at_s=self._taken_over_at_s
            )
            self._trackers_by_target[target] = tracker
        return tracker

    async def _read_records(self, targets: list[Target]) -> None:
        for target in targets:
            tracker = self._tracker(target.name)
            if not tracker.is_record_read:
                record = await self._key_value.get(record_key(target.name))
                tracker.set_record(decode_record(record), is_confirmed=False)

    async def _read_report(self, target: Target, group_size: int) -> None:
        tracker = self._tracker(target.name)
        if not self._needs_report(tracker, target, group_size):
            return
        connection = self._connection_to(target.name)
        asked_at_s = self._clock()
        try:
            if connection is None:
                raise TimeoutError
            async with asyncio.timeout(READ_TIMEOUT_S):
                report = await connection.load_report()
        except (JaytrayError, TimeoutError):
            self._failing_since_s.setdefault(target.name, asked_at_s)
            return
        self._failing_since_s.pop(target.name, None)
        self._table.record_report(report)
        tracker.take_report(report, asked_at_s=asked_at_s)

    def _needs_report(
        self, tracker: OrderTracker, target: Target, group_size: int
    ) -> bool:
        age_s = tracker.report_age_s(self._clock())
        if age_s >= max(PASS_PERIOD_S, group_size / READS_PER_S):
            return True
        if target.name in self._failing_since_s or tracker.unsettled_orders(target):
            return True
        known_report = self._table.report_of(target.name)
        return bool(
            known_report
            and tracker.report
            and known_report.boot_id != tracker.report.boot_id
        )

    def _target_state(self, target: Target) -> TargetState:
        tracker = self._tracker(target.name)
        failing_since_s = self._failing_since_s.get(target.name, self._clock())
        is_unreachable = self._clock() - failing_since_s >= UNREACHABLE_AFTER_S
        is_leaving = bool(tracker.report and tracker.report.is_leaving)
        is_usable = not (is_unreachable or is_leaving or target.is_drained)
        return tracker.state(target, is_usable=is_usable)

    async def _send_allowed_orders(
        self,
        document: Document,
        changes: list[PlannedChange],
        states: list[TargetState],
    ) -> int:
        models_loading, adapters_loading = _count_loading(states)
        sent = 0
        for change in changes:
            is_allowed = self._pacer.allows(
                change,
                models_loading=models_loading,
                adapters_loading=adapters_loading,
            )
            if not is_allowed:
                continue
            if not await self._send_new_order(
                document.targets_by_name[change.target], change
            ):
                continue
            sent += 1
            if change.kind is OrderKind.LOAD_MODEL:
                models_loading += 1
            adapters_loading += change.kind is OrderKind.LOAD_ADAPTER
        return sent

    async def _send_new_order(self, target: Target, change: PlannedChange) -> bool:
        """Write the order to the target's record, then send it; return whether sent."""
        tracker = self._tracker(target.name)
        order = order_for(change, self._new_order_id(), fencing_number=0)
        if not tracker.allows(order, target) or tracker.report is None:
            return False
        live_ids = frozenset(o.order_id for o in tracker.live_orders(target))
        value = append_order(tracker.record.value, tracker.report, order, live_ids)
        revision = await self._write_record(target, tracker, value)
        if revision is None:
            return False
        tracker.note_own_order(order.order_id)
        self._record_decision(change, revision)
        if change.kind is OrderKind.LOAD_MODEL:
            self._pacer.note_load()
        return await self._send(target, order._replace(fencing_number=revision))

    async def _write_record(
        self, target: Target, tracker: OrderTracker, value: TargetRecord
    ) -> int | None:
        """Write the target's record and return its new revision.

        Returns None when another writer changed the record first. After an unknown
        outcome the next pass reads the record again.
        """
        expected = tracker.record.revision
        tracker.is_record_read = False
        swapped = await self._key_value.compare_and_swap(
            record_key(target.name), expected, encode_record(value), ""
        )
        if not swapped.is_swapped:
            return None
        revision = swapped.revision
        record = StoredRecord(fill_fencing_numbers(value, revision), revision)
        tracker.set_record(record, is_confirmed=True)
        return revision

    async def _send(self, target: Target, order: Order) -> bool:
        connection = self._connection_to(target.name)
        if connection is None or not self.lease.is_valid():
            return False
        self._tracker(target.name).note_sent(order.order_id, self._clock())
        if not self._rules.uses_fencing:
            order = order._replace(fencing_number=0)
        with contextlib.suppress(JaytrayError, TimeoutError):
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                reply = await connection.order(order)
            get_logger().info(
                "placement_order",
                target=target.name,
                order_id=order.order_id,
                is_accepted=reply.is_accepted,
                detail=reply.detail,
            )
        return True

    async def _resend_unsettled(
        self, target: Target, states: list[TargetState]
    ) -> None:
        """Send again the unsettled orders last sent `RESEND_AFTER_S` or longer ago."""
        tracker = self._tracker(target.name)
        now = self._clock()
        unsettled = tracker.unsettled_orders(target) if tracker.is_record_read else []
        if unsettled and not tracker.is_record_confirmed:
            # The record may have been read stale; only a successful write proves that
            # it is current.
            if await self._write_record(target, tracker, tracker.record.value) is None:
                return
        for order in unsettled:
            is_due = now - tracker.sent_at_s(order.order_id) >= RESEND_AFTER_S
            if is_due and not _unloads_last_replica(order, states, target.name):
                await self._send(target, order)

    def _record_decision(self, change: PlannedChange, revision: int) -> None:
        get_logger().info(
            "placement_decision",
            group=self.group,
            target=change.target,
            accelerator=change.accelerator,
            kind=str(change.kind),
            name=change.name,
            version=change.version,
            reason=change.reason,
            fencing_number=revision,
        )
        self._decisions.add(
            DecisionRecord(
                change.target,
                "placement",
                change.target,
                f"{change.kind} {change.name}: {change.reason}",
                float(change.urgency),
                1,
                self._clock(),
            )
        )

    async def _wait_for_next_pass(self) -> None:
        waits = {
            asyncio.ensure_future(self._sleep(PASS_PERIOD_S)),
            asyncio.ensure_future(self._wake.wait()),
        }
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
            self._wake.clear()


def _count_loading(states: list[TargetState]) -> tuple[int, int]:
    """Return how many models and how many adapters are or may be loading."""
    loading: set[tuple[str, int, str, bool]] = set()
    for state in states:
        target = state.target.name
        for resident in state.residents:
            if resident.state is ResidentState.LOADING:
                is_model = resident.name == resident.model
                loading.add((target, resident.accelerator, resident.name, is_model))
        for order in state.orders:
            if order.kind in LOAD_KINDS and order.order_id in state.unsettled_order_ids:
                is_model = order.kind is OrderKind.LOAD_MODEL
                loading.add((target, order.accelerator, order.name, is_model))
    models = sum(is_model for *_, is_model in loading)
    return models, len(loading) - models


def _unloads_last_replica(order: Order, states: list[TargetState], target: str) -> bool:
    """Return whether the order would unload the last ready replica."""
    if order.kind not in UNLOAD_KINDS:
        return False
    serving = [
        (state.target.name, resident.accelerator)
        for state in states
        if state.is_usable
        for resident in state.residents
        if resident.name == order.name and resident.state is ResidentState.READY
    ]
    return serving == [(target, order.accelerator)]
