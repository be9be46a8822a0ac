"""Client of the key-value service over HTTP.

A call of the function NAME is a POST to `/kv/NAME` with its arguments as a JSON
array; bytes are encoded as base64.
"""

from typing import Any, TypeVar

from jaytray_core.adapters.http_pool import HttpPool
from jaytray_core.adapters.remote_call import RemoteResponse, remote_call
from jaytray_core.adapters.service_connection import ServiceConnection
from jaytray_core.codec import decode_json
from jaytray_core.errors import JaytrayError
from jaytray_core.exchange_errors import ExchangeError
from jaytray_core.key_value_errors import (
    exchange_failed,
    service_unavailable,
    service_uncertain,
    value_too_large,
)
from jaytray_core.keyvalue import (
    MAX_VALUE_BYTES,
    KeyValueRecord,
    KeyValueService,
    PrefixRead,
    SwapResult,
    WatchBatch,
)

T = TypeVar("T")
_PEER = "kv"
_READ_FUNCTIONS = ("get", "get_prefix", "read_prefix", "watch")
_STATUS_TOO_LARGE = 413
_MAX_SUCCESS_STATUS = 201


def open_key_value(
    *, address: str, timeout_s: float
) -> ServiceConnection[KeyValueService]:
    """Return a connection whose calls time out after `timeout_s` seconds.

    A watch times out that many seconds after its own wait.
    """
    pool = HttpPool(address=address, connect_timeout_s=timeout_s)

    async def call(function: str, *arguments: Any, wait_s: float = 0.0) -> bytes:
        try:
            response = await remote_call(
                pool, f"/kv/{function}", arguments, timeout_s=timeout_s + wait_s
            )
        except ExchangeError as err:
            raise exchange_failed(
                function, err, is_read=function in _READ_FUNCTIONS
            ) from err
        _check_status(function, response)
        return response.body

    async def get(key: str) -> KeyValueRecord | None:
        records = _decode(await call("get", key), list[KeyValueRecord])
        return records[0] if records else None

    async def get_prefix(prefix: str) -> list[KeyValueRecord]:
        return _decode(await call("get_prefix", prefix), list[KeyValueRecord])

    async def read_prefix(prefix: str) -> PrefixRead:
        return _decode(await call("read_prefix", prefix), PrefixRead)

    async def compare_and_swap(
        key: str, expected_revision: int, value: bytes | None, lease_id: str
    ) -> SwapResult:
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise value_too_large(key)
        body = await call("compare_and_swap", key, expected_revision, value, lease_id)
        return _decode_write("compare_and_swap", body, SwapResult)

    async def grant_lease(ttl_s: float) -> str:
        return _decode_write("grant_lease", await call("grant_lease", ttl_s), str)

    async def keep_lease(lease_id: str) -> bool:
        return _decode_write("keep_lease", await call("keep_lease", lease_id), bool)

    async def revoke_lease(lease_id: str) -> None:
        await call("revoke_lease", lease_id)

    async def watch(prefix: str, after: int, wait_s: float) -> WatchBatch:
        body = await call("watch", prefix, after, wait_s, wait_s=wait_s)
        return _decode(body, WatchBatch)

    service = KeyValueService(
        get=get,
        get_prefix=get_prefix,
        read_prefix=read_prefix,
        compare_and_swap=compare_and_swap,
        grant_lease=grant_lease,
        keep_lease=keep_lease,
        revoke_lease=revoke_lease,
        watch=watch,
    )
    return ServiceConnection(service, pool.close)


def connect_key_value(*, address: str, timeout_s: float) -> KeyValueService:
    """Return only the service, for a process that never closes the connection."""
    return open_key_value(address=address, timeout_s=timeout_s).service


def _decode(body: bytes, message_type: type[T]) -> T:
    return decode_json(body, message_type, peer=_PEER)


def _decode_write(function: str, body: bytes, message_type: type[T]) -> T:
    try:
        return _decode(body, message_type)
    except JaytrayError as err:
        raise service_uncertain(f"{function}: {err.text}") from err


def _check_status(function: str, response: RemoteResponse) -> None:
    if response.status <= _MAX_SUCCESS_STATUS:
        return
    detail = f"{function}: status {response.status}"
    if response.status == _STATUS_TOO_LARGE:
        raise value_too_large(function)
    if response.is_not_run or function in _READ_FUNCTIONS:
        raise service_unavailable(detail)
    raise service_uncertain(detail)
