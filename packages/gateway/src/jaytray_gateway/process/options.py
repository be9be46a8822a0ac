"""Options of a gateway process, built once from its settings."""

from typing import NamedTuple

from jaytray_gateway.process.memory_budget import MemoryBounds


class GatewayOptions(NamedTuple):
    """Options from the settings; durations in seconds, addresses as `IP:port`.

    `revocation_s` is the time within which a withdrawn key must stop working,
    `change_s` the time within which any other change must be in force, and `grace_s`
    the time between the stop signal and the kill.
    `repeat_ratio`, `repeat_extra` and `repeat_window_s` bound retries over the fleet.
    `lease_s` is the shortest time between two placement leaders' orders to one target.
    `relay_address` accepts requests that other members want forwarded; empty for none.
    `evacuation_s` is the time within which a failure domain must be evacuated, None if
    that does not occur; `failure_domains` are all that the platform states.
    In any second, a cold target takes the rate that its service states times
    `cold_rate_factor`, and `cold_slack` requests more.
    Within `load_window_s`, loads may begin at `load_window_factor` times the stated
    rate. `memory` bounds what is held for callers and targets, None if the VM's memory
    is not stated. `paces_targets` adapts the load of recovering targets to their
    answers.
    """

    vm_id: str
    failure_domain: str
    callers_address: str
    probe_address: str
    peers_address: str
    relay_address: str
    metrics_address: str
    key_value_address: str
    revocation_s: float
    change_s: float
    grace_s: float
    repeat_ratio: float
    repeat_extra: float
    repeat_window_s: float
    lease_s: float
    load_window_s: float
    load_window_factor: float
    evacuation_s: float | None = None
    failure_domains: tuple[str, ...] = ()
    cold_rate_factor: float = 1.0
    cold_slack: float = 0.0
    memory: MemoryBounds | None = None
    paces_targets: bool = False
