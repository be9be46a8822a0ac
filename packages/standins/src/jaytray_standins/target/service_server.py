"""HTTP server of a plain service; responds on every path outside `/admin/`."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from litestar import Response, route
from litestar.enums import HttpMethod

from jaytray_core.targets import ServiceCall
from jaytray_standins.admin import admin_handlers
from jaytray_standins.faults import FaultKind, FaultSwitches
from jaytray_standins.listener import (
    AnyRequest,
    ConnectionAborter,
    json_response,
    listen,
    not_run_response,
    respond,
)
from jaytray_standins.target.server import FOREIGN_REQUEST_ID, header_list
from jaytray_standins.target.service_state import ServiceState
from jaytray_standins.target.state import TargetCrashedError

_METHODS = [
    HttpMethod.GET,
    HttpMethod.POST,
    HttpMethod.PUT,
    HttpMethod.PATCH,
    HttpMethod.DELETE,
]


@asynccontextmanager
async def serve_service(
    state: ServiceState, faults: FaultSwitches, *, port: int = 0
) -> AsyncIterator[str]:
    """Serve `state` until the context ends; yields the address `IP:port`."""
    aborter = ConnectionAborter()

    @route(["/", "/{path:path}"], http_method=_METHODS, status_code=200)
    async def call(request: AnyRequest) -> Response[Any]:
        service_call = await _service_call(request)
        headers = {"x-request-id": service_call.request_id}

        async def run() -> Response[Any]:
            if not state.is_up or faults.consume(FaultKind.REFUSED, "call_service"):
                return not_run_response(503, "not accepting calls", headers)
            try:
                response = await state.run(service_call)
            except TargetCrashedError:
                aborter.abort(request)
                return Response(b"", status_code=500)
            is_failed = faults.consume(FaultKind.FAILED, "call_service")
            status = 500 if is_failed else response.status
            if faults.consume(FaultKind.CROSSED, "call_service"):
                headers["x-request-id"] = FOREIGN_REQUEST_ID
            return json_response(response.body, status=status, headers=headers)

        return await respond(request, "call_service", faults, run, state.sleep)

    def records() -> dict[str, Any]:
        return {"ran_requests": [r._asdict() for r in state.ran_requests]}

    actions = {"crash": lambda _argument: state.crash()}
    handlers = [call, *admin_handlers(faults, records, actions)]
    async with listen(handlers, aborter, port=port) as address:
        yield address
    await faults.close()


async def _service_call(request: AnyRequest) -> ServiceCall:
    scope = request.scope
    return ServiceCall(
        request_id=request.headers.get("x-request-id", ""),
        method=str(request.method),
        path=scope["raw_path"].decode("latin-1"),
        query=scope["query_string"].decode("latin-1"),
        headers=header_list(request),
        body=await request.body(),
        timeout_s=0.0,
    )
