"""The leader's model of one target: its contents and the orders that may change them.

An order without a response may still take effect seconds later, but only while the
target's order count is the expected one. Until the count has advanced or that time has
passed, the order is treated as if it had taken effect. An order names its target by id
only, and the count starts again when the target does, so an order to an earlier start
counts for the whole time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.version.route_table import Engine

# Time after which an order without a response can no longer take effect.
LATE_ORDER_LIMIT_S = 13.0
# Multiple of the stated load time after which the target's report is read again.
OVERDUE_FACTOR = 3.0
# Time that an unload of a model with running requests waits until they finish.
RUNS_FINISH_S = 3.0
# Time that an unload may wait for running requests before the report is read again.
UNLOAD_OVERDUE_S = 6.0
# Time after which memory that was freed for a model may be used for another.
RESERVATION_TTL_S = 8.0


class PendingOrder(NamedTuple):
    """An order whose outcome is pending; `adapter` is empty for a model.

    `incarnation` is the start of the target whose order count is expected, and
    `was_listed` whether the directory listed the model when the order was sent.
    """

    incarnation: str
    is_load: bool
    model: str
    adapter: str
    expected_order_count: int
    sent_at_s: float
    was_listed: bool


class TargetPlan:
    """State of one target during one term of the leader."""

    def __init__(
        self,
        *,
        entry: TargetEntry,
        adapters_by_model: dict[str, frozenset[str]],
        order_count: int,
        unacknowledged_orders: Iterable[PendingOrder] = (),
    ) -> None:
        self.target_id = entry.target_id
        self.incarnation = entry.incarnation
        self.software_version = entry.software_version
        self.order_count = order_count
        self.models_in_memory = entry.models_in_memory
        self.models_on_disk = entry.models_on_disk
        self.used_at_s_by_adapter: dict[tuple[str, str], float] = {
            (model, adapter): 0.0
            for model, adapters in adapters_by_model.items()
            for adapter in adapters
        }
        self.models: set[str] = set(adapters_by_model)
        # Unloaded during this term. An outdated directory entry may still list them.
        self.unloaded_models: set[str] = set()
        # When the loads that completed during this term were noticed.
        self.loaded_at_s_by_model: dict[str, float] = {}
        self.model_order: PendingOrder | None = None
        self.has_model_step = False
        self.reserved_model = ""
        self.reserved_at_s = 0.0
        self.unacknowledged_orders: list[PendingOrder] = []
        for order in unacknowledged_orders:
            if self._is_unsettled(order):
                self.unacknowledged_orders.append(order)
        self.avoided_until_s = 0.0
        self.is_unconfirmed = False
        self.was_report_busy = False

    def expected_models(self) -> set[str]:
        """Return the models that the target has once all orders are complete."""
        models = set(self.models)
        if self.model_order is not None:
            if self.model_order.is_load:
                models.add(self.model_order.model)
            else:
                models.discard(self.model_order.model)
        if self.reserved_model:
            models.add(self.reserved_model)
        return models

    def is_unloading(self, model: str) -> bool:
        """Return whether an unload of the model is pending."""
        order = self.model_order
        return order is not None and not order.is_load and order.model == model

    def possibly_resident_models(self) -> set[str]:
        """Return all models that may occupy memory, whatever the orders' outcomes."""
        models = set(self.models)
        if self.model_order is not None:
            models.add(self.model_order.model)
        return models | self._late_loads()

    def possibly_resident_adapters(self) -> set[tuple[str, str]]:
        """Return all adapters that may occupy memory and an adapter slot."""
        unacknowledged = {
            (order.model, order.adapter)
            for order in self.unacknowledged_orders
            if order.is_load and order.adapter
        }
        return unacknowledged | set(self.used_at_s_by_adapter)

    def used_mb(self, engine: Engine) -> float:
        """Return the weights memory that may be occupied."""
        models = engine.models_by_name
        used = sum(
            models[m].weights_mb for m in self.possibly_resident_models() if m in models
        )
        return used + sum(
            models[model].adapter_mb
            for model, _ in self.possibly_resident_adapters()
            if model in models
        )

    def has_cached_weights(self, model: str) -> bool:
        """Return whether the target can load the model without the weight store."""
        return model in self.models_in_memory or model in self.models_on_disk

    def load_time_s(self, engine: Engine, model: str) -> float:
        """Return the time that this target takes to load the model."""
        return engine.models_by_name[model].load_time_s(
            in_memory=self.models_in_memory, on_disk=self.models_on_disk
        )

    def pending_load(self, engine: Engine, now_s: float) -> tuple[str, float] | None:
        """Return the model that the target loads, or will after an unload.

        The second value is the time until the load should have ended.
        """
        order = self.model_order
        if order is not None and order.is_load and order.model in engine.models_by_name:
            load_s = self.load_time_s(engine, order.model)
            return order.model, max(order.sent_at_s + load_s - now_s, 0.0)
        model = self.reserved_model
        if model in engine.models_by_name:
            wait_s = max(self.reserved_at_s + RUNS_FINISH_S - now_s, 0.0)
            return model, wait_s + self.load_time_s(engine, model)
        return None

    def has_room_after_unload(self, engine: Engine, model: str) -> bool:
        """Return whether a model would fit once the pending unload is complete."""
        order = self.model_order
        if order is None or order.is_load:
            return False
        freed = engine.models_by_name.get(order.model)
        needed = engine.models_by_name.get(model)
        if freed is None or needed is None or order.model in self._late_loads():
            return False
        used_mb = self.used_mb(engine) - freed.weights_mb
        return used_mb + needed.weights_mb <= engine.weights_mb

    def has_room(self, engine: Engine, model: str, adapter: str) -> bool:
        """Return whether a load would fit whatever the outcome of earlier orders."""
        engine_model = engine.models_by_name.get(model)
        if engine_model is None:
            return False
        needed_mb = engine_model.adapter_mb if adapter else engine_model.weights_mb
        adapters = self.possibly_resident_adapters()
        if adapter and (model, adapter) not in adapters:
            if len(adapters) >= engine.adapter_slots:
                return False
        return self.used_mb(engine) + needed_mb <= engine.weights_mb

    def record_accepted(self, order: PendingOrder, *, is_done: bool) -> None:
        """Apply an order that the target accepted, or that needed no action."""
        is_counted = not is_done or (order.adapter and not order.is_load)
        if is_counted:
            self.order_count = max(self.order_count, order.expected_order_count + 1)
        self.unacknowledged_orders = [
            pending
            for pending in self.unacknowledged_orders
            if self._is_unsettled(pending)
        ]
        if order.adapter:
            key = (order.model, order.adapter)
            if order.is_load:
                self.used_at_s_by_adapter[key] = order.sent_at_s
            else:
                self.used_at_s_by_adapter.pop(key, None)
        elif is_done:
            self._finish_model_order(order)
        else:
            self.model_order = order
        if order.is_load and order.model == self.reserved_model and not order.adapter:
            self.reserved_model = ""

    def complete_unload(self) -> None:
        """Complete the pending unload, as the target has accepted the next order."""
        if self.model_order is not None and not self.model_order.is_load:
            self._finish_model_order(self.model_order)

    def record_unacknowledged(self, order: PendingOrder) -> None:
        """Record an order that got no response."""
        self.unacknowledged_orders.append(order)

    def apply_entry(self, entry: TargetEntry, now_s: float) -> str | None:
        """Update the plan from the target's directory entry.

        Returns the model whose load the entry shows to be complete, if any.
        """
        self.models_in_memory = entry.models_in_memory
        self.models_on_disk = entry.models_on_disk
        self.unacknowledged_orders = [
            pending
            for pending in self.unacknowledged_orders
            if now_s - pending.sent_at_s < LATE_ORDER_LIMIT_S
        ]
        if now_s - self.reserved_at_s > RESERVATION_TTL_S:
            self.reserved_model = ""
        order = self.model_order
        listed = set(entry.adapters_by_model)
        loaded = None
        if order is not None and order.was_listed != (order.model in listed):
            self._finish_model_order(order)
            loaded = order.model if order.is_load else None
        if loaded is not None:
            self.loaded_at_s_by_model[loaded] = now_s
        if self.model_order is not None and not self.model_order.is_load:
            listed.discard(self.model_order.model)
        # Models are removed only by orders, which this plan tracks. An entry that does
        # not list a model may be older than the target's own report.
        self.models |= listed - self.unloaded_models
        return loaded

    def is_overdue(self, engine: Engine, now_s: float) -> bool:
        """Return whether the pending order has exceeded its time limit."""
        order = self.model_order
        if order is None:
            return False
        model = engine.models_by_name.get(order.model)
        limit_s = UNLOAD_OVERDUE_S
        if order.is_load:
            limit_s = OVERDUE_FACTOR * (model.load_s if model else 1.0)
        return now_s - order.sent_at_s > limit_s

    def _is_unsettled(self, order: PendingOrder) -> bool:
        """Return whether an order without a response may still take effect."""
        is_earlier_start = order.incarnation != self.incarnation
        return is_earlier_start or order.expected_order_count >= self.order_count

    def _late_loads(self) -> set[str]:
        """Return the models whose loads got no response and may still take effect."""
        return {
            order.model
            for order in self.unacknowledged_orders
            if order.is_load and not order.adapter
        }

    def _finish_model_order(self, order: PendingOrder) -> None:
        self.model_order = None
        self.has_model_step = False
        if order.is_load:
            self.models.add(order.model)
            self.unloaded_models.discard(order.model)
        else:
            self.models.discard(order.model)
            self.unloaded_models.add(order.model)
            self._drop_adapters_of_absent_models()

    def _drop_adapters_of_absent_models(self) -> None:
        for key in list(self.used_at_s_by_adapter):
            if key[0] not in self.models:
                del self.used_at_s_by_adapter[key]
