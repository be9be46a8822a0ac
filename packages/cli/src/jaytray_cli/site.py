"""Connections of one command: the key-value service, the list of VMs and the VMs."""

import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from typing import Any, NamedTuple

import httpx

from jaytray_cli.results import UsageError
from jaytray_core import message_registry as messages
from jaytray_core.adapters.key_value_http import open_key_value
from jaytray_core.adapters.vm_list_http import open_vm_list
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.vm_list import ListVmsFunction, VmEntry

_TIMEOUT_S = 5.0
_VM_TIMEOUT_S = 2.0
# Environment variable that holds the operator token for the VMs.
OPERATOR_TOKEN_VARIABLE = "JAYTRAY_OPERATOR_TOKEN"

# (VM, method, path) -> decoded JSON, or None without a successful JSON response.
CallVm = Callable[[VmEntry, str, str], Awaitable[Any]]


class Site(NamedTuple):
    """The connections of a command; `list_vms` raises `vm_list_unavailable`."""

    key_value: KeyValueService
    list_vms: ListVmsFunction
    call_vm: CallVm


# Takes the flags of the command.
OpenSite = Callable[[Any], AbstractAsyncContextManager[Site]]


@asynccontextmanager
async def open_site(flags: Any) -> AsyncIterator[Site]:
    """Yield clients for `--key_value` and `--vm_list`, which connect on first use."""
    if not flags.key_value:
        raise UsageError("--key_value=IP:PORT is required")
    async with AsyncExitStack() as stack:
        key_value = open_key_value(address=flags.key_value, timeout_s=_TIMEOUT_S)
        stack.push_async_callback(key_value.close)
        list_vms: ListVmsFunction = _no_vm_list
        if flags.vm_list:
            vm_list = open_vm_list(address=flags.vm_list, timeout_s=_TIMEOUT_S)
            stack.push_async_callback(vm_list.close)
            list_vms = vm_list.service.list_vms
        # Not a flag: the token is secret and other users can see command lines.
        token = os.environ.get(OPERATOR_TOKEN_VARIABLE, "")
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        client = httpx.AsyncClient(timeout=_VM_TIMEOUT_S, headers=headers)
        await stack.enter_async_context(client)
        yield Site(key_value.service, list_vms, _make_call_vm(client))


def _make_call_vm(client: httpx.AsyncClient) -> CallVm:
    async def call_vm(vm: VmEntry, method: str, path: str) -> Any:
        try:
            response = await client.request(method, f"http://{vm.http_address}{path}")
            return response.json() if response.is_success else None
        except (httpx.HTTPError, ValueError):
            return None

    return call_vm


async def _no_vm_list() -> list[VmEntry]:
    raise JaytrayError(
        messages.VM_LIST_UNAVAILABLE,
        step=Step.VM_LIST,
        detail="--vm_list=IP:PORT is not given",
    )
