"""Handles one request: admits it, sends attempts, and retries or refuses it."""

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.stream_origins import StreamOrigin, stream_key
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.attempt import send_attempt
from jaytray_gateway.request.refusals import refusal_status
from jaytray_gateway.request.relay import relay_request
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.routed_request import RoutedRequest, content_digest
from jaytray_gateway.request.run_state import (
    AttemptFailed,
    AttemptNotRun,
    ErrorResponse,
    RequestState,
    log_attempt_ended,
    may_have_run_error,
    not_run_error,
    time_limit_error,
)
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.request.time_limit import time_limit
from jaytray_gateway.version.route_table import RequestKind, choose_service
from jaytray_server.request.caller_presence import CallerDisconnected

# Attempts that may end without the target running the request before it is refused.
MAX_ATTEMPTS_NOT_RUN = 3


async def serve_request(
    request: RoutedRequest, reply: CallerReply, services: RequestServices
) -> None:
    """Send `request` exactly one response; cancelled when the caller disconnects."""
    admitted: AdmittedRequest | None = None
    state: RequestState | None = None
    error: JaytrayError | None = None
    try:
        if reply.has_caller_left():
            raise CallerDisconnected
        admitted = await services.admission.admit(request)
        async with time_limit(admitted, reply, services, lambda: state):
            state = await _prepare(admitted, services)
            await forward(state, reply, services)
    except JaytrayError as err:
        error = with_earlier_runs(err, state)
        _refund_if_not_run(admitted, error, services)
        if state is not None and state.last_error is not None and not reply.is_started:
            await send_error_response(state.last_error, reply)
        else:
            await _refuse(error, request, reply, services)
    finally:
        log_finished(request, state, reply, error, services)


async def _prepare(
    admitted: AdmittedRequest, services: RequestServices
) -> RequestState:
    table = services.admission.route_table()
    name = choose_service(admitted.route, services.rng.random())
    origin = None
    if _continues_stream(admitted):
        origin = await _find_origin(admitted, name, services)
        if any(choice.service == origin.service for choice in admitted.route.services):
            name = origin.service
    service = table.services_by_name.get(name)
    if service is None:
        raise not_run_error(messages.NO_REPLICA, Step.ROUTE, name=name)
    request = admitted.request
    if request.model and service.engine is not None:
        speed = services.speeds.of(service.name)
        cost_ms = speed.engine_time_ms(request, service.engine)
        services.replica_demand.add(request.model, cost_ms)
        if request.adapter:
            services.replica_demand.add(request.replica_name, cost_ms)
    digest = content_digest(request, admitted.account_name)
    services.crash_guard.check(digest)
    services.part_guard.check(request.shared_part_ids)
    services.budget.record_request(name)
    state = RequestState(admitted=admitted, service=service, digest=digest)
    state.required_version = origin.software_version if origin else None
    return state


def _continues_stream(admitted: AdmittedRequest) -> bool:
    request = admitted.request
    return admitted.route.kind is RequestKind.STREAM and bool(
        request.last_event_id or request.original_request_id
    )


async def _find_origin(
    admitted: AdmittedRequest, service: str, services: RequestServices
) -> StreamOrigin:
    """Return where the stream that the request continues began."""
    key = stream_key(admitted.account_name, admitted.request.original_request_id)
    origin = await services.origins.find(
        key, service, request_id=admitted.request.request_id
    )
    if origin is None:
        raise not_run_error(messages.STREAM_ORIGIN_UNKNOWN, Step.ROUTE, name=service)
    return origin


async def forward(
    state: RequestState, reply: CallerReply, services: RequestServices
) -> None:
    """Forward the request until a target responds or no further attempt is allowed.

    While this VM does not reach the service, another member forwards it.
    """
    while True:
        if await _try_relay(state, reply, services):
            return
        if services.clock() >= state.admitted.expires_at_s:
            raise time_limit_error(state)
        target = await services.search.find(
            state.admitted,
            state.service,
            state.tried,
            software_version=state.required_version,
        )
        state.tried.add(target.target_id)
        state.target_id = target.target_id
        state.software_version = target.software_version
        try:
            await send_attempt(state, target, reply, services)
            return
        except AttemptNotRun as err:
            _after_not_run(state, err, services)
            if not err.reached_target:
                await services.reach.check_failure(state.service.name)
        except ErrorResponse as err:
            state.is_under_way = False
            log_attempt_ended(state, "error_answer", str(err), now_s=services.clock())
            if not reply.is_started:
                state.last_error = err
            if _may_run_again(state, services):
                continue
            if reply.is_started:
                detail = f"{err} when resuming"
                raise may_have_run_error(
                    messages.ANSWER_INCOMPLETE, state, detail=detail
                ) from err
            await send_error_response(err, reply)
            return
        except AttemptFailed as err:
            _after_failure(state, target, err, reply, services)


async def _try_relay(
    state: RequestState, reply: CallerReply, services: RequestServices
) -> bool:
    """Return whether another member has forwarded the request.

    Returns False as well if a target has to be found from here.
    """
    service = state.service.name
    while not state.relayed_for and services.reach.is_cut_off(service):
        member = services.relays.choose(service, state.tried_members)
        if member is None:
            return False
        state.tried_members.add(member.vm_id)
        try:
            await relay_request(state, member, reply, services)
            return True
        except AttemptNotRun as err:
            _after_not_run(state, err, services)
        except AttemptFailed as err:
            _after_failure(state, None, err, reply, services)
    return False


async def send_error_response(response: ErrorResponse, reply: CallerReply) -> None:
    head = response.head
    await reply.send_complete(head.status, head.headers, response.body)


def _after_not_run(
    state: RequestState, err: AttemptNotRun, services: RequestServices
) -> None:
    """Return if the request may be sent to another target; raise otherwise."""
    state.is_under_way = False
    state.attempts_not_run += 1
    log_attempt_ended(state, "not_run", err.detail, now_s=services.clock())
    is_allowed = state.attempts_not_run < MAX_ATTEMPTS_NOT_RUN and (
        not err.reached_target or services.budget.try_take(state.service.name)
    )
    if is_allowed:
        return
    if state.runs:
        raise may_have_run_error(messages.TARGET_FAILED, state, detail=err.detail)
    raise not_run_error(
        messages.TARGET_REFUSED, Step.DISPATCH, peer=state.target_id, detail=err.detail
    )


def _after_failure(
    state: RequestState,
    target: TargetEntry | None,
    err: AttemptFailed,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    """Return if the request may run again; raise otherwise.

    `target` is None if the request was sent to another member, which has recorded what
    its target did.
    """
    state.is_under_way = False
    outcome = "timed_out" if err.is_timeout else "broken"
    log_attempt_ended(state, outcome, err.detail, now_s=services.clock())
    if not err.is_timeout and target is not None:
        services.crash_guard.record_broken_response(
            state.digest, target, sent_at_s=state.sent_at_s or services.clock()
        )
        if not state.is_begun:
            parts = state.admitted.request.shared_part_ids
            services.part_guard.record_break(parts, target)
    if state.event_buffer is not None:
        state.event_buffer.drop_partial()
    has_sent_events = state.required_version is not None and state.attempt_chunks
    if target and has_sent_events and not err.is_timeout:
        # It may be the best one to go on with the stream.
        state.tried.discard(target.target_id)
    # Only the member that relayed a stream knows the version that began it.
    is_resumable = target is not None or not reply.is_started
    if is_resumable and _may_run_again(state, services):
        return
    if err.is_timeout:
        raise time_limit_error(state)
    raise may_have_run_error(messages.ANSWER_INCOMPLETE, state, detail=err.detail)


def _may_run_again(state: RequestState, services: RequestServices) -> bool:
    return (
        state.is_retryable
        and state.runs < state.admitted.route.max_attempts
        and services.clock() < state.admitted.expires_at_s
        and services.budget.try_take(state.service.name)
    )


def with_earlier_runs(err: JaytrayError, state: RequestState | None) -> JaytrayError:
    """Return the final error, as `may_have_run` if an earlier attempt may have run."""
    if state is None or not state.runs or err.execution is Execution.MAY_HAVE_RUN:
        return err
    return may_have_run_error(messages.TARGET_FAILED, state, detail=err.text)


def _refund_if_not_run(
    admitted: AdmittedRequest | None, err: JaytrayError, services: RequestServices
) -> None:
    if err.execution is Execution.NOT_RUN and admitted is not None:
        services.admission.refund(admitted)


async def _refuse(
    err: JaytrayError,
    request: RoutedRequest,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    """Send the refusal, unless part of a response has already been sent."""
    if not reply.is_started:
        await send_refusal(err, request.request_id, reply, services.adapter)


async def send_refusal(
    err: JaytrayError, request_id: str, reply: CallerReply, adapter: PlatformAdapter
) -> None:
    """Send a refusal whose status tells whether the request may have run."""
    headers, body = adapter.render_refusal(err, request_id)
    await reply.send_complete(refusal_status(err), headers, body)


def _rate_state(error: JaytrayError | None, services: RequestServices) -> str:
    """Return the rate limiter's state behind a `rate_exceeded` refusal."""
    if error is None or error.code != messages.RATE_EXCEEDED.code:
        return ""
    account = services.admission.find_account(error.peer)
    return services.shares.describe(account) if account else ""


def log_finished(
    request: RoutedRequest,
    state: RequestState | None,
    reply: CallerReply,
    error: JaytrayError | None,
    services: RequestServices,
) -> None:
    admitted = state.admitted if state else None
    arrived_s = request.received_at_s
    first_s = state.first_piece_s if state else None
    sent_s = state.sent_at_s if state else None
    services.log.log_finished(
        request_id=request.request_id,
        route=admitted.route.name if admitted else "",
        account=admitted.account_name if admitted else "",
        version=(
            admitted.table_version if admitted else services.admission.table_version()
        ),
        replica=request.replica_name,
        tokens=request.prompt_tokens + request.output_tokens,
        rate_state=_rate_state(error, services),
        target=state.target_id if state else "",
        relayed_by=state.relayed_by if state else "",
        relayed_for=state.relayed_for if state else "",
        software_version=state.software_version if state else "",
        original_request_id=request.original_request_id,
        last_event_id=request.last_event_id,
        sends=state.sends if state else 0,
        runs=state.runs if state else 0,
        status=reply.status,
        is_whole=reply.is_finished,
        error=error,
        sent_s=None if sent_s is None else sent_s - arrived_s,
        copy_age_s=state.copy_age_s if state else None,
        first_piece_s=None if first_s is None else first_s - arrived_s,
        limit_s=None if admitted is None else admitted.expires_at_s - arrived_s,
        total_s=services.clock() - arrived_s,
    )
