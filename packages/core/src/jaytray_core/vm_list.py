"""Interface to the platform's list of live and leaving VMs, which lags."""

import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(NamedTuple):
    """One listed VM.

    `peer_address` is `IP:port` of the socket for other VMs; `http_address` is where
    it serves callers. A replaced VM gets a new `vm_id`; a restarted process keeps it.
    `curve_public_key` (Z85) is set where each process draws its own key pair, and
    empty where the fleet shares one.
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
