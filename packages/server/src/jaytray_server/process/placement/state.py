"""In-memory state of a group of targets while a plan is computed.

`PlanState` records for each accelerator which replicas are present, which may still
be loaded, and the memory that is free even in the worst case. The planner applies
each planned change to it, so that later decisions take earlier ones into account.
"""

from typing import NamedTuple

from jaytray_core.document.model import Target
from jaytray_core.targets import Order, Resident, ResidentState
from jaytray_server.process.placement.memory import (
    LOAD_KINDS,
    UNLOAD_KINDS,
    worst_case_mib,
)


class TargetState(NamedTuple):
    """The planner's input about one target.

    `is_usable` is False for a target that is drained, leaving or unreachable.
    `may_take_orders` is False while its record or report is unknown, or while
    unsettled orders of an earlier lease holder must be waited for.
    `orders` are all that may still take effect; `unsettled_order_ids` are the ids of
    those that the target has not settled yet.
    """

    target: Target
    is_usable: bool
    may_take_orders: bool
    residents: tuple[Resident, ...]
    orders: tuple[Order, ...]
    unsettled_order_ids: frozenset[str]


class Replica:
    """A model or adapter that an accelerator holds or has been ordered to load."""

    def __init__(
        self,
        *,
        name: str,
        model: str,
        version: str,
        memory_mib: int,
        is_ready: bool,
        is_unloading: bool,
        accelerator: "Accelerator",
    ) -> None:
        self.name = name
        self.model = model
        self.version = version
        self.memory_mib = memory_mib
        self.is_ready = is_ready
        self.is_unloading = is_unloading
        self.accelerator = accelerator

    @property
    def is_serving(self) -> bool:
        """Return whether requests can be routed to this replica now."""
        return self.is_ready and not self.is_unloading and self.accelerator.is_usable


class Accelerator:
    """One accelerator with its replicas and its free memory.

    `free_mib` is free even in the worst case. `expected_free_mib` adds what pending
    unloads will free and what is counted only for settled orders, which will soon be
    too old to take effect. `tokens_per_s` is the demand attributed to its replicas.
    """

    def __init__(self, *, state: TargetState, number: int) -> None:
        self.target = state.target
        self.number = number
        self.is_usable = state.is_usable
        self.may_take_orders = state.may_take_orders
        memory_mib = state.target.accelerator_memory_mib
        unsettled = [o for o in state.orders if o.order_id in state.unsettled_order_ids]
        used = worst_case_mib(number, state.residents, state.orders)
        self.free_mib = memory_mib - used
        used = worst_case_mib(number, state.residents, unsettled)
        self.expected_free_mib = memory_mib - used
        self.tokens_per_s = 0.0
        # Whether memory is being freed here for a model.
        self.is_reserved = False
        self.replicas_by_name: dict[str, Replica] = {}

    @property
    def domain(self) -> str:
        """Return the failure domain of its target."""
        return self.target.failure_domain

    @property
    def slots(self) -> float:
        """Return this accelerator's share of the target's `max_running_requests`."""
        return self.target.max_running_requests / max(1, self.target.accelerators)


class PlanState:
    """All accelerators of a group, with their replicas by name."""

    def __init__(self, *, states: list[TargetState]) -> None:
        self.accelerators: list[Accelerator] = []
        self.replicas_by_name: dict[str, list[Replica]] = {}
        # Names present on each target, as engines address a replica by name only.
        self.names_by_target: dict[str, set[str]] = {}
        for state in states:
            self._add_target(state)

    def replicas(self, name: str) -> list[Replica]:
        """Return the replicas on usable targets that are not being unloaded."""
        return [
            replica
            for replica in self.replicas_by_name.get(name, ())
            if replica.accelerator.is_usable and not replica.is_unloading
        ]

    def serving_replicas(self, name: str) -> list[Replica]:
        """Return the replicas of a name to which requests can be routed now."""
        return [r for r in self.replicas_by_name.get(name, ()) if r.is_serving]

    def apply_load(
        self,
        accelerator: Accelerator,
        *,
        name: str,
        model: str,
        version: str,
        memory_mib: int,
    ) -> Replica:
        """Apply a planned load."""
        replica = Replica(
            name=name,
            model=model,
            version=version,
            memory_mib=memory_mib,
            is_ready=False,
            is_unloading=False,
            accelerator=accelerator,
        )
        accelerator.free_mib -= memory_mib
        accelerator.expected_free_mib -= memory_mib
        self._add(replica)
        return replica

    def apply_unload(self, replica: Replica) -> None:
        """Apply a planned unload, whose memory counts as expected but not yet free."""
        replica.is_unloading = True
        replica.accelerator.expected_free_mib += replica.memory_mib

    def _add_target(self, state: TargetState) -> None:
        accelerators = [
            Accelerator(state=state, number=number)
            for number in range(state.target.accelerators)
        ]
        self.accelerators += accelerators
        self.names_by_target.setdefault(state.target.name, set())
        unloading = {
            (order.name, order.accelerator)
            for order in state.orders
            if order.kind in UNLOAD_KINDS
            and order.order_id in state.unsettled_order_ids
        }
        for resident in state.residents:
            if resident.accelerator >= len(accelerators):
                continue
            accelerator = accelerators[resident.accelerator]
            is_unloading = (
                resident.state is ResidentState.UNLOADING
                or (resident.name, resident.accelerator) in unloading
                or (resident.model, resident.accelerator) in unloading
            )
            replica = Replica(
                name=resident.name,
                model=resident.model,
                version=resident.version,
                memory_mib=resident.memory_mib,
                is_ready=resident.state is ResidentState.READY,
                is_unloading=is_unloading,
                accelerator=accelerator,
            )
            if is_unloading:
                accelerator.expected_free_mib += resident.memory_mib
            self._add(replica)
        for order in state.orders:
            if order.kind in LOAD_KINDS and order.order_id in state.unsettled_order_ids:
                self._add_ordered(accelerators, order)

    def _add_ordered(self, accelerators: list[Accelerator], order: Order) -> None:
        if order.accelerator >= len(accelerators):
            return
        accelerator = accelerators[order.accelerator]
        if order.name in accelerator.replicas_by_name:
            return
        self._add(
            Replica(
                name=order.name,
                model=order.model,
                version=order.version,
                memory_mib=order.memory_mib,
                is_ready=False,
                is_unloading=False,
                accelerator=accelerator,
            )
        )

    def _add(self, replica: Replica) -> None:
        replica.accelerator.replicas_by_name[replica.name] = replica
        self.replicas_by_name.setdefault(replica.name, []).append(replica)
        self.names_by_target[replica.accelerator.target.name].add(replica.name)
