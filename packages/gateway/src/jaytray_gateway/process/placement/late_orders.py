"""Orders without a response, by target id, which outlast the target's plan.

A plan ends with its target's start and with the leader's term. An order without a
response does not: it names only the target's id and an order count, which a later start
may reach as well.
"""

from collections.abc import Iterator

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.placement.target_plan import (
    LATE_ORDER_LIMIT_S,
    PendingOrder,
)


class LateOrders:
    """This member's orders that got no response and may still take effect."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._orders_by_id: dict[str, list[PendingOrder]] = {}

    def record(self, target_id: str, order: PendingOrder) -> None:
        """Record an order that got no response."""
        self._drop_expired()
        self._orders_by_id.setdefault(target_id, []).append(order)

    def of(self, target_id: str) -> Iterator[PendingOrder]:
        """Return the orders to all starts of a target, whatever its order count."""
        self._drop_expired()
        return iter(self._orders_by_id.get(target_id, ()))

    def _drop_expired(self) -> None:
        now_s = self._clock()
        kept_by_id = {
            target_id: [o for o in orders if now_s - o.sent_at_s < LATE_ORDER_LIMIT_S]
            for target_id, orders in self._orders_by_id.items()
        }
        self._orders_by_id = {i: orders for i, orders in kept_by_id.items() if orders}
