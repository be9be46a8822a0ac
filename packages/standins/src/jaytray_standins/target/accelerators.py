"""Accelerator memory of a target: residents, orders and fencing numbers.

A resident occupies memory from the order that loads it until it is unloaded. It changes
its state when the clock reaches a time computed at the order, so that no background
task is needed.
"""

import collections
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.targets import (
    Order,
    OrderKind,
    OrderReply,
    Resident,
    ResidentState,
)
from jaytray_standins.target.records import Overcommit
from jaytray_standins.weight_store.state import WeightStoreState

_KEPT_ORDERS = 2_000

# Name and accelerator of a resident.
ResidentKey = tuple[str, int]


class LoadTimes(NamedTuple):
    """Seconds that loads and unloads take, apart from waits in the weight store."""

    model_load_s: float
    adapter_load_s: float
    unload_s: float


class _HeldResident(NamedTuple):
    resident: Resident
    changes_at_s: float
    order_id: str


class Accelerators:
    """The residents of one target's accelerators, changed by orders only.

    `overcommits` records each order that exceeded the memory; `stale_orders` counts
    orders that took effect although their fencing number was old; `unloads_in_use`
    counts residents that were unloaded while requests for them were running.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        accelerators: int,
        memory_mib: int,
        checks_fencing: bool,
        load_times: LoadTimes,
        weight_store: WeightStoreState,
    ) -> None:
        self._clock = clock
        self._accelerators = accelerators
        self._memory_mib = memory_mib
        self._checks_fencing = checks_fencing
        self._load_times = load_times
        self._weight_store = weight_store
        self._held_by_key: dict[ResidentKey, _HeldResident] = {}
        self._reply_by_order_id: collections.OrderedDict[str, OrderReply] = (
            collections.OrderedDict()
        )
        self._settled_order_ids: collections.deque[str] = collections.deque(
            maxlen=_KEPT_ORDERS
        )
        self.running_by_name: collections.Counter[str] = collections.Counter()
        self.overcommits: list[Overcommit] = []
        self.orders: list[Order] = []
        self.stale_orders = 0
        self.unloads_in_use = 0
        self.highest_fencing_number = 0
        self.role = ""

    def apply(self, order: Order) -> OrderReply:
        """Apply an order once; a repeated `order_id` gets the first reply again."""
        self.advance()
        first_reply = self._reply_by_order_id.get(order.order_id)
        if first_reply is not None:
            return first_reply
        self.orders.append(order)
        detail = self._check_fencing(order) or self._execute(order)
        reply = OrderReply(order.order_id, not detail, detail)
        self._reply_by_order_id[order.order_id] = reply
        if len(self._reply_by_order_id) > _KEPT_ORDERS:
            self._reply_by_order_id.popitem(last=False)
        if detail:
            self._settled_order_ids.append(order.order_id)
        return reply

    def advance(self) -> None:
        """Apply the changes of state that are due."""
        now_s = self._clock()
        for key, held in list(self._held_by_key.items()):
            if held.changes_at_s > now_s:
                continue
            resident = held.resident
            if resident.state == ResidentState.LOADING:
                ready = resident._replace(state=ResidentState.READY)
                self._held_by_key[key] = held._replace(resident=ready)
            elif resident.state == ResidentState.UNLOADING:
                if self.running_by_name[resident.name] > 0:
                    continue
                del self._held_by_key[key]
            else:
                continue
            self._settled_order_ids.append(held.order_id)

    def add_ready(self, order: Order) -> None:
        """Add what `order` would load, ready at once, to set up a test."""
        resident = _resident(order, ResidentState.READY)
        key = (order.name, order.accelerator)
        self._held_by_key[key] = _HeldResident(resident, self._clock(), order.order_id)
        self._check_memory(order)

    def clear(self) -> None:
        """Empty the memory and drop the replies to orders, like a restart."""
        self._held_by_key.clear()
        self._reply_by_order_id.clear()
        self._settled_order_ids.clear()
        self.running_by_name.clear()

    def residents(self) -> list[Resident]:
        """Return all residents, loading and unloading ones included."""
        self.advance()
        return [held.resident for held in self._held_by_key.values()]

    def settled_order_ids(self) -> list[str]:
        """Return the ids of recent orders that can have no further effect."""
        return list(self._settled_order_ids)

    def is_ready(self, name: str) -> bool:
        """Return whether a model or an adapter can serve requests."""
        return any(
            resident.name == name and resident.state == ResidentState.READY
            for resident in self.residents()
        )

    def used_mib(self, accelerator: int) -> int:
        """Return the memory in use on one accelerator."""
        return sum(
            held.resident.memory_mib
            for (_, held_on), held in self._held_by_key.items()
            if held_on == accelerator
        )

    def _check_fencing(self, order: Order) -> str:
        if order.fencing_number < self.highest_fencing_number:
            if self._checks_fencing:
                return f"fencing number {order.fencing_number} is old"
            self.stale_orders += 1
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        return ""

    def _execute(self, order: Order) -> str:
        if order.kind == OrderKind.SET_ROLE:
            self.role = order.name
            self._settled_order_ids.append(order.order_id)
            return ""
        if not 0 <= order.accelerator < self._accelerators:
            return f"there is no accelerator {order.accelerator}"
        if order.kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER):
            return self._load(order)
        return self._unload(order)

    def _load(self, order: Order) -> str:
        key = (order.name, order.accelerator)
        held = self._held_by_key.get(key)
        if held is not None:
            return f"{order.name} is already {held.resident.state}"
        is_adapter = order.kind == OrderKind.LOAD_ADAPTER
        base = self._held_by_key.get((order.model, order.accelerator))
        if is_adapter and (
            base is None or base.resident.state == ResidentState.UNLOADING
        ):
            return f"base model {order.model} is not loaded"
        resident = _resident(order, ResidentState.LOADING)
        ready_at_s = self._begin_load(is_adapter, base)
        self._held_by_key[key] = _HeldResident(resident, ready_at_s, order.order_id)
        self._check_memory(order)
        return ""

    def _begin_load(self, is_adapter: bool, base: _HeldResident | None) -> float:
        if not is_adapter:
            return self._weight_store.begin_load(self._load_times.model_load_s)
        duration_s = self._load_times.adapter_load_s
        ready_at_s = self._weight_store.begin_adapter_load(duration_s)
        if base is None or base.resident.state == ResidentState.READY:
            return ready_at_s
        return max(ready_at_s, base.changes_at_s)

    def _check_memory(self, order: Order) -> None:
        used_mib = self.used_mib(order.accelerator)
        if used_mib > self._memory_mib:
            self.overcommits.append(
                Overcommit(
                    order.accelerator,
                    used_mib,
                    self._memory_mib,
                    order.order_id,
                    self._clock(),
                )
            )

    def _unload(self, order: Order) -> str:
        held = self._held_by_key.get((order.name, order.accelerator))
        if held is None:
            return f"{order.name} is not loaded"
        if held.resident.state == ResidentState.UNLOADING:
            return f"{order.name} is already unloading"
        names = [order.name]
        if order.kind == OrderKind.UNLOAD_MODEL:
            names += [
                name
                for (name, accelerator), other in self._held_by_key.items()
                if accelerator == order.accelerator
                and other.resident.model == order.name
                and name != order.name
            ]
        unloaded_at_s = self._clock() + self._load_times.unload_s
        for name in names:
            self._begin_unload((name, order.accelerator), unloaded_at_s, order.order_id)
        return ""

    def _begin_unload(self, key: ResidentKey, unloaded_at_s: float, order_id: str) -> None:
        held = self._held_by_key[key]
        if self.running_by_name[key[0]] > 0:
            self.unloads_in_use += 1
        resident = held.resident._replace(state=ResidentState.UNLOADING)
        self._settled_order_ids.append(held.order_id)
        self._held_by_key[key] = _HeldResident(resident, unloaded_at_s, order_id)


def _resident(order: Order, state: ResidentState) -> Resident:
    return Resident(
        order.name,
        order.model,
        order.version,
        order.accelerator,
        order.memory_mib,
        state,
    )
