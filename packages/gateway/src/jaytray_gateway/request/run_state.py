"""State of one admitted request, outcomes of its attempts, and its refusals."""

from collections.abc import Callable
from typing import Any

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_gateway.ports import ResponseHead
from jaytray_gateway.process.paced_targets import PacedRequest
from jaytray_gateway.request.admission import AdmittedRequest
from jaytray_gateway.request.event_buffer import EventBuffer
from jaytray_gateway.version.route_table import RequestKind, Service
from jaytray_server.request.caller_presence import CallerDisconnected

# Retry-After when targets did not run the request.
NOT_RUN_RETRY_S = 0.25


class AttemptNotRun(Exception):
    """The target certainly did not and will not run the request."""

    def __init__(self, detail: str, *, reached_target: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.reached_target = reached_target


class AttemptFailed(Exception):
    """The target may have run the request but gave no complete response."""

    def __init__(self, detail: str, *, is_timeout: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.is_timeout = is_timeout


class ErrorResponse(Exception):
    """A target's complete error response to a request that may be retried.

    It is sent to the caller if no further attempt gives a better response, unless a
    stream has begun.
    """

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        super().__init__(f"status {head.status}")
        self.head = head
        self.body = body


class RequestState:
    """State of one admitted request."""

    def __init__(
        self, *, admitted: AdmittedRequest, service: Service, digest: str
    ) -> None:
        self.admitted = admitted
        self.digest = digest
        self.service = service
        self.sends = 0
        self.runs = 0
        # Whether the outcome of the last attempt that was sent is still open.
        self.is_under_way = False
        self.attempts_not_run = 0
        self.tried: set[str] = set()
        self.last_error: ErrorResponse | None = None
        # Status of a response that promises without proof that nothing has run, to a
        # request that must not run again.
        self.unproven_status: int | None = None
        self.target_id = ""
        # Members that were asked to forward the request, the last of them, and the one
        # that this member forwards it for.
        self.tried_members: set[str] = set()
        self.relayed_by = ""
        self.relayed_for = ""
        # Software version of the target that was chosen last.
        self.software_version = ""
        # Version at which the stream must go on, None before its first event.
        self.required_version: str | None = None
        self.event_buffer = EventBuffer() if admitted.route.is_resumable else None
        self.sent_at_s: float | None = None
        # Age of the directory's copy when the request was sent last.
        self.copy_age_s: float | None = None
        self.first_piece_s: float | None = None
        # Start of the current attempt's response body, and the chunks of it so far.
        self.attempt_first_piece_s: float | None = None
        self.attempt_chunks = 0
        # When the last of them was received.
        self.last_chunk_s: float | None = None
        # The current attempt at its target, None before the first one.
        self.paced: PacedRequest | None = None
        # Whether the current attempt's response got beyond its beginning.
        self.is_begun = False

    def clear_response(self) -> None:
        """Forget what the attempt before has received."""
        self.attempt_first_piece_s = None
        self.attempt_chunks = 0
        self.last_chunk_s = None
        self.is_begun = False

    def note_sent(self, now_s: float, *, copy_age_s: float) -> None:
        """Record that an attempt is sent now, by a directory copy of this age."""
        self.sends += 1
        self.is_under_way = True
        self.sent_at_s = now_s
        self.copy_age_s = copy_age_s

    def note_chunk(self, now_s: float) -> None:
        """Record a chunk of the current attempt's response body."""
        self.attempt_chunks += 1
        self.last_chunk_s = now_s
        if self.attempt_first_piece_s is None:
            self.attempt_first_piece_s = now_s
        if self.first_piece_s is None:
            self.first_piece_s = now_s

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may run more than once."""
        route = self.admitted.route
        return route.kind is RequestKind.IDEMPOTENT or route.is_resumable


def log_attempt_ended(
    state: RequestState, outcome: str, detail: str, *, now_s: float
) -> None:
    """Log an attempt that did not give the request's final response.

    `first_piece_ms` counts from the time at which the attempt was sent, `silent_ms`
    from the last chunk of its response.
    """
    request = state.admitted.request
    get_logger().info(
        "request_try_ended",
        request_id=request.request_id,
        target=state.target_id,
        relayed_by=state.relayed_by,
        outcome=outcome,
        software_version=state.software_version,
        original_request_id=request.original_request_id,
        last_event_id=_last_event_id(state),
        sends=state.sends,
        runs=state.runs,
        first_piece_ms=_milliseconds_between(
            state.sent_at_s, state.attempt_first_piece_s
        ),
        chunks=state.attempt_chunks,
        silent_ms=_milliseconds_between(state.last_chunk_s, now_s),
        digest=state.digest,
        prompt_parts=",".join(part.part_id for part in request.prompt_parts),
        detail=detail,
    )


def check_caller(
    state: RequestState, has_caller_left: Callable[[], bool], *, now_s: float
) -> None:
    """Raise `CallerDisconnected` if there is no caller to send the request for."""
    if has_caller_left():
        request = state.admitted.request
        get_logger().info(
            "caller_left_before_send",
            request_id=request.request_id,
            relayed_for=state.relayed_for,
            sends=state.sends,
            runs=state.runs,
            waited_ms=_milliseconds_between(request.received_at_s, now_s),
        )
        raise CallerDisconnected


def _last_event_id(state: RequestState) -> str:
    """Return the id of the last event that the caller has received."""
    received = state.event_buffer.last_event_id if state.event_buffer else ""
    return received or state.admitted.request.last_event_id


def _milliseconds_between(begin_s: float | None, end_s: float | None) -> int | str:
    if begin_s is None or end_s is None:
        return ""
    return round((end_s - begin_s) * 1000)


def not_run_error(
    template: messages.MessageTemplate, step: Step, *, peer: str = "", **details: Any
) -> JaytrayError:
    return JaytrayError(
        template, step=step, peer=peer, retry_after_s=NOT_RUN_RETRY_S, **details
    )


def time_limit_error(state: RequestState | None) -> JaytrayError:
    """Return the error for a request whose final response is due."""
    if state is None or not (state.runs or state.is_under_way):
        return not_run_error(messages.DEADLINE_UNREACHABLE, Step.DISPATCH)
    request = state.admitted.request
    limit_s = state.admitted.expires_at_s - request.received_at_s
    return may_have_run_error(
        messages.TARGET_TIMEOUT, state, timeout_s=round(limit_s, 3)
    )


def stopping_error(state: RequestState | None) -> JaytrayError:
    """Return the error for a request that still runs at the end of a planned stop."""
    if state is None or not (state.runs or state.is_under_way):
        return not_run_error(messages.SHUTTING_DOWN, Step.DISPATCH)
    return may_have_run_error(messages.STOPPED_BEFORE_RESPONSE, state)


def may_have_run_error(
    template: messages.MessageTemplate, state: RequestState, **details: Any
) -> JaytrayError:
    return JaytrayError(
        template,
        step=Step.DISPATCH,
        peer=state.target_id,
        execution=Execution.MAY_HAVE_RUN,
        **details,
    )
