"""HTTP server of the list of VMs: GET `/vms`."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from litestar import Response, get

from jaytray_core.codec import encode_json
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_standins.admin import admin_handlers
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.listener import (
    AnyRequest,
    ConnectionAborter,
    json_response,
    listen,
    respond,
)
from jaytray_standins.vm_list.state import VmListState


@asynccontextmanager
async def serve_vm_list(
    state: VmListState, faults: FaultSwitches, *, port: int = 0
) -> AsyncIterator[str]:
    """Serve `state` until the context ends; yields the address `IP:port`.

    The actions `put` (argument as for `parse_vm`) and `remove` (a VM id) change it.
    """

    @get("/vms")
    async def vms(request: AnyRequest) -> Response[Any]:
        async def run() -> Response[Any]:
            return json_response(encode_json(state.visible()))

        return await respond(request, "list_vms", faults, run)

    def records() -> dict[str, Any]:
        return {"vms": [entry.vm_id for entry in state.visible()]}

    def put(argument: str) -> None:
        state.put(parse_vm(argument))

    actions = {"put": put, "remove": state.remove}
    handlers = [vms, *admin_handlers(faults, records, actions)]
    async with listen(handlers, ConnectionAborter(), port=port) as address:
        yield address
    await faults.close()


def parse_vm(text: str) -> VmEntry:
    """Return the entry written as `ID,PEER_ADDRESS,HTTP_ADDRESS,DOMAIN[,STATE]`."""
    vm_id, peer_address, http_address, domain, *state = text.split(",")
    vm_state = VmState(state[0]) if state else VmState.LIVE
    return VmEntry(vm_id, peer_address, http_address, domain, vm_state)
