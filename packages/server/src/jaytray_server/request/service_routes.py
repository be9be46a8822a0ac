"""Endpoint of plain services behind `/services/NAME/`."""

from collections.abc import Coroutine
from typing import Any

from jaytray_core.document.model import Route
from jaytray_core.targets import WholeResponse
from jaytray_server.process.idempotency.idempotency import (
    Claim,
    check_key,
    make_call,
    run_once,
)
from jaytray_server.request.caller_presence import cancel_on_disconnect
from jaytray_server.request.endpoint import Exchange, require_caller
from jaytray_server.request.refusals import invalid_request
from jaytray_server.request.responses import (
    send_response,
    shield_from_disconnect,
)
from jaytray_server.request.service_call import dispatch_service_call
from jaytray_server.request.service_routing import (
    IncomingCall,
    find_route,
    is_repeatable,
    split_service_path,
)
from jaytray_server.request.services import RequestServices
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.version.authentication import Caller

IDEMPOTENCY_HEADER = "idempotency-key"


async def respond_to_service_call(
    services: RequestServices, exchange: Exchange
) -> None:
    """Respond to one call to a plain service."""
    call = incoming_call(exchange)
    route = find_route(services.current_document(), call)
    caller = None if route.is_open else require_caller(services, exchange)
    must_finish = is_deduplicated(route, call, caller)
    work = run_service_call(services, route, call, caller, exchange.tracker)
    if must_finish:
        counted = _run_counted(services, work)
        response = await shield_from_disconnect(exchange.receive, counted)
    else:
        response = await cancel_on_disconnect(exchange.receive, work)
    await send_response(
        exchange.send, request_id=exchange.request_id, response=response
    )


async def run_service_call(
    services: RequestServices,
    route: Route,
    call: IncomingCall,
    caller: Caller | None,
    tracker: DispatchTracker,
) -> WholeResponse:
    """Run a call, only once per Idempotency-Key if it may not be repeated."""
    key = idempotency_key(call)
    if key is None or caller is None or not is_deduplicated(route, call, caller):
        return await dispatch_service_call(services, route, call, caller, tracker)
    check_key(key)
    idempotency = services.idempotency
    keyed_call = make_call(
        account=caller.account.name,
        key=key,
        method=call.method,
        path=f"{call.service}{call.raw_path}",
        query=call.query,
        body=call.body,
        max_run_s=route.timeout_s,
    )

    async def run(claim: Claim) -> WholeResponse:
        tracker.before_send = lambda: idempotency.check_valid(claim)
        return await dispatch_service_call(services, route, call, caller, tracker)

    return await run_once(idempotency, keyed_call, run, lambda: tracker.execution)


def is_deduplicated(route: Route, call: IncomingCall, caller: Caller | None) -> bool:
    """Return whether the Idempotency-Key limits the call to one run.

    Raises `invalid_request` for a key on a route without client accounts, where it
    would have no effect.
    """
    if idempotency_key(call) is None or is_repeatable(route, call.method):
        return False
    if caller is None:
        raise invalid_request("Idempotency-Key: an open route has no client account")
    return True


def idempotency_key(call: IncomingCall) -> str | None:
    """Return the Idempotency-Key of a call, or None without the header."""
    return next((v for n, v in call.headers if n == IDEMPOTENCY_HEADER), None)


async def _run_counted(
    services: RequestServices, work: Coroutine[Any, Any, WholeResponse]
) -> WholeResponse:
    """Count the call as running until it ends, even if its caller disconnects."""
    with services.lifecycle.running_response():
        return await work


def incoming_call(exchange: Exchange) -> IncomingCall:
    """Return the call that `exchange` makes to a service."""
    name, path, raw_path = split_service_path(exchange.raw_path)
    return IncomingCall(
        request_id=exchange.request_id,
        method=exchange.method,
        service=name,
        path=path,
        raw_path=raw_path,
        query=exchange.query,
        headers=exchange.headers,
        body=exchange.body,
    )
