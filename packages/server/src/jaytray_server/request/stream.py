"""Runs a streamed completion, resuming it on another replica after a failure.

When a target fails, stops sending or sends inconsistent pieces, the stream continues
on another replica of the same model version after the last delivered token. A response
is complete only with its end mark at the announced length.
"""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError
from jaytray_core.targets import InferRequest, StreamPiece, TargetConnection
from jaytray_server.request.dispatch import wait_before_retry
from jaytray_server.request.services import RequestServices
from jaytray_server.request.stall_guard import StallGuard
from jaytray_server.request.target_exchange import (
    cancel_at_target,
    check_echo,
    target_error,
    target_timeout,
)
from jaytray_server.request.target_run import Attempt, open_attempt
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.request.work import (
    Charge,
    CompletionWork,
    make_infer_request,
    reserve_tokens,
)

# A stream's progress is reported to the router each time this many tokens arrived.
PROGRESS_INTERVAL_TOKENS = 16


class DeliveredOutput:
    """The part of a streamed response that was delivered so far."""

    def __init__(self) -> None:
        self.tokens = 0
        self.texts: list[str] = []
        self.is_complete = False
        # Version of the model that generated the first piece, empty if not known.
        self.model_version = ""

    def add(self, piece: StreamPiece) -> None:
        """Record `piece` as delivered."""
        self.tokens = piece.end_index
        self.texts.append(piece.text)
        self.is_complete = piece.is_end


async def dispatch_stream(
    services: RequestServices, work: CompletionWork, tracker: DispatchTracker
) -> AsyncGenerator[StreamPiece, None]:
    """Yield the pieces of the response to `work`; raises `JaytrayError`.

    Closing the iterator early cancels the request at its target.
    """
    delivered = DeliveredOutput()
    async with reserve_tokens(services, work) as charge:
        services.retry_budget.record_first_attempt()
        while not delivered.is_complete:
            tokens_before = delivered.tokens
            pieces = _attempt(services, work, tracker, delivered)
            try:
                async with aclosing(pieces):
                    async for piece in pieces:
                        _charge_delivered(charge, work, piece)
                        yield piece
            except JaytrayError as err:
                if delivered.tokens > tokens_before:
                    tracker.attempts_sent = 0
                await wait_before_retry(services, work, tracker, err)
                services.metrics.increment("request.stream_resumed", 1)


def _charge_delivered(charge: Charge, work: CompletionWork, piece: StreamPiece) -> None:
    charge.used_tokens = work.call.prompt_tokens + piece.end_index


async def _attempt(
    services: RequestServices,
    work: CompletionWork,
    tracker: DispatchTracker,
    delivered: DeliveredOutput,
) -> AsyncGenerator[StreamPiece, None]:
    opening = open_attempt(
        services, work, tracker, model_version=delivered.model_version
    )
    async with opening as attempt:
        connection, attempt_id = attempt.connection, attempt.attempt_id
        target = connection.target
        request = make_infer_request(services, work, attempt_id)._replace(
            resume_after_tokens=delivered.tokens,
            resume_text="".join(delivered.texts),
        )
        async with _cancel_unless_complete(services, attempt, delivered):
            checked = _checked_pieces(services, connection, request, delivered)
            async with aclosing(checked) as pieces:
                async for piece in pieces:
                    delivered.model_version = (
                        delivered.model_version or attempt.model_version
                    )
                    if piece.end_index % PROGRESS_INTERVAL_TOKENS == 0:
                        remaining = max(0, work.call.output_tokens - piece.end_index)
                        services.router.record_progress(target, attempt_id, remaining)
                    yield piece


async def _checked_pieces(
    services: RequestServices,
    connection: TargetConnection,
    request: InferRequest,
    delivered: DeliveredOutput,
) -> AsyncGenerator[StreamPiece, None]:
    target = connection.target
    limit_s = services.timeouts.first_token_s
    guard = StallGuard(limit_s=limit_s)
    try:
        async with connection.stream(request) as pieces:
            while not delivered.is_complete:
                piece = await guard.wait(anext(pieces), limit_s)
                _check_piece(piece, request.request_id, delivered, target)
                delivered.add(piece)
                limit_s = services.timeouts.idle_token_s
                yield piece
    except TimeoutError as err:
        raise target_timeout(target, limit_s) from err
    except StopAsyncIteration as err:
        raise _incomplete_response(target, "the stream has no end mark") from err
    finally:
        guard.close()


def _check_piece(
    piece: StreamPiece, attempt_id: str, delivered: DeliveredOutput, target: str
) -> None:
    check_echo(piece.request_id, attempt_id, target)
    if piece.end_index < delivered.tokens:
        raise _incomplete_response(target, "stream pieces arrived out of order")
    if piece.end_index == delivered.tokens and piece.text:
        raise _incomplete_response(target, "a stream piece arrived twice")
    if piece.is_end and piece.output_tokens != piece.end_index:
        announced = piece.output_tokens
        detail = f"{piece.end_index} of {announced} announced tokens arrived"
        raise _incomplete_response(target, detail)


def _incomplete_response(target: str, detail: str) -> JaytrayError:
    return target_error(messages.ANSWER_INCOMPLETE, target, detail=detail)


@asynccontextmanager
async def _cancel_unless_complete(
    services: RequestServices, attempt: Attempt, delivered: DeliveredOutput
) -> AsyncIterator[None]:
    try:
        yield
    finally:
        if not delivered.is_complete:
            await cancel_at_target(services, attempt.connection, attempt.attempt_id)
