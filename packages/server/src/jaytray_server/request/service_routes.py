"""Endpoint of plain services behind `/services/NAME/`."""

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.request.endpoint import Exchange, authenticate
from jaytray_server.request.responses import send_whole, until_caller_leaves
from jaytray_server.request.service_call import (
    SERVICE_PREFIX,
    IncomingCall,
    dispatch_service_call,
    find_route,
)
from jaytray_server.request.services import Caller, RequestServices

_OPEN_CALLER = Caller(account=None, key_digest="")


async def answer_service_call(services: RequestServices, exchange: Exchange) -> None:
    """Answer one call to a plain service."""
    call = incoming_call(exchange)
    route = find_route(services.current_document(), call)
    caller = _OPEN_CALLER if route.is_open else authenticate(services, exchange)
    if not route.is_open and caller.account is None:
        raise JaytrayError(messages.KEY_MISSING, step=Step.AUTHENTICATE)
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
