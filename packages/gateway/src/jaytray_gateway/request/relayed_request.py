"""Forwards requests of members that do not reach the targets themselves.

Such a request has been authenticated and charged by the member that sent it. It is not
passed on to a third member. The application also states the version of the route
table in force to members that have just started.
"""

import hmac
from contextlib import suppress
from typing import Any

from jaytray_core import message_registry as messages
from jaytray_core.codec import decode_msgpack
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_gateway.connection.bounded_protocol import check_memory
from jaytray_gateway.connection.table_version_call import (
    STATUS_OTHER_KEY,
    encode_version,
)
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.relay import (
    RELAY_KEY_HEADER,
    RELAY_PATH,
    RELAY_REFUSED_HEADER,
    STATUS_OTHER_RELAY_KEY,
    TABLE_VERSION_PATH,
    RelayedRequest,
    encode_refusal,
)
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.request_body import read_body
from jaytray_gateway.request.request_path import (
    forward,
    log_finished,
    send_error_response,
    with_earlier_runs,
)
from jaytray_gateway.request.routed_request import content_digest
from jaytray_gateway.request.run_state import RequestState
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.request.time_limit import time_limit
from jaytray_server.request.caller_presence import (
    CallerDisconnected,
    cancel_on_disconnect,
    departure_check,
)

STATUS_OK = 200
# The refusal's own status is in the body.
STATUS_REFUSED = 503
# A caller's body, which its own member has limited, and the rest of the message.
MAX_MESSAGE_BYTES = 16_777_216


def make_relay_app(services: RequestServices, *, lifecycle: Lifecycle) -> Any:
    """Return the ASGI application that forwards other members' requests."""

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        reply = CallerReply(
            send=send,
            closes_connection=lifecycle.is_stopping,
            has_caller_left=departure_check(scope),
        )
        key = dict(scope["headers"]).get(RELAY_KEY_HEADER, b"")
        is_member = hmac.compare_digest(key, services.relays.own_key.encode())
        if scope["raw_path"] == TABLE_VERSION_PATH:
            version = encode_version(services.admission.table_version())
            status = STATUS_OK if is_member else STATUS_OTHER_KEY
            await reply.send_complete(status, [], version if is_member else b"")
            return
        if scope["raw_path"] != RELAY_PATH or not is_member:
            path = scope["raw_path"].decode("latin-1")
            get_logger().info("relay_refused", path=path, is_key_known=is_member)
            reply.closes_connection = True
            await reply.send_complete(STATUS_OTHER_RELAY_KEY, [], b"")
            return
        lifecycle.running_requests += 1
        try:
            with suppress(CallerDisconnected):
                body = await read_body(receive, MAX_MESSAGE_BYTES)
                check_memory(scope)
                relayed = decode_msgpack(body, RelayedRequest, peer="member")
                work = _serve_one(relayed, reply, services, lifecycle)
                await cancel_on_disconnect(receive, work)
        except JaytrayError as err:
            await _refuse(err, reply)
        finally:
            lifecycle.running_requests -= 1

    return serve


async def _serve_one(
    relayed: RelayedRequest,
    reply: CallerReply,
    services: RequestServices,
    lifecycle: Lifecycle,
) -> None:
    now_s = services.clock()
    request = relayed.request._replace(received_at_s=now_s)
    admitted = AdmittedRequest(
        request=request,
        table_version=relayed.table_version,
        route=relayed.route,
        account=relayed.account,
        charge=None,
        priority=relayed.priority,
        expires_at_s=now_s + relayed.time_left_s,
    )
    state: RequestState | None = None
    error: JaytrayError | None = None
    try:
        state = _prepare(relayed, admitted, services, lifecycle)
        async with time_limit(admitted, reply, services, lambda: state):
            await forward(state, reply, services)
    except JaytrayError as err:
        error = with_earlier_runs(err, state)
        if state is not None and state.last_error is not None and not reply.is_started:
            await send_error_response(state.last_error, reply)
        else:
            await _refuse(error, reply)
    finally:
        log_finished(request, state, reply, error, services)


def _prepare(
    relayed: RelayedRequest,
    admitted: AdmittedRequest,
    services: RequestServices,
    lifecycle: Lifecycle,
) -> RequestState:
    # The sender has other members to choose from.
    if lifecycle.is_refusing or admitted.expires_at_s > lifecycle.ends_at_s:
        raise JaytrayError(messages.SHUTTING_DOWN, step=Step.ADMIT)
    if services.reach.is_cut_off(relayed.service):
        raise JaytrayError(
            messages.SERVICE_CUT_OFF, step=Step.ROUTE, name=relayed.service
        )
    table = services.admission.route_table()
    service = table.services_by_name.get(relayed.service)
    if service is None:
        raise JaytrayError(messages.NO_REPLICA, step=Step.ROUTE, name=relayed.service)
    digest = content_digest(admitted.request, admitted.account_name)
    services.crash_guard.check(digest)
    services.part_guard.check(admitted.request.shared_part_ids)
    state = RequestState(admitted=admitted, service=service, digest=digest)
    state.required_version = relayed.software_version
    state.relayed_for = relayed.vm_id
    return state


async def _refuse(err: JaytrayError, reply: CallerReply) -> None:
    """Send the error back, unless part of a response has already been sent."""
    if not reply.is_started:
        headers = [(RELAY_REFUSED_HEADER, b"1")]
        await reply.send_complete(STATUS_REFUSED, headers, encode_refusal(err))
