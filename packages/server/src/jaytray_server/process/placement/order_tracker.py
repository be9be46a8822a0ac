"""Tracks which orders to one target may still take effect.

`OrderTracker` combines the target's record with its load reports. An order may still
take effect:

- on a target that checks fencing numbers, until the target has settled the order or
  has seen a higher number, and `order_delay_s` has passed since it was last sent;
- on a target that ignores fencing numbers, until that delay has passed.

The delay applies even after the order was settled, because a target that restarts may
accept a duplicate of the order as a new one. It must have passed before the newest
report was requested, not merely by now, so that this report shows every effect of the
order. For orders of an earlier lease holder the delay starts when this VM acquired
the lease, because that holder sends nothing afterwards.
"""

from typing import NamedTuple

from jaytray_core.document.model import Target
from jaytray_core.targets import LoadReport, Order
from jaytray_server.process.placement.memory import (
    LOAD_KINDS,
    orders_conflict,
    worst_case_mib,
)
from jaytray_server.process.placement.record import (
    EMPTY_RECORD,
    StoredRecord,
    is_usable_report,
)
from jaytray_server.process.placement.state import TargetState


class SafetyRules(NamedTuple):
    """The rules that prevent memory overcommit; tests switch each of them off.

    `order_delay_s` is the longest time from sending an order until every load report
    requested from then on shows its effect, the lag of reports included.
    """

    order_delay_s: float = 30.0
    counts_orders: bool = True
    uses_fencing: bool = True
    successor_waits: bool = True


class OrderTracker:
    """The orders to one target and its newest usable load report."""

    def __init__(self, *, rules: SafetyRules, taken_over_at_s: float) -> None:
        self._rules = rules
        self._taken_over_at_s = taken_over_at_s
        self._sent_at_s_by_order_id: dict[str, float] = {}
        self._own_order_ids: set[str] = set()
        self._settled_order_ids: set[str] = set()
        self.record = StoredRecord(EMPTY_RECORD, 0)
        self.is_record_read = False
        # Whether a compare-and-swap of this VM wrote the record; one that was only
        # read may be stale.
        self.is_record_confirmed = False
        self.report: LoadReport | None = None
        self._report_asked_at_s = float("-inf")

    def set_record(self, record: StoredRecord, *, is_confirmed: bool) -> None:
        """Store the record as read or, when `is_confirmed`, as written by this VM."""
        self.record = record
        self.is_record_read = True
        self.is_record_confirmed = is_confirmed
        if self.report and not is_usable_report(record.value, self.report):
            self.report = None

    def take_report(self, report: LoadReport, *, asked_at_s: float) -> bool:
        """Store a report; return False for one that is too old to be used."""
        if not is_usable_report(self.record.value, report):
            return False
        known = self.report
        if known and known.boot_id == report.boot_id:
            if report.taken_at_s < known.taken_at_s:
                return False
        elif known:
            self._settled_order_ids.clear()
        self.report = report
        self._report_asked_at_s = asked_at_s
        self._settled_order_ids.update(report.settled_order_ids)
        ids = {order.order_id for order in self.record.value.orders}
        self._settled_order_ids &= ids
        return True

    def note_sent(self, order_id: str, now: float) -> None:
        """Record when this VM last sent an order."""
        self._sent_at_s_by_order_id[order_id] = now

    def sent_at_s(self, order_id: str) -> float:
        """Return when this VM last sent the order, minus infinity if it never did."""
        return self._sent_at_s_by_order_id.get(order_id, float("-inf"))

    def note_own_order(self, order_id: str) -> None:
        """Record that this VM created the order under its current lease."""
        self._own_order_ids.add(order_id)

    def report_age_s(self, now: float) -> float:
        """Return the seconds since the newest usable report was requested."""
        return now - self._report_asked_at_s if self.report else float("inf")

    def live_orders(self, target: Target) -> list[Order]:
        """Return the orders that may still take effect."""
        if not self._rules.counts_orders:
            return []
        orders = self.record.value.orders
        return [order for order in orders if not self._is_dead(order, target)]

    def unsettled_orders(self, target: Target) -> list[Order]:
        """Return the live orders that the target has not settled."""
        return [
            order
            for order in self.live_orders(target)
            if not self._is_settled(order, target)
        ]

    def must_wait(self, target: Target) -> bool:
        """Return whether an earlier lease holder's unsettled orders block new ones."""
        if target.checks_fencing or not self._rules.successor_waits:
            return False
        return any(
            order.order_id not in self._own_order_ids
            for order in self.unsettled_orders(target)
        )

    def allows(self, order: Order, target: Target) -> bool:
        """Return whether a new order fits into memory and conflicts with no other."""
        if self.report is None or not self.is_record_read or self.must_wait(target):
            return False
        if any(
            orders_conflict(order, other) for other in self.unsettled_orders(target)
        ):
            return False
        if order.kind not in LOAD_KINDS:
            return True
        orders = [*self.live_orders(target), order]
        used = worst_case_mib(order.accelerator, self.report.residents, orders)
        return used <= target.accelerator_memory_mib

    def state(self, target: Target, *, is_usable: bool) -> TargetState:
        """Return the target's state as input for the planner."""
        is_known = self.report is not None and self.is_record_read
        return TargetState(
            target=target,
            is_usable=is_usable and self.report is not None,
            may_take_orders=is_known and not self.must_wait(target),
            residents=tuple(self.report.residents) if self.report else (),
            orders=tuple(self.live_orders(target)),
            unsettled_order_ids=frozenset(
                order.order_id for order in self.unsettled_orders(target)
            ),
        )

    def _is_dead(self, order: Order, target: Target) -> bool:
        sent_at_s = self._sent_at_s_by_order_id.get(order.order_id)
        if sent_at_s is None and not self._rules.successor_waits:
            return True
        since = self._taken_over_at_s if sent_at_s is None else sent_at_s
        is_old = self._report_asked_at_s - since > self._rules.order_delay_s
        if target.checks_fencing and self._rules.uses_fencing:
            return is_old and self._is_settled(order, target)
        return is_old

    def _is_settled(self, order: Order, target: Target) -> bool:
        if order.order_id in self._settled_order_ids:
            return True
        if not target.checks_fencing or self.report is None:
            return False
        return self.report.highest_fencing_number > order.fencing_number
