"""In-process connections to the stand-ins of the external systems.

No socket is opened. Each connection has fault switches of its own, so that one caller
can be disconnected while another is not.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.key_value_errors import (
    service_unavailable,
    service_uncertain,
    value_too_large,
)
from jaytray_core.keyvalue import (
    KeyValueRecord,
    KeyValueService,
    PrefixRead,
    SwapResult,
    WatchBatch,
)
from jaytray_core.vm_list import VmEntry, VmList
from jaytray_core.weight_store import WeightStore, WeightStoreStatus
from jaytray_standins.faults import (
    FaultSwitches,
    NoResponseError,
    NotDeliveredError,
    deliver,
)
from jaytray_standins.in_process_target import in_process_service, in_process_target
from jaytray_standins.key_value.reads import read_key, read_prefix, read_prefix_at
from jaytray_standins.key_value.store import KeyValueStore, ValueTooLargeError
from jaytray_standins.vm_list.state import VmListState
from jaytray_standins.weight_store.state import WeightStoreState

__all__ = [
    "in_process_key_value",
    "in_process_service",
    "in_process_target",
    "in_process_list_of_vms",
    "in_process_weight_store",
]

T = TypeVar("T")
_READS = ("get", "get_prefix", "watch")


def in_process_key_value(
    store: KeyValueStore, faults: FaultSwitches, *, timeout_s: float = 1.0
) -> KeyValueService:
    """Return a connection to `store`; calls wait at most `timeout_s` seconds."""

    async def call(operation: str, run: Callable[[], T], wait_s: float = 0.0) -> T:
        async def run_async() -> T:
            return run()

        return await call_async(operation, run_async, wait_s)

    async def call_async(
        operation: str, run: Callable[[], Awaitable[T]], wait_s: float = 0.0
    ) -> T:
        try:
            return await deliver(
                run,
                operation=operation,
                faults=faults,
                sleep=store.sleep,
                timeout_s=timeout_s + wait_s,
            )
        except NotDeliveredError:
            raise service_unavailable("connection refused") from None
        except NoResponseError:
            if operation in _READS:
                raise service_unavailable("no response") from None
            raise service_uncertain("no response") from None

    async def get(key: str) -> KeyValueRecord | None:
        return await call("get", lambda: read_key(store, faults, key))

    async def get_prefix(prefix: str) -> list[KeyValueRecord]:
        return await call("get_prefix", lambda: read_prefix(store, faults, prefix))

    async def read_prefix_and_revision(prefix: str) -> PrefixRead:
        return await call("get_prefix", lambda: read_prefix_at(store, faults, prefix))

    async def compare_and_swap(
        key: str, expected_revision: int, value: bytes | None, lease_id: str
    ) -> SwapResult:
        def run() -> SwapResult:
            return store.compare_and_swap(key, expected_revision, value, lease_id)

        try:
            return await call("compare_and_swap", run)
        except ValueTooLargeError:
            raise value_too_large(key, store.max_value_bytes) from None

    async def grant_lease(ttl_s: float) -> str:
        return await call("grant_lease", lambda: store.grant_lease(ttl_s))

    async def keep_lease(lease_id: str) -> bool:
        return await call("keep_lease", lambda: store.keep_lease(lease_id))

    async def revoke_lease(lease_id: str) -> None:
        await call("revoke_lease", lambda: store.revoke_lease(lease_id))

    async def watch(prefix: str, after: int, wait_s: float) -> WatchBatch:
        async def run() -> WatchBatch:
            return await store.watch(prefix, after, wait_s)

        return await call_async("watch", run, wait_s)

    return KeyValueService(
        get=get,
        get_prefix=get_prefix,
        read_prefix=read_prefix_and_revision,
        compare_and_swap=compare_and_swap,
        grant_lease=grant_lease,
        keep_lease=keep_lease,
        revoke_lease=revoke_lease,
        watch=watch,
    )


def in_process_weight_store(
    state: WeightStoreState, faults: FaultSwitches, *, timeout_s: float = 1.0
) -> WeightStore:
    """Return a connection to the weight store."""

    async def status() -> WeightStoreStatus:
        async def run() -> WeightStoreStatus:
            return state.status()

        return await _deliver_read(
            run, "status", faults, timeout_s, messages.WEIGHT_STORE_UNAVAILABLE
        )

    return WeightStore(status=status)


def in_process_list_of_vms(
    state: VmListState, faults: FaultSwitches, *, timeout_s: float = 1.0
) -> VmList:
    """Return a connection to the list of VMs."""

    async def list_vms() -> list[VmEntry]:
        async def run() -> list[VmEntry]:
            return state.visible()

        return await _deliver_read(
            run, "list_vms", faults, timeout_s, messages.VM_LIST_UNAVAILABLE
        )

    return VmList(list_vms=list_vms)


async def _deliver_read(
    run: Callable[[], Awaitable[T]],
    operation: str,
    faults: FaultSwitches,
    timeout_s: float,
    template: messages.MessageTemplate,
) -> T:
    async def no_wait(_seconds: float) -> None:
        return None

    try:
        return await deliver(
            run,
            operation=operation,
            faults=faults,
            sleep=no_wait,
            timeout_s=timeout_s,
        )
    except (NotDeliveredError, NoResponseError):
        is_weight_store = template is messages.WEIGHT_STORE_UNAVAILABLE
        step = Step.WEIGHT_STORE if is_weight_store else Step.VM_LIST
        raise JaytrayError(
            template, step=step, peer=str(step), detail="no response"
        ) from None
