"""What a target says of itself in the directory."""

from typing import NamedTuple


class TargetEntry(NamedTuple):
    """One registered target.

    `incarnation` changes with each start of the target. `adapters_by_model` lists
    the loaded models and their adapters. `models_at_hand` are those whose weights the
    target keeps in its memory or on its disk, so that loading them is fast and does
    not count at the weight store.
    """

    target_id: str
    incarnation: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool
    slots: int
    adapters_by_model: dict[str, frozenset[str]]
    models_at_hand: frozenset[str]
