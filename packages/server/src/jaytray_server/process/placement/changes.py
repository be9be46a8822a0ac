"""Planned changes, their urgency, and the planner's settings."""

import enum
from typing import NamedTuple

from jaytray_core.document.model import Adapter, Model
from jaytray_core.targets import Order, OrderKind
from jaytray_server.process.placement.state import Accelerator, Replica


class Urgency(enum.IntEnum):
    """Priority of a change; the smallest value is ordered first."""

    UNREACHABLE = 0
    BELOW_MINIMUM = 1
    ADAPTER_WANTED = 2
    VERSION = 3
    DEMAND = 4
    SPREAD = 5
    CLEAN_UP = 6
    ADAPTER_PRELOAD = 7


class PlanSettings(NamedTuple):
    """Tuning parameters of the planner.

    `target_utilisation` is the largest fraction of a replica's capacity to use.
    `min_shortfall` is the capacity shortfall, in replicas, up to which demand adds no
    replica. An adapter with a demand of `idle_tokens_per_s` or less is idle.
    """

    target_utilisation: float = 0.5
    min_shortfall: float = 0.3
    idle_tokens_per_s: float = 0.05


class PlannedChange(NamedTuple):
    """One order to send; `reason` is written to the decision log."""

    kind: OrderKind
    target: str
    accelerator: int
    name: str
    model: str
    version: str
    memory_mib: int
    urgency: Urgency
    reason: str


def order_for(change: PlannedChange, order_id: str, *, fencing_number: int) -> Order:
    """Return the order that carries out a change."""
    return Order(
        order_id,
        change.kind,
        change.name,
        change.model,
        change.version,
        change.accelerator,
        change.memory_mib,
        fencing_number,
    )


def load_change(
    accelerator: Accelerator, model: Model, urgency: Urgency, reason: str = ""
) -> PlannedChange:
    """Return the change that loads a model onto an accelerator."""
    return PlannedChange(
        OrderKind.LOAD_MODEL,
        accelerator.target.name,
        accelerator.number,
        model.name,
        model.name,
        model.version,
        model.memory_mib,
        urgency,
        reason or urgency.name.lower(),
    )


def adapter_load_change(
    accelerator: Accelerator, adapter: Adapter, urgency: Urgency
) -> PlannedChange:
    """Return the change that loads an adapter onto an accelerator with its model."""
    return PlannedChange(
        OrderKind.LOAD_ADAPTER,
        accelerator.target.name,
        accelerator.number,
        adapter.name,
        adapter.model,
        adapter.version,
        adapter.memory_mib,
        urgency,
        urgency.name.lower(),
    )


def unload_change(
    replica: Replica, kind: OrderKind, urgency: Urgency, reason: str
) -> PlannedChange:
    """Return the change that unloads a replica."""
    accelerator = replica.accelerator
    return PlannedChange(
        kind,
        accelerator.target.name,
        accelerator.number,
        replica.name,
        replica.model,
        replica.version,
        replica.memory_mib,
        urgency,
        reason,
    )
