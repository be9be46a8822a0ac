"""Sends an admitted request to another member, which forwards it to a target.

Used while no target of the service accepts connections from this VM. The other member
chooses targets, sends attempts and streams the response back. A refusal comes back as
an error, so that it is logged, and its tokens are refunded, as if it had been raised
here.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_core.message_registry import MessageTemplate
from jaytray_gateway.connection.target_connection import TargetConnection
from jaytray_gateway.ports import HeaderList
from jaytray_gateway.process.membership import Member
from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.request.run_state import (
    AttemptFailed,
    AttemptNotRun,
    RequestState,
    check_caller,
)
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.request.target_exchange import TargetExchange
from jaytray_gateway.version.route_table import ClientAccount, RequestKind, Route

RELAY_PATH = b"/relay"
# Where a member states the version of its route table.
TABLE_VERSION_PATH = b"/route-table-version"
RELAY_KEY_HEADER = b"x-jaytray-relay-key"
# Status for a request whose key is not that of this start; it has not run.
STATUS_OTHER_RELAY_KEY = 403
# Present in a response whose body is a `RelayRefusal`.
RELAY_REFUSED_HEADER = b"x-jaytray-relay-refused"
# Members accept connections within milliseconds.
CONNECT_TIMEOUT_S = 0.3
# Refusals that depend on the forwarding member only; another one may accept.
_CODES_OF_MEMBER = frozenset(
    (
        messages.MEMORY_FULL.code,
        messages.SERVICE_CUT_OFF.code,
        messages.SHUTTING_DOWN.code,
    )
)
# Headers of the response between members that the caller's server sets by itself.
_OWN_HEADERS = frozenset(
    (b"connection", b"content-length", b"date", b"keep-alive", b"transfer-encoding")
)


class RelayedRequest(NamedTuple):
    """A request as admitted by the member `vm_id`, for another one to forward.

    `software_version` is the one that its stream must go on at, None if it may begin
    anywhere.
    """

    vm_id: str
    request: RoutedRequest
    table_version: int
    route: Route
    account: ClientAccount | None
    priority: int
    time_left_s: float
    service: str
    software_version: str | None


class RelayRefusal(NamedTuple):
    """A `JaytrayError` of the forwarding member."""

    code: str
    status: int
    text: str
    step: Step
    peer: str
    execution: Execution
    retry_after_s: float | None


def encode_refusal(err: JaytrayError) -> bytes:
    """Encode an error for the member that sent the request."""
    return encode_msgpack(
        RelayRefusal(
            err.code,
            err.status,
            err.text,
            err.step,
            err.peer,
            err.execution,
            err.retry_after_s,
        )
    )


async def relay_request(
    state: RequestState, member: Member, reply: CallerReply, services: RequestServices
) -> None:
    """Have `member` forward the request, and pass its response on to the caller.

    Raises `AttemptNotRun`, `AttemptFailed`, or the `JaytrayError` of the member.
    """
    services.admission.check_freshness()
    state.relayed_by = member.vm_id
    state.clear_response()
    try:
        async with _connection_to(
            member, services, state.admitted.expires_at_s
        ) as connection:
            check_caller(state, reply.has_caller_left, now_s=services.clock())
            state.note_sent(
                services.clock(), copy_age_s=services.admission.table_age_s()
            )
            body = encode_msgpack(_relayed_request(state, services))
            headers: HeaderList = [
                (b"host", member.relay_address.encode()),
                (RELAY_KEY_HEADER, member.relay_key.encode()),
                (b"content-length", b"%d" % len(body)),
            ]
            connection.send(b"POST", RELAY_PATH, headers, body)
            exchange = TargetExchange(
                connection=connection,
                request=state.admitted.request,
                pools=services.pools,
                adapter=services.adapter,
                clock=services.clock,
                peer_kind="member",
            )
            await _pass_on(state, member, exchange, reply, services)
    except ExchangeError as err:
        if err.progress is ExchangeProgress.NOT_SENT:
            raise AttemptNotRun(err.detail, reached_target=False) from err
        state.runs += 1
        is_late = err.progress is ExchangeProgress.TIMED_OUT
        raise AttemptFailed(err.detail, is_timeout=is_late) from err


@asynccontextmanager
async def _connection_to(
    member: Member, services: RequestServices, until_s: float
) -> AsyncIterator[TargetConnection]:
    """Yield a connection; it returns to the pool after a complete exchange."""
    pool_id = f"vm:{member.vm_id}"
    connection = await services.pools.acquire(
        pool_id,
        member.relay_address,
        timeout_s=min(CONNECT_TIMEOUT_S, until_s - services.clock()),
    )
    is_complete = False
    try:
        yield connection
        is_complete = True
    finally:
        if is_complete:
            services.pools.release(pool_id, member.relay_address, connection, None)
        else:
            connection.close()


def _relayed_request(state: RequestState, services: RequestServices) -> RelayedRequest:
    admitted: AdmittedRequest = state.admitted
    request = admitted.request._replace(key_digest=None)
    if state.event_buffer is not None and state.event_buffer.last_event_id:
        request = request._replace(last_event_id=state.event_buffer.last_event_id)
    return RelayedRequest(
        vm_id=services.vm_id,
        request=request,
        table_version=admitted.table_version,
        route=admitted.route,
        account=admitted.account,
        priority=admitted.priority,
        time_left_s=max(0.001, admitted.expires_at_s - services.clock()),
        service=state.service.name,
        software_version=state.required_version,
    )


async def _pass_on(
    state: RequestState,
    member: Member,
    exchange: TargetExchange,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    until_s = state.admitted.expires_at_s
    head = await exchange.read_any_head(until_s)
    names = {name for name, _ in head.headers}
    if RELAY_REFUSED_HEADER in names:
        body = await exchange.read_body(until_s)
        refusal = decode_msgpack(body, RelayRefusal, peer=state.relayed_by)
        if refusal.code == messages.SHUTTING_DOWN.code:
            services.relays.avoid_until_restart(member)
        if refusal.code in _CODES_OF_MEMBER:
            raise AttemptNotRun(refusal.text, reached_target=False)
        if refusal.code == messages.STOPPED_BEFORE_RESPONSE.code:
            raise ExchangeError(progress=ExchangeProgress.BROKEN, detail=refusal.text)
        raise _to_error(refusal)
    answer = services.adapter.read_response_head(head.status_code, list(head.headers))
    # Targets name the request; other responses are those of the member itself, or of
    # another program at its address.
    if answer.request_id != state.admitted.request.request_id:
        detail = f"status {head.status_code} by member {member.vm_id}"
        if head.status_code == STATUS_OTHER_RELAY_KEY:
            services.relays.avoid_until_restart(member)
            raise AttemptNotRun(detail, reached_target=False)
        raise ExchangeError(progress=ExchangeProgress.BROKEN, detail=detail)
    headers = [pair for pair in head.headers if pair[0] not in _OWN_HEADERS]
    if (
        state.admitted.route.kind is not RequestKind.STREAM
        or b"content-length" in names
    ):
        body = await exchange.read_body(until_s)
        state.runs += 1
        if reply.is_started:
            raise AttemptFailed(
                f"status {head.status_code} when resuming", is_timeout=False
            )
        await reply.send_complete(head.status_code, headers, body)
        return
    while (chunk := await exchange.read_chunk(until_s)) is not None:
        # A response that has begun may last until the time limit.
        until_s = state.admitted.limit_at_s
        state.note_chunk(services.clock())
        if state.event_buffer is not None:
            chunk = state.event_buffer.feed(chunk)
        if not chunk:
            continue
        if not reply.is_started:
            await reply.start(head.status_code, headers)
        await reply.send(chunk)
    state.runs += 1
    if not reply.is_started:
        await reply.start(head.status_code, headers)
    await reply.finish()


def _to_error(refusal: RelayRefusal) -> JaytrayError:
    text = refusal.text.replace("{", "{{").replace("}", "}}")
    return JaytrayError(
        MessageTemplate(refusal.code, refusal.status, text, ""),
        step=refusal.step,
        peer=refusal.peer,
        execution=refusal.execution,
        retry_after_s=refusal.retry_after_s,
    )
