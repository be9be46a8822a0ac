"""Handles one request: admits it, selects a target, forwards, retries or refuses it."""

import random
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.exchange_errors import ExchangeError, Progress
from jaytray_gateway.connection.target_pool import TargetPools
from jaytray_gateway.ports import AnswerHead, Dispatch, PlatformAdapter
from jaytray_gateway.process.crash_guard import CrashGuard
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.engine_cost import engine_ms
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.repeat_budget import RepeatBudget
from jaytray_gateway.process.request_log import RequestLog
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.request.admission import Admission, Admitted
from jaytray_gateway.request.refusals import refusal_status
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.routed_request import RoutedRequest, content_digest
from jaytray_gateway.request.run_state import (
    ErrorAnswer,
    Failed,
    Run,
    TurnedAway,
    log_try,
    may_have_run,
    refused,
)
from jaytray_gateway.request.target_exchange import TargetExchange, exchange_with
from jaytray_gateway.request.target_search import TargetSearch
from jaytray_gateway.version.route_table import RequestKind, choose_service

# Attempts that may end without the target running the request before it is refused.
MAX_TURNED_AWAY = 3
# Wait for a response head while another attempt of an idempotent request is allowed: a
# portion of the remaining time, at least this multiple of the latency objective.
TRY_PORTION = 0.5
TRY_OBJECTIVES = 3.0
# A resumable stream that sends nothing for this long is resumed on another target; well
# below the two seconds after which callers abandon a stream.
STALL_LIMIT_S = 1.5
HTTP_SUCCESS = range(200, 300)
HTTP_SERVER_ERROR = 500


class RequestServices(NamedTuple):
    """Services of the process that request handling depends on."""

    adapter: PlatformAdapter
    admission: Admission
    search: TargetSearch
    shares: RateShares
    budget: RepeatBudget
    loads: LoadView
    health: TargetHealth
    pools: TargetPools
    crash_guard: CrashGuard
    replica_demand: DemandAverage
    log: RequestLog
    clock: MonotonicClock
    rng: random.Random


async def serve_request(
    request: RoutedRequest, reply: CallerReply, services: RequestServices
) -> None:
    """Send `request` exactly one response; cancelled when the caller disconnects."""
    admitted: Admitted | None = None
    run: Run | None = None
    error: JaytrayError | None = None
    try:
        admitted = await services.admission.admit(request)
        run = _start_run(admitted, services)
        await _answer(run, reply, services)
    except JaytrayError as err:
        error = _with_earlier_runs(err, run)
        _settle(admitted, error, services)
        if run is not None and run.error_answer is not None and not reply.is_started:
            await _send_error_answer(run.error_answer, reply)
        else:
            await _refuse(error, request, reply, services)
    finally:
        _log(request, run, reply, error, services)


def _start_run(admitted: Admitted, services: RequestServices) -> Run:
    table = services.admission.table()
    name = choose_service(admitted.route, services.rng.random())
    service = table.services_by_name.get(name)
    if service is None:
        raise refused(messages.NO_REPLICA, Step.ROUTE, name=name)
    request = admitted.request
    if request.model and service.engine is not None:
        cost_ms = engine_ms(request, service.engine)
        services.replica_demand.add(request.model, cost_ms)
        if request.adapter:
            services.replica_demand.add(request.replica_name, cost_ms)
    digest = content_digest(request, admitted.account_name)
    services.crash_guard.check(digest)
    services.budget.note_request(name)
    return Run(admitted=admitted, service=service, digest=digest)


async def _answer(run: Run, reply: CallerReply, services: RequestServices) -> None:
    """Forward the request until a target responds or no further attempt is allowed."""
    while True:
        target = await services.search.find(run.admitted, run.service, run.tried)
        run.tried.add(target.target_id)
        run.target_id = target.target_id
        try:
            await _send_once(run, target, reply, services)
            return
        except TurnedAway as err:
            _after_turned_away(run, err, services)
        except ErrorAnswer as err:
            log_try(run, "error_answer", str(err))
            run.error_answer = err
            if not _may_run_again(run, services):
                await _send_error_answer(err, reply)
                return
        except Failed as err:
            _after_failure(run, target, err, reply, services)


async def _send_error_answer(answer: ErrorAnswer, reply: CallerReply) -> None:
    head = answer.head
    await reply.send_whole(head.status, head.headers, answer.body)


async def _send_once(
    run: Run, target: TargetEntry, reply: CallerReply, services: RequestServices
) -> None:
    admitted, request = run.admitted, run.admitted.request
    in_flight = services.loads.start(
        target.target_id,
        request.prompt_tokens,
        request.replica_name,
        priority=admitted.priority,
    )

    def make_dispatch() -> Dispatch:
        services.admission.check_proof()
        run.sends += 1
        run.sent_at_s = services.clock()
        return Dispatch(
            target_id=target.target_id,
            account=admitted.account_name,
            time_left_s=max(0.001, admitted.expires_at_s - services.clock()),
            priority=admitted.priority if run.service.engine else None,
            resume_after=run.events.last_event_id if run.events else "",
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
            await _take_answer(run, target, in_flight, exchange, reply, services)
        services.health.succeeded(target.target_id)
        services.crash_guard.note_whole(run.digest, target)
    except ExchangeError as err:
        is_late = err.progress is Progress.TIMED_OUT
        if err.progress is Progress.NOT_SENT:
            services.health.unreachable(target.target_id, err.detail)
            services.pools.drop_target(target.target_id)
            raise TurnedAway(err.detail, has_arrived=False) from err
        if is_late:
            services.health.answered_error(target.target_id)
        else:
            services.health.failed(target.target_id, err.detail)
        run.runs += 1
        raise Failed(err.detail, is_timeout=is_late) from err
    finally:
        services.loads.finish(target.target_id, in_flight)


async def _take_answer(
    run: Run,
    target: TargetEntry,
    in_flight: int,
    exchange: TargetExchange,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    until_s = _head_until_s(run, services)
    head = await exchange.read_head(until_s)
    if head.is_not_run or head.is_other_instance:
        await exchange.read_body(until_s)
        services.search.note_turned_away(run.admitted.request, target, head.status)
        raise TurnedAway(f"status {head.status}", has_arrived=True)
    is_success = head.status in HTTP_SUCCESS
    if head.is_encoded or (is_success and not head.is_sealed):
        raise ExchangeError(
            progress=Progress.BROKEN, detail="response is encoded or lacks a signature"
        )
    if is_success and run.admitted.route.kind is RequestKind.STREAM:
        await _relay_stream(run, target, in_flight, exchange, head, reply, services)
        return
    body = await exchange.read_body(until_s)
    run.runs += 1
    if head.status >= HTTP_SERVER_ERROR:
        services.health.answered_error(target.target_id)
        if run.may_repeat:
            raise ErrorAnswer(head, body)
    if reply.is_started:
        raise Failed(f"status {head.status} when resuming", is_timeout=False)
    await reply.send_whole(head.status, head.headers, body)


async def _relay_stream(
    run: Run,
    target: TargetEntry,
    in_flight: int,
    exchange: TargetExchange,
    head: AnswerHead,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    """Relay the stream piece by piece; the head is sent with the first piece."""
    expires_at_s = run.admitted.expires_at_s
    while True:
        until_s = expires_at_s
        if run.events is not None and run.first_piece_s is not None:
            until_s = min(until_s, services.clock() + STALL_LIMIT_S)
        piece = await exchange.read_piece(until_s)
        if piece is None:
            break
        if run.first_piece_s is None:
            run.first_piece_s = services.clock()
        services.loads.first_piece(target.target_id, in_flight)
        if run.events is not None:
            piece = run.events.take(piece)
        if not piece:
            continue
        if not reply.is_started:
            await reply.start(head.status, head.headers)
        await reply.send(piece)
    if run.events is not None and run.events.has_partial:
        raise ExchangeError(
            progress=Progress.BROKEN, detail="stream ended in the middle of an event"
        )
    run.runs += 1
    if not reply.is_started:
        await reply.start(head.status, head.headers)
    await reply.finish()


def _head_until_s(run: Run, services: RequestServices) -> float:
    """Return the time until which this attempt may wait for a response head."""
    route = run.admitted.route
    expires_at_s = run.admitted.expires_at_s
    if route.kind is not RequestKind.IDEMPOTENT or run.runs + 1 >= route.max_attempts:
        return expires_at_s
    now_s = services.clock()
    portion_s = (expires_at_s - now_s) * TRY_PORTION
    least_s = route.objective_s * TRY_OBJECTIVES
    return min(expires_at_s, now_s + max(portion_s, least_s))


def _after_turned_away(run: Run, err: TurnedAway, services: RequestServices) -> None:
    """Return if the request may be sent to another target; raise otherwise."""
    run.turned_away += 1
    log_try(run, "not_run", err.detail)
    is_allowed = run.turned_away < MAX_TURNED_AWAY and (
        not err.has_arrived or services.budget.take(run.service.name)
    )
    if is_allowed:
        return
    if run.runs:
        raise may_have_run(messages.TARGET_FAILED, run, detail=err.detail)
    raise refused(
        messages.TARGET_REFUSED, Step.DISPATCH, peer=run.target_id, detail=err.detail
    )


def _after_failure(
    run: Run,
    target: TargetEntry,
    err: Failed,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    """Return if the request may run again; raise otherwise."""
    log_try(run, "timed_out" if err.is_timeout else "broken", err.detail)
    if not err.is_timeout:
        services.crash_guard.note_break(run.digest, target)
    if run.events is not None:
        run.events.drop_partial()
    if _may_run_again(run, services):
        return
    if err.is_timeout:
        limit_s = run.admitted.expires_at_s - run.admitted.request.received_at_s
        raise may_have_run(messages.TARGET_TIMEOUT, run, timeout_s=round(limit_s, 3))
    raise may_have_run(messages.ANSWER_INCOMPLETE, run, detail=err.detail)


def _may_run_again(run: Run, services: RequestServices) -> bool:
    return (
        run.may_repeat
        and run.runs < run.admitted.route.max_attempts
        and services.clock() < run.admitted.expires_at_s
        and services.budget.take(run.service.name)
    )


def _with_earlier_runs(err: JaytrayError, run: Run | None) -> JaytrayError:
    """Return the final error, as `may_have_run` if an earlier attempt may have run."""
    if run is None or not run.runs or err.execution is Execution.MAY_HAVE_RUN:
        return err
    return may_have_run(messages.TARGET_FAILED, run, detail=err.text)


def _settle(
    admitted: Admitted | None, err: JaytrayError, services: RequestServices
) -> None:
    """Refund the tokens if the request was certainly not run."""
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
    await reply.send_whole(refusal_status(err), headers, body)


def _rate_state(error: JaytrayError | None, services: RequestServices) -> str:
    """Return the rate limiter's state behind a `rate_exceeded` refusal."""
    if error is None or error.code != messages.RATE_EXCEEDED.code:
        return ""
    account = services.admission.account(error.peer)
    return services.shares.describe(account) if account else ""


def _log(
    request: RoutedRequest,
    run: Run | None,
    reply: CallerReply,
    error: JaytrayError | None,
    services: RequestServices,
) -> None:
    admitted = run.admitted if run else None
    arrived_s = request.received_at_s
    first_s = run.first_piece_s if run else None
    sent_s = run.sent_at_s if run else None
    services.log.finished(
        request_id=request.request_id,
        route=admitted.route.name if admitted else "",
        account=admitted.account_name if admitted else "",
        version=(admitted.table_version if admitted else services.admission.version()),
        replica=request.replica_name,
        tokens=request.prompt_tokens + request.output_tokens,
        rate_state=_rate_state(error, services),
        target=run.target_id if run else "",
        sends=run.sends if run else 0,
        runs=run.runs if run else 0,
        status=reply.status,
        is_whole=reply.is_finished,
        error=error,
        sent_s=None if sent_s is None else sent_s - arrived_s,
        first_piece_s=None if first_s is None else first_s - arrived_s,
        total_s=services.clock() - arrived_s,
    )
