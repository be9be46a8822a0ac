"""Handles one request: admits it, selects a target, forwards, retries or refuses it."""

import random
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_gateway.connection.target_pool import TargetConnectionPool
from jaytray_gateway.ports import Dispatch, PlatformAdapter, ResponseHead
from jaytray_gateway.process.crash_guard import CrashGuard
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.engine_cost import engine_time_ms
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.prompt_part_guard import (
    RESPONSE_BEGUN_S,
    PromptPartGuard,
)
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.request_log import RequestLog
from jaytray_gateway.process.retry_budget import RetryBudget
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.process.target_limits import TargetLimits
from jaytray_gateway.request.admission import Admission, AdmittedRequest
from jaytray_gateway.request.event_buffer import EventBoundary
from jaytray_gateway.request.refusals import refusal_status
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
)
from jaytray_gateway.request.target_exchange import TargetExchange, exchange_with
from jaytray_gateway.request.target_search import TargetSearch
from jaytray_gateway.version.route_table import RequestKind, choose_service

# Attempts that may end without the target running the request before it is refused.
MAX_ATTEMPTS_NOT_RUN = 3
# Wait for a response head while another attempt of an idempotent request is allowed: a
# fraction of the remaining time, at least this multiple of the latency objective.
ATTEMPT_TIME_FRACTION = 0.5
MIN_ATTEMPT_OBJECTIVES = 3.0
# A resumable stream that sends nothing for this long is resumed on another target; well
# below the two seconds after which callers abandon a stream.
STREAM_STALL_TIMEOUT_S = 1.5
HTTP_SUCCESS = range(200, 300)
HTTP_SERVER_ERROR = 500


class RequestServices(NamedTuple):
    """Services of the process that request handling depends on."""

    adapter: PlatformAdapter
    admission: Admission
    search: TargetSearch
    shares: RateShares
    budget: RetryBudget
    loads: LoadView
    health: TargetHealth
    pools: TargetConnectionPool
    crash_guard: CrashGuard
    part_guard: PromptPartGuard
    limits: TargetLimits
    replica_demand: DemandAverage
    log: RequestLog
    clock: MonotonicClock
    rng: random.Random


async def serve_request(
    request: RoutedRequest, reply: CallerReply, services: RequestServices
) -> None:
    """Send `request` exactly one response; cancelled when the caller disconnects."""
    admitted: AdmittedRequest | None = None
    state: RequestState | None = None
    error: JaytrayError | None = None
    try:
        admitted = await services.admission.admit(request)
        state = _prepare(admitted, services)
        await _forward(state, reply, services)
    except JaytrayError as err:
        error = _with_earlier_runs(err, state)
        _refund_if_not_run(admitted, error, services)
        if state is not None and state.last_error is not None and not reply.is_started:
            await _send_error_response(state.last_error, reply)
        else:
            await _refuse(error, request, reply, services)
    finally:
        _log_finished(request, state, reply, error, services)


def _prepare(admitted: AdmittedRequest, services: RequestServices) -> RequestState:
    table = services.admission.route_table()
    name = choose_service(admitted.route, services.rng.random())
    service = table.services_by_name.get(name)
    if service is None:
        raise not_run_error(messages.NO_REPLICA, Step.ROUTE, name=name)
    request = admitted.request
    if request.model and service.engine is not None:
        cost_ms = engine_time_ms(request, service.engine)
        services.replica_demand.add(request.model, cost_ms)
        if request.adapter:
            services.replica_demand.add(request.replica_name, cost_ms)
    digest = content_digest(request, admitted.account_name)
    services.crash_guard.check(digest)
    services.part_guard.check(request.shared_part_ids)
    services.budget.record_request(name)
    return RequestState(admitted=admitted, service=service, digest=digest)


async def _forward(
    state: RequestState, reply: CallerReply, services: RequestServices
) -> None:
    """Forward the request until a target responds or no further attempt is allowed."""
    while True:
        target = await services.search.find(state.admitted, state.service, state.tried)
        state.tried.add(target.target_id)
        state.target_id = target.target_id
        try:
            await _send_attempt(state, target, reply, services)
            return
        except AttemptNotRun as err:
            _after_not_run(state, err, services)
        except ErrorResponse as err:
            log_attempt_ended(state, "error_answer", str(err))
            state.last_error = err
            if not _may_run_again(state, services):
                await _send_error_response(err, reply)
                return
        except AttemptFailed as err:
            _after_failure(state, target, err, reply, services)


async def _send_error_response(response: ErrorResponse, reply: CallerReply) -> None:
    head = response.head
    await reply.send_complete(head.status, head.headers, response.body)


async def _send_attempt(
    state: RequestState,
    target: TargetEntry,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    admitted, request = state.admitted, state.admitted.request
    in_flight = services.loads.start(
        target.target_id,
        request.prompt_tokens,
        request.replica_name,
        priority=admitted.priority,
    )

    def make_dispatch() -> Dispatch:
        services.admission.check_freshness()
        # The request may have been quarantined while it waited for a replica.
        services.crash_guard.check(state.digest)
        services.part_guard.check(request.shared_part_ids)
        state.sends += 1
        state.sent_at_s = services.clock()
        state.attempt_first_piece_s = None
        state.attempt_chunks = 0
        state.is_begun = False
        return Dispatch(
            target_id=target.target_id,
            account=admitted.account_name,
            time_left_s=max(0.001, admitted.expires_at_s - services.clock()),
            priority=admitted.priority if state.service.engine else None,
            resume_event_id=(
                state.event_buffer.last_event_id if state.event_buffer else ""
            ),
        )

    try:
        async with exchange_with(
            target,
            request=request,
            make_dispatch=make_dispatch,
            pools=services.pools,
            adapter=services.adapter,
            clock=services.clock,
        ) as exchange:
            await _handle_response(state, target, in_flight, exchange, reply, services)
        services.health.record_success(target.target_id)
        services.crash_guard.record_complete_response(state.digest, target)
        services.part_guard.record_begun_response(request.shared_part_ids)
    except ExchangeError as err:
        is_late = err.progress is ExchangeProgress.TIMED_OUT
        if err.progress is ExchangeProgress.NOT_SENT:
            services.health.record_unreachable(target.target_id, err.detail)
            services.pools.drop_target(target.target_id)
            raise AttemptNotRun(err.detail, reached_target=False) from err
        if is_late:
            services.health.record_error_response(target.target_id)
        else:
            services.health.record_failure(target.target_id, err.detail)
        state.runs += 1
        raise AttemptFailed(err.detail, is_timeout=is_late) from err
    finally:
        services.loads.finish(target.target_id, in_flight)


async def _handle_response(
    state: RequestState,
    target: TargetEntry,
    in_flight: int,
    exchange: TargetExchange,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    until_s = _head_deadline_s(state, services)
    head = await exchange.read_head(until_s)
    if state.sent_at_s is not None:
        services.limits.record_response(
            target, head.rate_limit_per_s, sent_at_s=state.sent_at_s
        )
    if head.is_not_run or head.is_other_instance:
        await exchange.read_body(until_s)
        services.search.note_not_run(state.admitted.request, target, head.status)
        raise AttemptNotRun(f"status {head.status}", reached_target=True)
    is_success = head.status in HTTP_SUCCESS
    if head.has_content_encoding or (is_success and not head.is_signed):
        raise ExchangeError(
            progress=ExchangeProgress.BROKEN,
            detail="response is encoded or lacks a signature",
        )
    if is_success and state.admitted.route.kind is RequestKind.STREAM:
        await _relay_stream(state, target, in_flight, exchange, head, reply, services)
        return
    body = await exchange.read_body(until_s)
    state.runs += 1
    if head.status >= HTTP_SERVER_ERROR:
        services.health.record_error_response(target.target_id)
        if state.is_retryable:
            raise ErrorResponse(head, body)
    if reply.is_started:
        raise AttemptFailed(f"status {head.status} when resuming", is_timeout=False)
    await reply.send_complete(head.status, head.headers, body)


async def _relay_stream(
    state: RequestState,
    target: TargetEntry,
    in_flight: int,
    exchange: TargetExchange,
    head: ResponseHead,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    """Relay the stream in chunks; the head is sent with the first one."""
    expires_at_s = state.admitted.expires_at_s
    boundary = EventBoundary()
    while True:
        until_s = expires_at_s
        if state.event_buffer is not None and state.first_piece_s is not None:
            until_s = min(until_s, services.clock() + STREAM_STALL_TIMEOUT_S)
        chunk = await exchange.read_chunk(until_s)
        if chunk is None:
            break
        boundary.feed(chunk)
        state.attempt_chunks += 1
        if state.attempt_first_piece_s is None:
            state.attempt_first_piece_s = services.clock()
        if state.first_piece_s is None:
            state.first_piece_s = state.attempt_first_piece_s
        _record_progress(state, target, services)
        services.loads.mark_prompt_read(target.target_id, in_flight)
        if state.event_buffer is not None:
            chunk = state.event_buffer.feed(chunk)
        if not chunk:
            continue
        if not reply.is_started:
            await reply.start(head.status, head.headers)
        await reply.send(chunk)
    is_cut = exchange.ends_with_connection and not boundary.is_after_event
    if is_cut or (state.event_buffer is not None and state.event_buffer.has_partial):
        raise ExchangeError(
            progress=ExchangeProgress.BROKEN,
            detail="stream ended in the middle of an event",
        )
    state.runs += 1
    if not reply.is_started:
        await reply.start(head.status, head.headers)
    await reply.finish()


def _record_progress(
    state: RequestState, target: TargetEntry, services: RequestServices
) -> None:
    """Record what a received chunk shows of the target and of the prompt's parts."""
    first_s, sent_s = state.attempt_first_piece_s, state.sent_at_s
    if first_s is None or sent_s is None:
        return
    services.part_guard.record_chunk(target, sent_at_s=sent_s)
    if not state.is_begun and services.clock() - first_s > RESPONSE_BEGUN_S:
        state.is_begun = True
        parts = state.admitted.request.shared_part_ids
        services.part_guard.record_begun_response(parts)


def _head_deadline_s(state: RequestState, services: RequestServices) -> float:
    """Return the time until which this attempt may wait for a response head."""
    route = state.admitted.route
    expires_at_s = state.admitted.expires_at_s
    if route.kind is not RequestKind.IDEMPOTENT or state.runs + 1 >= route.max_attempts:
        return expires_at_s
    now_s = services.clock()
    attempt_s = (expires_at_s - now_s) * ATTEMPT_TIME_FRACTION
    least_s = route.objective_s * MIN_ATTEMPT_OBJECTIVES
    return min(expires_at_s, now_s + max(attempt_s, least_s))


def _after_not_run(
    state: RequestState, err: AttemptNotRun, services: RequestServices
) -> None:
    """Return if the request may be sent to another target; raise otherwise."""
    state.attempts_not_run += 1
    log_attempt_ended(state, "not_run", err.detail)
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
    target: TargetEntry,
    err: AttemptFailed,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    """Return if the request may run again; raise otherwise."""
    log_attempt_ended(state, "timed_out" if err.is_timeout else "broken", err.detail)
    if not err.is_timeout:
        services.crash_guard.record_broken_response(state.digest, target)
        if not state.is_begun:
            parts = state.admitted.request.shared_part_ids
            services.part_guard.record_break(parts, target)
    if state.event_buffer is not None:
        state.event_buffer.drop_partial()
    if _may_run_again(state, services):
        return
    if err.is_timeout:
        limit_s = state.admitted.expires_at_s - state.admitted.request.received_at_s
        raise may_have_run_error(
            messages.TARGET_TIMEOUT, state, timeout_s=round(limit_s, 3)
        )
    raise may_have_run_error(messages.ANSWER_INCOMPLETE, state, detail=err.detail)


def _may_run_again(state: RequestState, services: RequestServices) -> bool:
    return (
        state.is_retryable
        and state.runs < state.admitted.route.max_attempts
        and services.clock() < state.admitted.expires_at_s
        and services.budget.try_take(state.service.name)
    )


def _with_earlier_runs(err: JaytrayError, state: RequestState | None) -> JaytrayError:
    """Return the final error, as `may_have_run` if an earlier attempt may have run."""
    if state is None or not state.runs or err.execution is Execution.MAY_HAVE_RUN:
        return err
    return may_have_run_error(messages.TARGET_FAILED, state, detail=err.text)


def _refund_if_not_run(
    admitted: AdmittedRequest | None, err: JaytrayError, services: RequestServices
) -> None:
    is_not_run = err.execution is Execution.NOT_RUN
    if is_not_run and admitted is not None and admitted.charge is not None:
        services.shares.refund(admitted.charge)


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


def _log_finished(
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
        sends=state.sends if state else 0,
        runs=state.runs if state else 0,
        status=reply.status,
        is_whole=reply.is_finished,
        error=error,
        sent_s=None if sent_s is None else sent_s - arrived_s,
        first_piece_s=None if first_s is None else first_s - arrived_s,
        total_s=services.clock() - arrived_s,
    )
