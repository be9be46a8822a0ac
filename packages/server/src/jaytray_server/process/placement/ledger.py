"""What the holder of a group knows of one target's orders.

The ledger joins the target's record with its load reports and decides which orders
may still take effect:

- a target that checks fencing numbers: until it has settled the order, or has seen a
  higher number, and the longest delay of an order has passed since it was last sent;
- a target that ignores them: until that delay has passed.

The delay is counted even after settling, because a target that restarts may take a
doubled order for a new one. It ends when a report is asked for, not at any later
moment, so that whatever the order did is in that report. For orders of an earlier
holder it is counted from the moment this VM got the lease, after which that holder
sends nothing more.
"""

from typing import NamedTuple

from jaytray_core.document.model import Target
from jaytray_core.targets import LoadReport, Order
from jaytray_server.process.placement.memory import LOADS, conflict, worst_case_mib
from jaytray_server.process.placement.record import (
    EMPTY_RECORD,
    StoredRecord,
    is_usable_report,
)
from jaytray_server.process.placement.state import TargetState


class SafetyRules(NamedTuple):
    """The rules that keep memory safe, each separately switchable for tests.

    `order_delay_s` is the longest time from sending an order until its effect is
    in each load report asked for later, the lag of reports included.
    """

    order_delay_s: float = 30.0
    counts_orders: bool = True
    uses_fencing: bool = True
    successor_waits: bool = True


class TargetLedger:
    """Orders and the newest usable report of one target."""

    def __init__(self, *, rules: SafetyRules, taken_over_at_s: float) -> None:
        self._rules = rules
        self._taken_over_at_s = taken_over_at_s
        self._sent_at_s_by_order_id: dict[str, float] = {}
        self._own_order_ids: set[str] = set()
        self._settled_order_ids: set[str] = set()
        self.record = StoredRecord(EMPTY_RECORD, 0)
        self.is_record_read = False
        # Whether this VM's last compare-and-swap proved the record to be current.
        self.is_record_proven = False
        self.report: LoadReport | None = None
        self._report_asked_at_s = float("-inf")

    def set_record(self, record: StoredRecord, *, is_proven: bool) -> None:
        """Take in the record as read, or as written when `is_proven`."""
        self.record = record
        self.is_record_read = True
        self.is_record_proven = is_proven
        if self.report and not is_usable_report(record.value, self.report):
            self.report = None

    def take_report(self, report: LoadReport, *, asked_at_s: float) -> bool:
        """Take in a report; return False for one that is too old to be used."""
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
        """Remember when an order was last sent by this VM."""
        self._sent_at_s_by_order_id[order_id] = now

    def sent_at_s(self, order_id: str) -> float:
        """Return when this VM last sent the order, minus infinity if never."""
        return self._sent_at_s_by_order_id.get(order_id, float("-inf"))

    def note_own(self, order_id: str) -> None:
        """Remember that the order was made by this VM under the present lease."""
        self._own_order_ids.add(order_id)

    def report_age_s(self, now: float) -> float:
        """Return seconds since the newest usable report was asked for."""
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
        """Return whether an earlier holder's orders forbid new ones for now."""
        if target.checks_fencing or not self._rules.successor_waits:
            return False
        return any(
            order.order_id not in self._own_order_ids
            for order in self.unsettled_orders(target)
        )

    def allows(self, order: Order, target: Target) -> bool:
        """Return whether a new order is safe by memory and by sequence."""
        if self.report is None or not self.is_record_read or self.must_wait(target):
            return False
        if any(conflict(order, other) for other in self.unsettled_orders(target)):
            return False
        if order.kind not in LOADS:
            return True
        orders = [*self.live_orders(target), order]
        used = worst_case_mib(order.accelerator, self.report.residents, orders)
        return used <= target.accelerator_memory_mib

    def state(self, target: Target, *, is_usable: bool) -> TargetState:
        """Return the target as planning sees it."""
        has_picture = self.report is not None and self.is_record_read
        return TargetState(
            target=target,
            is_usable=is_usable and self.report is not None,
            may_take_orders=has_picture and not self.must_wait(target),
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
