"""Worst-case accelerator memory and conflicts between orders.

A recorded order may take effect now, later, twice or never. The worst case is
therefore the memory of all reported residents plus that of every load that may still
take effect. An unload frees nothing until a report shows it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from jaytray_core.targets import Order, OrderKind, Resident

LOAD_KINDS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
UNLOAD_KINDS = (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER)


class ResidentKey(NamedTuple):
    """A model or adapter name on one accelerator of a target."""

    name: str
    accelerator: int


def worst_case_mib(
    accelerator: int, residents: Iterable[Resident], orders: Iterable[Order]
) -> int:
    """Return the most memory that the accelerator may hold, in mebibytes.

    `orders` are all that may still take effect. A resident and the order that loads
    it count once, with the larger of both sizes.
    """
    memory_by_key: dict[ResidentKey, int] = {}
    for resident in residents:
        if resident.accelerator == accelerator:
            _keep_larger(memory_by_key, resident.name, accelerator, resident.memory_mib)
    for order in orders:
        if order.accelerator == accelerator and order.kind in LOAD_KINDS:
            _keep_larger(memory_by_key, order.name, accelerator, order.memory_mib)
    return sum(memory_by_key.values())


def orders_conflict(first: Order, second: Order) -> bool:
    """Return whether the outcome of two orders depends on the sequence they run in.

    Memory is not considered here; `worst_case_mib` covers it.
    """
    if first.accelerator != second.accelerator or first.model != second.model:
        return False
    has_unload = first.kind in UNLOAD_KINDS or second.kind in UNLOAD_KINDS
    return first.name == second.name or has_unload


def _keep_larger(
    memory_by_key: dict[ResidentKey, int], name: str, accelerator: int, memory_mib: int
) -> None:
    key = ResidentKey(name, accelerator)
    memory_by_key[key] = max(memory_by_key.get(key, 0), memory_mib)
