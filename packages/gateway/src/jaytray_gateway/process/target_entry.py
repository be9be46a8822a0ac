"""A target's entry in the directory."""

from typing import NamedTuple


class TargetEntry(NamedTuple):
    """One registered target.

    `incarnation` changes with each start of the target. `software_version` is that of
    the target's program, empty if not stated; versions have no order. A stream that a
    target of one version began cannot be continued by one of another version.
    `adapters_by_model` holds the loaded models and their adapters. `models_in_memory`
    and `models_on_disk` are models whose weights the target has cached: loading them is
    faster and does not count towards the weight store's limit. `heartbeat_count` rises
    with each write of the entry within a start, None if it is not stated. `cold_left_s`
    is how long the target stays cold, None if it does not state one.
    """

    target_id: str
    incarnation: str
    service: str
    software_version: str
    address: str
    failure_domain: str
    is_leaving: bool
    slots: int
    adapters_by_model: dict[str, frozenset[str]]
    models_in_memory: frozenset[str]
    models_on_disk: frozenset[str]
    heartbeat_count: int | None = None
    cold_left_s: float | None = None
