"""Connections to the platform's services, open for the lifetime of the process."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from jaytray_core.adapters.key_value_http import open_key_value
from jaytray_core.adapters.vm_list_http import open_vm_list
from jaytray_core.adapters.weight_store_http import open_weight_store
from jaytray_core.clock import monotonic_clock
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.vm_list import VmList
from jaytray_core.weight_store import WeightStore
from jaytray_server.connection.observed_key_value import observe_key_value
from jaytray_server.connection.peer_network import PeerHub
from jaytray_server.options import Options
from jaytray_server.ports import Metrics

VM_LIST_TIMEOUT_S = 2.0
WEIGHT_STORE_TIMEOUT_S = 2.0


class PlatformServices(NamedTuple):
    """Connections to the platform's services."""

    key_value: KeyValueService
    vm_list: VmList
    weight_store: WeightStore


@asynccontextmanager
async def connect_platform(
    options: Options, hub: PeerHub, metrics: Metrics
) -> AsyncIterator[PlatformServices]:
    """Open the connections; each response of the key-value service updates `hub`."""
    key_value = open_key_value(
        address=options.key_value_address, timeout_s=options.key_value_timeout_s
    )
    vm_list = open_vm_list(address=options.vm_list_address, timeout_s=VM_LIST_TIMEOUT_S)
    weight_store = open_weight_store(
        address=options.weight_store_address, timeout_s=WEIGHT_STORE_TIMEOUT_S
    )

    def on_contact() -> None:
        hub.own_key_value_contact_s = monotonic_clock()

    try:
        yield PlatformServices(
            key_value=observe_key_value(
                key_value.service, metrics=metrics, on_contact=on_contact
            ),
            vm_list=vm_list.service,
            weight_store=weight_store.service,
        )
    finally:
        for connection in (key_value, vm_list, weight_store):
            await connection.close()
