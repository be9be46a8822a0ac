"""Assignment of targets and models to the groups that are planned together.

It is computed from the document alone, so all VMs agree without communicating. The
number of groups is a power of two, so that targets seldom change groups as their
number grows. A model belongs to the first group in its rendezvous order that has
memory left for it (rendezvous hashing with bounded loads). Hashing spreads the
targets of a group over the failure domains.
"""

from typing import NamedTuple

from jaytray_core.document.model import Document, Target
from jaytray_core.rendezvous import owner_of, rank_members

MAX_TARGETS_PER_GROUP = 32
# A group accepts models up to this multiple of its share of the memory that all
# models require; the share is proportional to the memory of its targets.
BOUNDED_LOAD_FACTOR = 1.25
CANDIDATES_PER_GROUP = 3


class Group(NamedTuple):
    """Targets that are planned under one lease and the models assigned to them."""

    name: str
    targets: frozenset[str]
    models: frozenset[str]


def make_groups(document: Document) -> dict[str, Group]:
    """Return the groups of a document by name."""
    names = [f"group-{number}" for number in range(_number_of_groups(document))]
    targets_by_group: dict[str, set[str]] = {name: set() for name in names}
    for target in document.targets_by_name:
        targets_by_group[owner_of(target, names) or names[0]].add(target)
    models_by_group = _assign_models(document, targets_by_group)
    return {
        name: Group(name, frozenset(targets), frozenset(models_by_group[name]))
        for name, targets in targets_by_group.items()
    }


def lease_candidates(group: str, vms: list[str]) -> list[str]:
    """Return the VMs that compete for the lease of a group, in rendezvous order."""
    return rank_members(group, vms)[:CANDIDATES_PER_GROUP]


def _number_of_groups(document: Document) -> int:
    number = 1
    while len(document.targets_by_name) / number > MAX_TARGETS_PER_GROUP:
        number *= 2
    return number


def _assign_models(
    document: Document, targets_by_group: dict[str, set[str]]
) -> dict[str, set[str]]:
    """Return the models of each group, by rendezvous hashing with bounded loads."""
    memory_left_by_group = _memory_limits(document, targets_by_group)
    models_by_group: dict[str, set[str]] = {name: set() for name in targets_by_group}
    for model in sorted(document.models_by_name.values()):
        memory_mib = model.memory_mib * max(1, model.min_replicas)
        ranked = rank_members(model.name, targets_by_group)
        group = next(
            (g for g in ranked if memory_left_by_group[g] >= memory_mib), ranked[0]
        )
        memory_left_by_group[group] -= memory_mib
        models_by_group[group].add(model.name)
    return models_by_group


def _memory_limits(
    document: Document, targets_by_group: dict[str, set[str]]
) -> dict[str, float]:
    declared_mib = sum(
        model.memory_mib * max(1, model.min_replicas)
        for model in document.models_by_name.values()
    )
    memory_by_group = {
        group: sum(_memory_mib(document.targets_by_name[t]) for t in targets)
        for group, targets in targets_by_group.items()
    }
    total = max(1, sum(memory_by_group.values()))
    return {
        group: BOUNDED_LOAD_FACTOR * declared_mib * memory / total
        for group, memory in memory_by_group.items()
    }


def _memory_mib(target: Target) -> int:
    return target.accelerators * target.accelerator_memory_mib
