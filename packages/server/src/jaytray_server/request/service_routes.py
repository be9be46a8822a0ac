"""Endpoint of plain services behind `/services/NAME/`."""

from jaytray_core.document.model import Route
from jaytray_core.targets import WholeAnswer
from jaytray_server.process.idempotency.idempotency import (
    Claim,
    check_key,
    make_call,
    run_once,
)
from jaytray_server.request.endpoint import Exchange, authenticated
from jaytray_server.request.responses import send_whole, until_caller_leaves
from jaytray_server.request.service_call import (
    SERVICE_PREFIX,
    IncomingCall,
    dispatch_service_call,
    find_route,
    is_repeatable,
)
from jaytray_server.request.services import RequestServices
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.version.authentication import Caller

IDEMPOTENCY_HEADER = "idempotency-key"


async def answer_service_call(services: RequestServices, exchange: Exchange) -> None:
    """Answer one call to a plain service."""
    call = incoming_call(exchange)
    route = find_route(services.current_document(), call)
    caller = None if route.is_open else authenticated(services, exchange)
    answer = await until_caller_leaves(
        exchange.receive,
        run_service_call(services, route, call, caller, exchange.tracker),
    )
    await send_whole(
        exchange.send,
        request_id=exchange.request_id,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


async def run_service_call(
    services: RequestServices,
    route: Route,
    call: IncomingCall,
    caller: Caller | None,
    tracker: DispatchTracker,
) -> WholeAnswer:
    """Run a call, only once for its Idempotency-Key if it may not be repeated."""
    key = next((v for n, v in call.headers if n == IDEMPOTENCY_HEADER), None)
    if key is None or caller is None or is_repeatable(route, call.method):
        return await dispatch_service_call(services, route, call, caller, tracker)
    check_key(key)
    idempotency = services.idempotency
    keyed_call = make_call(
        account=caller.account.name,
        key=key,
        method=call.method,
        path=f"{call.service}{call.path}",
        query=call.query,
        body=call.body,
        runs_s=route.timeout_s,
    )

    async def run(claim: Claim) -> WholeAnswer:
        tracker.before_send = lambda: idempotency.check_valid(claim)
        return await dispatch_service_call(services, route, call, caller, tracker)

    return await run_once(idempotency, keyed_call, run, lambda: tracker.execution)


def incoming_call(exchange: Exchange) -> IncomingCall:
    """Return the service, its path and the rest of the call."""
    name, path = split_service_path(exchange.path)
    return IncomingCall(
        request_id=exchange.request_id,
        method=exchange.method,
        service=name,
        path=path,
        query=exchange.query,
        headers=exchange.headers,
        body=exchange.body,
    )


def split_service_path(path: str) -> tuple[str, str]:
    """Return the name of the service and the service's own path."""
    name, _, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
    return name, f"/{rest}"
