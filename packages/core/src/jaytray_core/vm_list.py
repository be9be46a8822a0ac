"""Interface to the platform's list of live and leaving VMs, which may be outdated."""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(NamedTuple):
    """One listed VM.

    `peer_address` is the `IP:port` at which other VMs reach it, `http_address` that at
    which it serves callers. A replaced VM gets a new `vm_id`; a restarted process
    keeps it. `curve_public_key` (Z85) is set if each process generates its own key
    pair, and empty if the fleet shares one.
    """

    vm_id: str
    peer_address: str
    http_address: str
    failure_domain: str
    state: VmState
    curve_public_key: str = ""


ListVmsFunction = Callable[[], Awaitable[list[VmEntry]]]


class VmList(NamedTuple):
    """The functions of one connection to the list of VMs."""

    list_vms: ListVmsFunction
