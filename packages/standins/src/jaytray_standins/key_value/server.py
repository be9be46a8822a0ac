"""HTTP server of the key-value store.

POST `/kv/FUNCTION` takes the function's arguments as a JSON array.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
from litestar import Response, post
from litestar.params import FromPath

from jaytray_core.codec import encode_json
from jaytray_standins.admin import admin_handlers
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.key_value.reads import read_key, read_prefix, read_prefix_at
from jaytray_standins.key_value.store import KeyValueStore, ValueTooLargeError
from jaytray_standins.listener import (
    AnyRequest,
    ConnectionAborter,
    json_response,
    listen,
    not_run_response,
    respond,
)

_ARGUMENTS_BY_FUNCTION: dict[str, Any] = {
    "get": tuple[str],
    "get_prefix": tuple[str],
    "read_prefix": tuple[str],
    "compare_and_swap": tuple[str, int, bytes | None, str],
    "grant_lease": tuple[float],
    "keep_lease": tuple[str],
    "revoke_lease": tuple[str],
    "watch": tuple[str, int, float],
}


@asynccontextmanager
async def serve_key_value(
    store: KeyValueStore, faults: FaultSwitches, *, port: int = 0
) -> AsyncIterator[str]:
    """Serve `store` until the context ends; yields the address `IP:port`."""
    functions = _functions(store, faults)

    @post("/kv/{function:str}")
    async def call(request: AnyRequest, function: FromPath[str]) -> Response[Any]:
        try:
            arguments = msgspec.json.decode(
                await request.body(), type=_ARGUMENTS_BY_FUNCTION[function]
            )
        except (KeyError, msgspec.DecodeError) as err:
            return not_run_response(400, f"malformed call: {err}")

        async def run() -> Response[Any]:
            try:
                result = await functions[function](*arguments)
            except ValueTooLargeError:
                return not_run_response(413, "value too large")
            return json_response(encode_json(result))

        return await respond(request, function, faults, run, store.sleep)

    def records() -> dict[str, Any]:
        return {
            "calls_by_function": dict(store.calls_by_function),
            "revision": store.revision,
        }

    handlers = [call, *admin_handlers(faults, records, {})]
    async with listen(handlers, ConnectionAborter(), port=port) as address:
        yield address
    await faults.close()


def _functions(
    store: KeyValueStore, faults: FaultSwitches
) -> dict[str, Callable[..., Awaitable[Any]]]:
    async def get(key: str) -> Any:
        record = read_key(store, faults, key)
        return [] if record is None else [record]

    async def get_prefix(prefix: str) -> Any:
        return read_prefix(store, faults, prefix)

    async def read_prefix_and_revision(prefix: str) -> Any:
        return read_prefix_at(store, faults, prefix)

    async def compare_and_swap(*arguments: Any) -> Any:
        return store.compare_and_swap(*arguments)

    async def grant_lease(ttl_s: float) -> Any:
        return store.grant_lease(ttl_s)

    async def keep_lease(lease_id: str) -> Any:
        return store.keep_lease(lease_id)

    async def revoke_lease(lease_id: str) -> Any:
        store.revoke_lease(lease_id)

    return {
        "get": get,
        "get_prefix": get_prefix,
        "read_prefix": read_prefix_and_revision,
        "compare_and_swap": compare_and_swap,
        "grant_lease": grant_lease,
        "keep_lease": keep_lease,
        "revoke_lease": revoke_lease,
        "watch": store.watch,
    }
