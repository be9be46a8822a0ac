"""One attempt: sends the request to a target and relays its response."""

from jaytray_core import message_registry as messages
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_gateway.ports import Dispatch, ResponseHead
from jaytray_gateway.process.prompt_part_guard import RESPONSE_BEGUN_S
from jaytray_gateway.process.stream_origins import StreamOrigin, stream_key
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.caller_timeout import stall_timeout_s
from jaytray_gateway.request.event_buffer import EventBoundary
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.run_state import (
    AttemptFailed,
    AttemptNotRun,
    ErrorResponse,
    RequestState,
    check_caller,
    may_have_run_error,
)
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.request.stalls import extended_wait_s
from jaytray_gateway.request.target_exchange import TargetExchange, exchange_with
from jaytray_gateway.version.route_table import RequestKind

# Wait for a response head while another attempt of an idempotent request is allowed: a
# fraction of the remaining time, at least this multiple of the latency objective.
ATTEMPT_TIME_FRACTION = 0.5
MIN_ATTEMPT_OBJECTIVES = 3.0
# Bytes that do not end an event for this long are not those of a stream.
MAX_EVENT_BYTES = 1_048_576
# Fraction of the stall time for which a target that ends no event may be silent and
# still counts as sending. Sound targets may be silent for more than a second.
SILENT_FRACTION = 0.6
# A target that accepts no connection for this long counts as unreachable although the
# request's time limit ended the wait.
MIN_CONNECT_S = 0.1
UNENDING = "stream went on without ending an event"
# Expected times of an answer, compared among the targets of one service only: of a
# plain request, and of a stream with an empty prompt.
PLAIN_ANSWER_MS = 20.0
ENGINE_ANSWER_MS = 20.0
HTTP_SUCCESS = range(200, 300)
HTTP_SERVER_ERROR = 500
# Tell a caller that the request has not run and never will. Targets promise that only
# by a header, and some send these statuses after a run. 421 comes from another target
# or one without the model, which has not run the request.
HTTP_NOT_RUN = (408, 429, 503)


class UnendingEvent(ExchangeError):
    """A stream that went on until its time limit without ending an event."""


async def send_attempt(
    state: RequestState,
    target: TargetEntry,
    reply: CallerReply,
    services: RequestServices,
) -> None:
    """Send the request to `target` and relay a response that is final.

    Raises `AttemptNotRun`, `AttemptFailed` or `ErrorResponse` if it is not, and
    `JaytrayError` if the request must not be sent any more, or if the response falsely
    tells that it has not run.
    """
    admitted, request = state.admitted, state.admitted.request
    begun_s = services.clock()
    is_queued = _is_queued(target, state, services)
    in_flight = services.loads.start(
        target.target_id,
        request.prompt_tokens,
        request.replica_name,
        priority=admitted.priority,
    )
    state.paced = paced = services.pace.begin(
        target, service=state.service.name, expected_ms=_expected_ms(state, services)
    )

    def make_dispatch() -> Dispatch:
        services.admission.check_freshness()
        if not services.search.is_usable(target):
            raise AttemptNotRun("target takes no requests now", reached_target=False)
        # The request may have been quarantined while it waited for a replica.
        services.crash_guard.check(state.digest)
        services.part_guard.check(request.shared_part_ids)
        check_caller(state, reply.has_caller_left, now_s=services.clock())
        # Last, as the permit is used up.
        if not services.permits.try_use(target):
            raise AttemptNotRun("no permit for a cold target", reached_target=False)
        state.note_sent(services.clock(), copy_age_s=services.admission.table_age_s())
        state.clear_response()
        return Dispatch(
            target_id=target.target_id,
            account=admitted.account_name,
            time_left_s=max(0.001, _target_limit_s(admitted) - services.clock()),
            priority=admitted.priority if state.service.engine else None,
            resume_event_id=(
                state.event_buffer.last_event_id if state.event_buffer else ""
            ),
        )

    is_rejected = False
    try:
        with services.reach.exchange(state.service.name):
            async with exchange_with(
                target,
                request=request,
                make_dispatch=make_dispatch,
                until_s=admitted.expires_at_s,
                pools=services.pools,
                adapter=services.adapter,
                clock=services.clock,
            ) as exchange:
                is_success = await _handle_response(
                    state, target, in_flight, exchange, reply, services
                )
        services.health.record_success(target.target_id)
        services.crash_guard.record_complete_response(state.digest, target)
        _record_speed(state, services, is_queued=is_queued)
        if is_success:
            services.part_guard.record_begun_response(request.shared_part_ids)
        if state.unproven_status is not None:
            detail = f"status {state.unproven_status} without a promise"
            raise may_have_run_error(messages.TARGET_FAILED, state, detail=detail)
    except AttemptNotRun as err:
        is_rejected = err.reached_target
        raise
    except ExchangeError as err:
        is_late = err.progress is ExchangeProgress.TIMED_OUT
        paced.record_trouble()
        if not is_late:
            services.cold.suspect_restart(target)
        if err.progress is ExchangeProgress.NOT_SENT:
            now_s = services.clock()
            if now_s < admitted.expires_at_s or now_s - begun_s > MIN_CONNECT_S:
                services.health.record_unreachable(target.target_id, err.detail)
                services.pools.drop_target(target.target_id)
                _pace_if_failing(target, services)
            raise AttemptNotRun(err.detail, reached_target=False) from err
        if is_late and not isinstance(err, UnendingEvent):
            services.health.record_error_response(target.target_id)
        else:
            services.health.record_failure(target.target_id, err.detail)
        _pace_if_failing(target, services)
        state.runs += 1
        raise AttemptFailed(err.detail, is_timeout=is_late) from err
    finally:
        paced.end()
        services.loads.finish(target.target_id, in_flight)
        services.brittle.release(target, is_rejected=is_rejected)


async def _handle_response(
    state: RequestState,
    target: TargetEntry,
    in_flight: int,
    exchange: TargetExchange,
    reply: CallerReply,
    services: RequestServices,
) -> bool:
    """Relay the response; returns whether it is a success."""
    head = await _read_head(state, exchange, services)
    services.reach.record_bytes(state.service.name)
    if state.sent_at_s is not None:
        services.limits.record_response(
            target, head.rate_limit_per_s, sent_at_s=state.sent_at_s
        )
        services.brittle.record_response(
            target, head.max_rejections_per_s, sent_at_s=state.sent_at_s
        )
    services.cold.record_response(target, head.cold_left_s)
    if head.is_leaving:
        services.departures.record_leaving(target)
    if head.retry_after_s is not None:
        services.backoff.record(target, head.retry_after_s)
    if head.is_not_run and not head.is_other_instance and state.paced is not None:
        state.paced.record_trouble()
    if head.is_not_run or head.is_other_instance:
        await exchange.discard_body()
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
        return True
    body = await exchange.read_body(_attempt_deadline_s(state, services))
    state.runs += 1
    is_error = head.status >= HTTP_SERVER_ERROR
    if state.paced is not None and state.sent_at_s is not None:
        if is_error:
            state.paced.record_trouble()
        else:
            state.paced.record_answer(services.clock() - state.sent_at_s)
    if is_error:
        services.health.record_error_response(target.target_id)
    if head.status in HTTP_NOT_RUN and not state.is_retryable:
        state.unproven_status = head.status
        return False
    if reply.is_started or (is_error and state.is_retryable):
        raise ErrorResponse(head, body)
    await reply.send_complete(head.status, head.headers, body)
    return is_success


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
    admitted = state.admitted
    stall_s = stall_timeout_s(admitted.route)
    progress_at_s = services.clock()
    event_at_s = received_at_s = progress_at_s
    # Until then the stream stays with its target although it ends no event.
    stays_until_s = progress_at_s
    boundary = EventBoundary()
    while True:
        limit_s = admitted.limit_at_s if reply.is_started else admitted.expires_at_s
        until_s = limit_s
        if state.event_buffer is not None and state.first_piece_s is not None:
            until_s = min(until_s, max(progress_at_s + stall_s, stays_until_s))
        try:
            chunk = await exchange.read_chunk(until_s)
        except ExchangeError as err:
            extended_s = extended_wait_s(
                err, state, services, until_s=until_s, limit_s=limit_s
            )
            if extended_s is not None:
                stays_until_s = extended_s
                continue
            is_sending = received_at_s > services.clock() - stall_s * SILENT_FRACTION
            is_unending = is_sending and until_s - event_at_s >= stall_s
            if err.progress is ExchangeProgress.TIMED_OUT and is_unending:
                raise UnendingEvent(progress=err.progress, detail=UNENDING) from err
            raise
        if chunk is None:
            break
        received_at_s = services.clock()
        earlier_bytes = boundary.event_bytes
        boundary.feed(chunk)
        if boundary.event_bytes < earlier_bytes + len(chunk):
            event_at_s = received_at_s
        if boundary.event_bytes > MAX_EVENT_BYTES:
            raise ExchangeError(
                progress=ExchangeProgress.BROKEN, detail="event is too large"
            )
        services.reach.record_bytes(state.service.name)
        is_first_piece = state.first_piece_s is None
        state.note_chunk(received_at_s)
        _record_progress(state, target, services)
        services.loads.mark_prompt_read(target.target_id, in_flight)
        if state.event_buffer is not None:
            chunk = state.event_buffer.feed(chunk)
        if chunk or is_first_piece:
            progress_at_s = received_at_s
        if not chunk:
            continue
        if not reply.is_started:
            _record_origin(state, target, services)
            await reply.start(head.status, head.headers)
        await reply.send(chunk)
    # A body without length or chunks that is empty may also have been cut off.
    if boundary.event_bytes or (
        exchange.ends_with_connection and not boundary.is_after_event
    ):
        raise ExchangeError(
            progress=ExchangeProgress.BROKEN,
            detail="stream ended in the middle of an event",
        )
    state.runs += 1
    if not reply.is_started:
        await reply.start(head.status, head.headers)
    await reply.finish()


def _target_limit_s(admitted: AdmittedRequest) -> float:
    """Return until when the target may work: streams are passed on as they come."""
    is_stream = admitted.route.kind is RequestKind.STREAM
    return admitted.limit_at_s if is_stream else admitted.expires_at_s


def _is_queued(
    target: TargetEntry, state: RequestState, services: RequestServices
) -> bool:
    """Return whether a request sent now waits at the target, as far as is known."""
    engine = state.service.engine
    if engine is None:
        return False
    load = services.loads.load_of(target.target_id)
    return load.running >= engine.slots or any(load.waiting_tokens_by_priority.values())


def _expected_ms(state: RequestState, services: RequestServices) -> float:
    """Return the time to an answer by the size of the request."""
    if state.service.engine is None:
        return PLAIN_ANSWER_MS
    speed = services.speeds.of(state.service.name)
    tokens = state.admitted.request.prompt_tokens
    return ENGINE_ANSWER_MS + speed.prefill_ms(tokens)


def _pace_if_failing(target: TargetEntry, services: RequestServices) -> None:
    if services.health.is_failing(target.target_id):
        services.pace.record_failing(target)


def _record_speed(
    state: RequestState, services: RequestServices, *, is_queued: bool
) -> None:
    """Record what a complete stream shows of the speed of the service's engines."""
    request = state.admitted.request
    first_s, sent_s = state.attempt_first_piece_s, state.sent_at_s
    is_whole_stream = state.runs == 1 and not request.last_event_id
    if state.service.engine is None or first_s is None or sent_s is None:
        return
    if is_whole_stream and state.sends == 1:
        services.speeds.record_generation(
            state.service.name,
            output_tokens=request.output_tokens,
            generation_s=services.clock() - first_s,
        )
        if not is_queued:
            services.speeds.record_prefill(
                state.service.name,
                prompt_tokens=request.prompt_tokens,
                first_piece_s=first_s - sent_s,
            )


def _record_origin(
    state: RequestState, target: TargetEntry, services: RequestServices
) -> None:
    """Record which target begins a stream that may be continued elsewhere."""
    if state.event_buffer is None or state.required_version is not None:
        return
    state.required_version = target.software_version
    services.origins.record(
        stream_key(state.admitted.account_name, state.admitted.request.request_id),
        StreamOrigin(target.service, target.software_version),
    )


def _record_progress(
    state: RequestState, target: TargetEntry, services: RequestServices
) -> None:
    """Record what a received chunk shows of the target and of the prompt's parts."""
    first_s, sent_s = state.attempt_first_piece_s, state.sent_at_s
    if first_s is None or sent_s is None:
        return
    if state.paced is not None:
        state.paced.record_answer(first_s - sent_s)
    services.part_guard.record_chunk(target, sent_at_s=sent_s)
    if not state.is_begun and services.clock() - first_s > RESPONSE_BEGUN_S:
        state.is_begun = True
        parts = state.admitted.request.shared_part_ids
        services.part_guard.record_begun_response(parts)


async def _read_head(
    state: RequestState, exchange: TargetExchange, services: RequestServices
) -> ResponseHead:
    until_s = _attempt_deadline_s(state, services)
    while True:
        try:
            return await exchange.read_head(until_s)
        except ExchangeError as err:
            extended_s = extended_wait_s(
                err,
                state,
                services,
                until_s=until_s,
                limit_s=state.admitted.expires_at_s,
            )
            if extended_s is None:
                raise
            until_s = extended_s


def _attempt_deadline_s(state: RequestState, services: RequestServices) -> float:
    """Return the time until which this attempt may wait for a head or its body."""
    route = state.admitted.route
    expires_at_s = state.admitted.expires_at_s
    if route.kind is not RequestKind.IDEMPOTENT or state.runs + 1 >= route.max_attempts:
        return expires_at_s
    now_s = services.clock()
    attempt_s = (expires_at_s - now_s) * ATTEMPT_TIME_FRACTION
    least_s = route.objective_s * MIN_ATTEMPT_OBJECTIVES
    return min(expires_at_s, now_s + max(attempt_s, least_s))
