"""Endpoint of plain services behind `/services/NAME/`."""

from jaytray_server.request.endpoint import Exchange, authenticated
from jaytray_server.request.responses import send_whole, until_caller_leaves
from jaytray_server.request.service_call import (
    SERVICE_PREFIX,
    IncomingCall,
    dispatch_service_call,
    find_route,
)
from jaytray_server.request.services import RequestServices


async def answer_service_call(services: RequestServices, exchange: Exchange) -> None:
    """Answer one call to a plain service."""
    call = incoming_call(exchange)
    route = find_route(services.current_document(), call)
    caller = None if route.is_open else authenticated(services, exchange)
    answer = await until_caller_leaves(
        exchange.receive,
        dispatch_service_call(services, route, call, caller, exchange.tracker),
    )
    await send_whole(
        exchange.send,
        request_id=exchange.request_id,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def incoming_call(exchange: Exchange) -> IncomingCall:
    """Return the service, its path and the rest of the call."""
    name, _, rest = exchange.path.removeprefix(SERVICE_PREFIX).partition("/")
    return IncomingCall(
        request_id=exchange.request_id,
        method=exchange.method,
        service=name,
        path=f"/{rest}",
        query=exchange.query,
        headers=exchange.headers,
        body=exchange.body,
    )
