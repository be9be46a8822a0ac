"""Runs a completion whose response is sent whole.

The steps are: reserve tokens, choose a replica, wait for a slot, send, check the
response, settle the tokens. Retryable failures are retried on another replica within
the retry budget.
"""

import asyncio

from jaytray_core.errors import JaytrayError
from jaytray_core.targets import WholeResponse
from jaytray_server.request.retry import MAX_ATTEMPTS_SENT, backoff_s, is_retryable
from jaytray_server.request.services import RequestServices
from jaytray_server.request.target_exchange import (
    cancel_at_target,
    check_completion_response,
    target_timeout,
)
from jaytray_server.request.target_run import Attempt, open_attempt
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.request.work import (
    CompletionWork,
    make_infer_request,
    reserve_tokens,
    used_tokens,
)


async def dispatch_whole(
    services: RequestServices, work: CompletionWork, tracker: DispatchTracker
) -> WholeResponse:
    """Return the whole response to `work`; raises `JaytrayError`."""
    async with reserve_tokens(services, work) as charge:
        services.retry_budget.record_first_attempt()
        while True:
            try:
                async with open_attempt(services, work, tracker) as attempt:
                    response = await _send(services, work, attempt)
            except JaytrayError as err:
                await wait_before_retry(services, work, tracker, err)
                continue
            charge.used_tokens = used_tokens(response, work.call)
            return response


async def wait_before_retry(
    services: RequestServices,
    work: CompletionWork,
    tracker: DispatchTracker,
    error: JaytrayError,
) -> None:
    """Wait for the backoff, or raise `error` if the request must not be retried.

    At most `MAX_ATTEMPTS_SENT` attempts may have had an effect. The number of
    attempts that certainly had none is not limited before the deadline of the first
    token; after it, a request with `MAX_ATTEMPTS_SENT` attempts is not retried.
    """
    tracker.apply_to(error)
    wait_s = backoff_s(tracker.attempts, error.retry_after_s)
    is_past_deadline = services.clock() + wait_s > work.deadline_s
    if tracker.attempts_sent >= MAX_ATTEMPTS_SENT:
        raise error
    if is_past_deadline and tracker.attempts >= MAX_ATTEMPTS_SENT:
        raise error
    if not is_retryable(error, is_repeatable=True):
        raise error
    if not services.retry_budget.take():
        services.metrics.increment("request.retry_budget_empty", 1)
        raise error
    services.metrics.increment("request.retries", 1)
    await asyncio.sleep(wait_s)


async def _send(
    services: RequestServices, work: CompletionWork, attempt: Attempt
) -> WholeResponse:
    connection, attempt_id = attempt.connection, attempt.attempt_id
    timeout_s = services.timeouts.whole_response_s
    try:
        async with asyncio.timeout(timeout_s):
            response = await connection.infer(
                make_infer_request(services, work, attempt_id)
            )
    except TimeoutError as err:
        await cancel_at_target(services, connection, attempt_id)
        raise target_timeout(connection.target, timeout_s) from err
    except asyncio.CancelledError:
        await cancel_at_target(services, connection, attempt_id)
        raise
    return check_completion_response(response, attempt_id, connection.target)
