"""Client of the platform's VM list over HTTP: GET `/vms`."""

from jaytray_core import message_registry as messages
from jaytray_core.adapters.http_pool import HttpPool
from jaytray_core.adapters.remote_call import remote_read
from jaytray_core.adapters.service_connection import ServiceConnection
from jaytray_core.codec import decode_json
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.exchange_errors import ExchangeError
from jaytray_core.vm_list import VmEntry, VmList

_PEER = "vm_list"


def open_vm_list(*, address: str, timeout_s: float) -> ServiceConnection[VmList]:
    """Return a connection whose calls time out after `timeout_s` seconds."""
    pool = HttpPool(address=address, connect_timeout_s=timeout_s)

    async def list_vms() -> list[VmEntry]:
        try:
            response = await remote_read(pool, "/vms", timeout_s=timeout_s)
        except ExchangeError as err:
            raise JaytrayError(
                messages.VM_LIST_UNAVAILABLE,
                step=Step.VM_LIST,
                peer=_PEER,
                detail=err.detail,
            ) from err
        return decode_json(response.body, list[VmEntry], peer=_PEER)

    return ServiceConnection(VmList(list_vms=list_vms), pool.close)


def connect_vm_list(*, address: str, timeout_s: float) -> VmList:
    """Return only the list, for a process that never closes the connection."""
    return open_vm_list(address=address, timeout_s=timeout_s).service
