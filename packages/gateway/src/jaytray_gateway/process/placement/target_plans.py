"""The leader's plans of all targets, built from reports and the directory."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_gateway.ports import PlatformAdapter, TargetReport
from jaytray_gateway.process.placement.orders import ORDER_PAUSE_S, OrderSender
from jaytray_gateway.process.placement.target_plan import PendingOrder, TargetPlan
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.version.route_table import Engine

# Called with a target and the model that has finished loading there.
OnLoaded = Callable[[TargetEntry, str], None]
# Starts a background task.
StartTask = Callable[[Coroutine[Any, Any, None]], None]


class TargetPlans:
    """Plans by target id, for one term of the leader."""

    def __init__(
        self,
        *,
        adapter: PlatformAdapter,
        orders: OrderSender,
        health: TargetHealth,
        clock: MonotonicClock,
        on_loaded: OnLoaded,
        start_task: StartTask,
    ) -> None:
        self._adapter = adapter
        self._orders = orders
        self._health = health
        self._clock = clock
        self._on_loaded = on_loaded
        self._start_task = start_task
        self._plan_by_id: dict[str, TargetPlan] = {}
        self._reading_ids: set[str] = set()

    def clear(self) -> None:
        """Discard all plans, at the end of a term."""
        self._plan_by_id.clear()

    def find(self, target_id: str) -> TargetPlan | None:
        """Return the plan of a target, if there is one."""
        return self._plan_by_id.get(target_id)

    def refresh(
        self, engine: Engine, entries_by_id: dict[str, TargetEntry]
    ) -> list[TargetPlan]:
        """Return the confirmed plans, updated from the directory.

        Reads the reports of targets whose plan is missing, unconfirmed or overdue.
        """
        now_s = self._clock()
        plans: list[TargetPlan] = []
        for entry in entries_by_id.values():
            plan = self._plan_by_id.get(entry.target_id)
            if plan is None or plan.incarnation != entry.incarnation:
                if not self._health.is_down(entry.target_id):
                    self._request_report(entry)
                continue
            loaded = plan.apply_entry(entry, now_s)
            if loaded is not None:
                self._on_loaded(entry, loaded)
            needs_report = plan.is_unconfirmed or plan.is_overdue(engine, now_s)
            if needs_report and plan.avoided_until_s <= now_s:
                self._request_report(entry)
            is_known = not plan.is_unconfirmed
            if is_known and not self._health.is_down(entry.target_id):
                plans.append(plan)
        return plans

    def _request_report(self, entry: TargetEntry) -> None:
        """Start reading the target's report, unless a read is in progress."""
        if entry.target_id not in self._reading_ids:
            self._reading_ids.add(entry.target_id)
            self._start_task(self._read_report(entry))

    async def _read_report(self, entry: TargetEntry) -> None:
        """Build a new plan from the target's own report.

        The target's lock is held, so no order is in flight and the previous plan has
        the outcome of the last one.
        """
        try:
            async with self._orders.lock_of(entry.target_id):
                report = await self._adapter.read_report(entry.address)
        except JaytrayError as err:
            get_logger().info(
                "target_report_failed", target=entry.target_id, error=str(err)
            )
            self._health.record_unreachable(entry.target_id, err.text)
            return
        finally:
            self._reading_ids.discard(entry.target_id)
        previous = self._plan_by_id.get(entry.target_id)
        if previous is not None and previous.incarnation != entry.incarnation:
            previous = None
        late_orders = self._orders.late_orders.of(entry.target_id)
        plan = _plan_from_report(entry, report, previous, late_orders)
        if plan.is_unconfirmed:
            plan.avoided_until_s = self._clock() + ORDER_PAUSE_S
        self._plan_by_id[entry.target_id] = plan


def _plan_from_report(
    entry: TargetEntry,
    report: TargetReport,
    previous: TargetPlan | None,
    late_orders: Iterable[PendingOrder],
) -> TargetPlan:
    """Return a plan built from a report and the still valid state of the previous plan.

    The fields of a report lag by some 100 ms, each by a different time, so a single
    report is not trusted: an order that has just completed may show neither as pending
    nor in the models. Two reports are trusted if they were read further apart than
    that, agree, and show no pending order.
    """
    plan = TargetPlan(
        entry=entry,
        adapters_by_model=report.adapters_by_model,
        order_count=report.order_count,
        unacknowledged_orders=late_orders,
    )
    plan.was_report_busy = report.is_busy
    if previous is None:
        plan.is_unconfirmed = True
        return plan
    plan.reserved_model = previous.reserved_model
    plan.reserved_at_s = previous.reserved_at_s
    for key in plan.used_at_s_by_adapter:
        plan.used_at_s_by_adapter[key] = previous.used_at_s_by_adapter.get(key, 0.0)
    if report.is_busy and previous.model_order is not None:
        plan.model_order = previous.model_order
        plan.has_model_step = True
        return plan
    plan.is_unconfirmed = (
        report.is_busy
        or previous.was_report_busy
        or previous.models != plan.models
        or previous.order_count != plan.order_count
    )
    return plan
