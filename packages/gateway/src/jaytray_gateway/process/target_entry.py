"""What a target says of itself in the directory."""

from typing import NamedTuple


class TargetEntry(NamedTuple):
    """One registered target.

    `incarnation` changes with each start of the target. `adapters_by_model` lists
    the loaded models and their adapters. `models_in_memory` and `models_on_disk` are
    those whose weights the target keeps at hand: loading them is faster and does not
    count at the weight store.
    """

    target_id: str
    incarnation: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool
    slots: int
    adapters_by_model: dict[str, frozenset[str]]
    models_in_memory: frozenset[str]
    models_on_disk: frozenset[str]
