"""Whether all models can be resident at once, by bin packing, largest first.

First-fit, best-fit and worst-fit are tried in turn; a packing that is found proves
that all replicas fit. If none is found, it takes a counting argument to prove that
they cannot fit; otherwise the outcome is `unproven`.
"""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple

from jaytray_core.document.model import Document


class Reachability(enum.StrEnum):
    """Outcome of a packing."""

    PROVEN = "proven"
    IMPOSSIBLE = "impossible"
    UNPROVEN = "unproven"


class PackingResult(NamedTuple):
    """Outcome for the targets outside the failure domain `lost_domain`.

    `lost_domain` is empty when all targets were used. `unplaced` are the models of
    which a replica could not be placed.
    """

    lost_domain: str
    outcome: Reachability
    needed_mib: int
    available_mib: int
    unplaced: list[str]


class _Demand(NamedTuple):
    model: str
    memory_mib: int
    replicas: int


class _Accelerator:
    """Free memory and models of one accelerator during the packing."""

    def __init__(self, *, failure_domain: str, free_mib: int) -> None:
        self.failure_domain = failure_domain
        self.free_mib = free_mib
        self.models: set[str] = set()

    def has_room(self, demand: _Demand) -> bool:
        return self.free_mib >= demand.memory_mib and demand.model not in self.models

    def place(self, demand: _Demand) -> None:
        self.free_mib -= demand.memory_mib
        self.models.add(demand.model)


# Chooses one of the accelerators that have room.
_ChooseAccelerator = Callable[[list[_Accelerator]], _Accelerator]


def replica_memory_mib(document: Document, model: str) -> int:
    """Return the memory of a replica and of the largest adapter of its model."""
    adapters = [
        adapter.memory_mib
        for adapter in document.adapters_by_name.values()
        if adapter.model == model
    ]
    return document.models_by_name[model].memory_mib + max(adapters, default=0)


def pack_all(document: Document) -> PackingResult:
    """Pack min_replicas of every model onto all targets that are not drained."""
    demands = _demands(document, lambda minimum: minimum)
    return _pack(demands, _accelerator_sizes(document, ""), "")


def pack_without_each_domain(document: Document) -> list[PackingResult]:
    """Pack one replica of every model, once without each failure domain."""
    domains = {target.failure_domain for target in document.targets_by_name.values()}
    demands = _demands(document, lambda _minimum: 1)
    return [
        _pack(demands, _accelerator_sizes(document, domain), domain)
        for domain in sorted(domains)
    ]


def _demands(document: Document, replicas: Callable[[int], int]) -> list[_Demand]:
    demands = [
        _Demand(name, replica_memory_mib(document, name), replicas(model.min_replicas))
        for name, model in document.models_by_name.items()
    ]
    return sorted(demands, key=lambda demand: (-demand.memory_mib, demand.model))


def _accelerator_sizes(document: Document, lost_domain: str) -> list[tuple[str, int]]:
    return [
        (target.failure_domain, target.accelerator_memory_mib)
        for target in document.targets_by_name.values()
        if target.failure_domain != lost_domain and not target.is_drained
        for _ in range(target.accelerators)
    ]


def _pack(
    demands: list[_Demand], sizes: list[tuple[str, int]], lost_domain: str
) -> PackingResult:
    needed = sum(demand.memory_mib * demand.replicas for demand in demands)
    available = sum(memory for _, memory in sizes)
    unplaced: list[str] = []
    for choose in (_first_fit, _best_fit, _worst_fit):
        unplaced = _place_all(demands, _make_accelerators(sizes), choose)
        if not unplaced:
            break
    outcome = Reachability.UNPROVEN if unplaced else Reachability.PROVEN
    if unplaced and _is_impossible(demands, sizes):
        outcome = Reachability.IMPOSSIBLE
    return PackingResult(lost_domain, outcome, needed, available, unplaced)


def _make_accelerators(sizes: list[tuple[str, int]]) -> list[_Accelerator]:
    return [_Accelerator(failure_domain=d, free_mib=memory) for d, memory in sizes]


def _place_all(
    demands: list[_Demand], accelerators: list[_Accelerator], choose: _ChooseAccelerator
) -> list[str]:
    unplaced = []
    for demand in demands:
        used_domains: set[str] = set()
        for _ in range(demand.replicas):
            fitting = [a for a in accelerators if a.has_room(demand)]
            if not fitting:
                unplaced.append(demand.model)
                break
            elsewhere = [a for a in fitting if a.failure_domain not in used_domains]
            chosen = choose(elsewhere or fitting)
            chosen.place(demand)
            used_domains.add(chosen.failure_domain)
    return unplaced


def _is_impossible(demands: list[_Demand], sizes: list[tuple[str, int]]) -> bool:
    """Return whether a counting argument proves that not all replicas fit.

    It does if the total memory is too small, or if too few accelerators are large
    enough for a model, or by `_large_replicas_exceed_accelerators`.
    """
    if sum(d.memory_mib * d.replicas for d in demands) > sum(m for _, m in sizes):
        return True
    return any(
        sum(memory >= demand.memory_mib for _, memory in sizes) < demand.replicas
        for demand in demands
    ) or _large_replicas_exceed_accelerators(demands, sizes)


def _large_replicas_exceed_accelerators(
    demands: list[_Demand], sizes: list[tuple[str, int]]
) -> bool:
    """Return whether large replicas outnumber the accelerators.

    Two replicas above half of the largest accelerator never fit on the same one.
    """
    half = max((memory for _, memory in sizes), default=0) / 2
    return sum(d.replicas for d in demands if d.memory_mib > half) > len(sizes)


def _first_fit(accelerators: Iterable[_Accelerator]) -> _Accelerator:
    return next(iter(accelerators))


def _best_fit(accelerators: Iterable[_Accelerator]) -> _Accelerator:
    return min(accelerators, key=lambda accelerator: accelerator.free_mib)


def _worst_fit(accelerators: Iterable[_Accelerator]) -> _Accelerator:
    return max(accelerators, key=lambda accelerator: accelerator.free_mib)
