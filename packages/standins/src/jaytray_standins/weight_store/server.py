"""HTTP server of the weight store: GET `/status`."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from litestar import Response, get

from jaytray_core.codec import encode_json
from jaytray_standins.admin import admin_handlers
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.listener import (
    AnyRequest,
    ConnectionAborter,
    json_response,
    listen,
    respond,
)
from jaytray_standins.weight_store.state import WeightStoreState


@asynccontextmanager
async def serve_weight_store(
    state: WeightStoreState, faults: FaultSwitches, *, port: int = 0
) -> AsyncIterator[str]:
    """Serve `state` until the context ends; yields the address `IP:port`."""

    @get("/status")
    async def status(request: AnyRequest) -> Response[Any]:
        async def run() -> Response[Any]:
            return json_response(encode_json(state.status()))

        return await respond(request, "status", faults, run)

    def records() -> dict[str, Any]:
        return {
            "loads_begun": state.loads_begun,
            "longest_wait_s": state.longest_wait_s,
        }

    handlers = [status, *admin_handlers(faults, records, {})]
    async with listen(handlers, ConnectionAborter(), port=port) as address:
        yield address
    await faults.close()
