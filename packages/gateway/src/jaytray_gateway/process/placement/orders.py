"""Sends orders to targets, one at a time for each, after checking memory and lease."""

import asyncio
from collections.abc import Callable

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.ports import OrderResult, PlatformAdapter, TargetOrder
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.placement.late_orders import LateOrders
from jaytray_gateway.process.placement.leadership import Leadership
from jaytray_gateway.process.placement.target_plan import PendingOrder, TargetPlan
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.replica_names import replica_name
from jaytray_gateway.version.route_table import Engine

# Time for which a target gets no orders after it refused one or its report could not
# be trusted. Longer than the lag of its reports.
ORDER_PAUSE_S = 0.3


class OrderSender:
    """Sends the leader's orders and applies their results to the targets' plans."""

    def __init__(
        self,
        *,
        own_id: str,
        adapter: PlatformAdapter,
        leadership: Leadership,
        takes_orders: Callable[[TargetEntry], bool],
        health: TargetHealth,
        metrics: GatewayMetrics,
        clock: MonotonicClock,
    ) -> None:
        self.late_orders = LateOrders(clock=clock)
        self._own_id = own_id
        self._adapter = adapter
        self._leadership = leadership
        self._takes_orders = takes_orders
        self._health = health
        self._metrics = metrics
        self._clock = clock
        self._lock_by_id: dict[str, asyncio.Lock] = {}

    def lock_of(self, target_id: str) -> asyncio.Lock:
        """Return the lock that is held while an order to the target is in flight."""
        return self._lock_by_id.setdefault(target_id, asyncio.Lock())

    async def send(
        self,
        plan: TargetPlan,
        entry: TargetEntry,
        engine: Engine,
        *,
        is_load: bool,
        model: str,
        adapter: str,
    ) -> bool:
        """Send one order with the target's lock held; return whether it was accepted.

        Each order carries the count of earlier orders, so a target's orders are sent
        one at a time. Free memory is checked immediately before sending.
        """
        if plan.incarnation != entry.incarnation or not self._leadership.is_leader():
            return False
        if not self._takes_orders(entry):
            return False
        is_after_unload = is_load and not adapter and plan.model_order is not None
        if is_after_unload and not plan.has_room_after_unload(engine, model):
            return False
        if is_load and not is_after_unload:
            if not plan.has_room(engine, model, adapter):
                return False
        order = PendingOrder(
            incarnation=plan.incarnation,
            is_load=is_load,
            model=model,
            adapter=adapter,
            expected_order_count=plan.order_count,
            sent_at_s=self._clock(),
            was_listed=model in entry.adapters_by_model,
        )
        if not adapter and not is_after_unload:
            plan.model_order = order
        result = await self._send(entry, order)
        if is_after_unload and result.is_certain and result.is_outdated:
            return False
        if is_after_unload and result.is_accepted:
            plan.complete_unload()
        return self._apply_result(plan, entry, order, result)

    async def _send(self, entry: TargetEntry, order: PendingOrder) -> OrderResult:
        wire_order = TargetOrder(
            is_load=order.is_load,
            model=order.model,
            adapter=order.adapter,
            expected_order_count=order.expected_order_count,
            leader_id=self._own_id,
            fencing_number=self._leadership.fencing_number,
        )
        return await self._adapter.send_order(
            entry.address, entry.target_id, wire_order
        )

    def _apply_result(
        self,
        plan: TargetPlan,
        entry: TargetEntry,
        order: PendingOrder,
        result: OrderResult,
    ) -> bool:
        outcome = _outcome(result)
        operation = "load" if order.is_load else "unload"
        self._metrics.orders.labels(operation, outcome).inc()
        get_logger().info(
            "order_given",
            target=entry.target_id,
            operation=operation,
            replica=replica_name(order.model, order.adapter),
            expected_order_count=order.expected_order_count,
            fencing_number=self._leadership.fencing_number,
            outcome=outcome,
            detail=result.detail,
        )
        if result.is_accepted:
            plan.record_accepted(order, is_done=result.is_done)
            return True
        if plan.model_order is order:
            plan.model_order = None
        plan.avoided_until_s = self._clock() + ORDER_PAUSE_S
        if result.is_unreachable:
            self._health.record_unreachable(entry.target_id, result.detail)
        elif not result.is_certain:
            self.late_orders.record(entry.target_id, order)
            plan.record_unacknowledged(order)
        elif result.is_fenced_off:
            self._leadership.step_down(
                f"{entry.target_id} has seen a higher fencing number"
            )
        elif result.is_outdated:
            plan.is_unconfirmed = True
        return False


def _outcome(result: OrderResult) -> str:
    if not result.is_certain:
        return "unknown"
    if result.is_accepted:
        return "accepted"
    if result.is_fenced_off:
        return "fenced_off"
    return "outdated" if result.is_outdated else "refused"
