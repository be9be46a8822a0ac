"""The path of a completion with a whole answer, straight down.

Reserve tokens, choose a replica, wait for a slot, send, check the answer, settle.
Failures that may be repeated go to another replica within the retry budget.
"""

import asyncio
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple, TypedDict

import msgspec

from jaytray_core import message_registry as messages
from jaytray_core.document.model import ClientAccount, TrafficClass
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_core.targets import InferRequest, TargetConnection, WholeAnswer
from jaytray_server.ports import RoutingDecision, RoutingRequest, SlotRequest
from jaytray_server.request.parsing import CompletionCall
from jaytray_server.request.retry import MAX_ATTEMPTS, backoff_s, is_retryable
from jaytray_server.request.services import RequestServices
from jaytray_server.request.tracker import DispatchTracker

PRIORITY_BY_CLASS = {TrafficClass.INTERACTIVE: 0, TrafficClass.DEFERRED: 10}
LONGEST_ADMISSION_WAIT_S = 0.2

_log = get_logger()


class Work(NamedTuple):
    """One admitted completion; `deadline_s` is the monotonic time of its deadline."""

    request_id: str
    call: CompletionCall
    account: ClientAccount
    traffic_class: TrafficClass
    deadline_s: float


class Usage(TypedDict, total=False):
    """Token counts in a whole answer."""

    prompt_tokens: int
    completion_tokens: int


class _AnswerFields(TypedDict, total=False):
    usage: Usage


def make_work(
    services: RequestServices,
    *,
    request_id: str,
    call: CompletionCall,
    account: ClientAccount,
    traffic_class: TrafficClass = TrafficClass.INTERACTIVE,
) -> Work:
    """Return the work for `call` with the deadline of its model."""
    deadline_s = services.clock() + call.model.first_token_deadline_s
    return Work(request_id, call, account, traffic_class, deadline_s)


async def dispatch_whole(
    services: RequestServices, work: Work, tracker: DispatchTracker
) -> WholeAnswer:
    """Return the whole answer to `work`; raises `JaytrayError`."""
    call = work.call
    async with reserved_tokens(services, work) as charge:
        services.retry_budget.record_first_try()
        while True:
            try:
                answer = await _attempt(services, work, tracker)
            except JaytrayError as err:
                await wait_before_retry(services, tracker, err)
                continue
            charge.used_tokens = used_tokens(answer, call)
            return answer


class Charge:
    """Tokens to settle for a request when it ends."""

    def __init__(self, *, reserved_tokens: int) -> None:
        self.used_tokens = reserved_tokens


@asynccontextmanager
async def reserved_tokens(
    services: RequestServices, work: Work
) -> AsyncIterator[Charge]:
    """Reserve the upper bound of `work` and settle what it used.

    A request that surely did not run is not charged.
    """
    tokens = work.call.prompt_tokens + work.call.output_tokens
    reservation = await services.limiter.reserve(
        work.account.name, tokens, LONGEST_ADMISSION_WAIT_S
    )
    charge = Charge(reserved_tokens=tokens)
    try:
        yield charge
    except JaytrayError as err:
        if err.execution is Execution.NOT_RUN:
            charge.used_tokens = 0
        raise
    finally:
        services.limiter.settle(reservation, min(tokens, charge.used_tokens))


async def wait_before_retry(
    services: RequestServices, tracker: DispatchTracker, error: JaytrayError
) -> None:
    """Wait for the backoff, or raise `error` when there is to be no retry."""
    tracker.apply_to(error)
    if tracker.attempts >= MAX_ATTEMPTS:
        raise error
    if not is_retryable(error, is_repeatable=True):
        raise error
    if not services.retry_budget.take():
        services.metrics.increment("request.retry_budget_empty", 1)
        raise error
    services.metrics.increment("request.retries", 1)
    await asyncio.sleep(backoff_s(tracker.attempts, error.retry_after_s))


def choose_target(
    services: RequestServices, work: Work, tracker: DispatchTracker
) -> RoutingDecision:
    """Choose a replica, failed ones only when there is no other; log the choice."""
    call = work.call
    request = RoutingRequest(
        request_id=work.request_id,
        name=call.name,
        account=work.account.name,
        traffic_class=work.traffic_class,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        prefix_digests=services.prefix_digests(call.name, call.prompt),
        excluded_targets=frozenset(tracker.failed_targets),
        deadline_s=work.deadline_s,
    )
    try:
        decision = services.router.choose(request)
    except JaytrayError as err:
        if err.code != messages.NO_REPLICA.code or not tracker.failed_targets:
            raise
        decision = services.router.choose(
            request._replace(excluded_targets=frozenset())
        )
    _log.info(
        "routing_decision",
        request_id=work.request_id,
        name=call.name,
        account=work.account.name,
        target=decision.target,
        reason=decision.reason,
        score=round(decision.score, 4),
        candidates=decision.candidates,
        attempt=tracker.attempts + 1,
    )
    return decision


@asynccontextmanager
async def running_at(
    services: RequestServices, work: Work, decision: RoutingDecision, dispatch_id: str
) -> AsyncIterator[TargetConnection]:
    """Hold a slot at the chosen target and yield the connection to it."""
    connection = services.connection_to(decision.target)
    if connection is None:
        raise JaytrayError(
            messages.NO_REPLICA, step=Step.ROUTE, name=work.call.name, retry_after_s=1.0
        )
    tokens = work.call.prompt_tokens + work.call.output_tokens
    slot = SlotRequest(
        target=decision.target,
        account=work.account.name,
        weight=work.account.weight,
        tokens=tokens,
        traffic_class=work.traffic_class,
        max_wait_s=max(0.0, work.deadline_s - services.clock()),
    )
    async with services.acquire_slot(slot):
        if decision.needs_adapter_load:
            await services.load_adapter(decision.target, work.call.name)
        services.router.started(decision.target, dispatch_id, work.call.output_tokens)
        try:
            yield connection
        finally:
            services.router.finished(decision.target, dispatch_id)


def infer_request(
    services: RequestServices, work: Work, dispatch_id: str
) -> InferRequest:
    """Return the message that starts `work` at a target."""
    return InferRequest(
        request_id=dispatch_id,
        path=work.call.path,
        model=work.call.name,
        body=work.call.body,
        resume_after_tokens=0,
        resume_text="",
        priority=PRIORITY_BY_CLASS[work.traffic_class],
        deadline_s=max(0.0, work.deadline_s - services.clock()),
    )


def new_dispatch_id() -> str:
    """Return a request id that no other dispatch has."""
    return uuid.uuid4().hex


def used_tokens(answer: WholeAnswer, call: CompletionCall) -> int:
    """Return the tokens that `answer` used, or the upper bound if it tells none."""
    if answer.status >= 400:
        return 0
    try:
        usage = msgspec.json.decode(answer.body, type=_AnswerFields).get("usage", {})
    except msgspec.DecodeError:
        usage = {}
    prompt_tokens = usage.get("prompt_tokens", call.prompt_tokens)
    return prompt_tokens + usage.get("completion_tokens", call.output_tokens)


async def cancel_at_target(
    services: RequestServices, connection: TargetConnection, dispatch_id: str
) -> None:
    """Ask the target to stop; a target that does not listen is left alone."""
    try:
        async with asyncio.timeout(services.timeouts.cancel_s):
            await connection.cancel(dispatch_id)
    except (JaytrayError, TimeoutError) as err:
        _log.info("cancel_failed", target=connection.target, error=str(err))


async def _attempt(
    services: RequestServices, work: Work, tracker: DispatchTracker
) -> WholeAnswer:
    decision = choose_target(services, work, tracker)
    dispatch_id = new_dispatch_id()
    async with running_at(services, work, decision, dispatch_id) as connection:
        tracker.begin()
        try:
            return await _send(services, work, connection, dispatch_id)
        except JaytrayError as err:
            tracker.fail(decision.target, err)
            services.router.failed(decision.target)
            raise


async def _send(
    services: RequestServices,
    work: Work,
    connection: TargetConnection,
    dispatch_id: str,
) -> WholeAnswer:
    timeout_s = services.timeouts.whole_answer_s
    try:
        async with asyncio.timeout(timeout_s):
            answer = await connection.infer(infer_request(services, work, dispatch_id))
    except TimeoutError as err:
        await cancel_at_target(services, connection, dispatch_id)
        raise target_timeout(connection.target, timeout_s) from err
    except asyncio.CancelledError:
        await cancel_at_target(services, connection, dispatch_id)
        raise
    return check_answer(answer, dispatch_id, connection.target)


def target_timeout(target: str, timeout_s: float) -> JaytrayError:
    """Return the error for a target that was silent for `timeout_s`."""
    return JaytrayError(
        messages.TARGET_TIMEOUT,
        step=Step.DISPATCH,
        peer=target,
        execution=Execution.MAY_HAVE_RUN,
        timeout_s=timeout_s,
    )


def check_answer(answer: WholeAnswer, dispatch_id: str, target: str) -> WholeAnswer:
    """Return `answer` if it belongs to the dispatch and tells no server error."""
    if answer.request_id != dispatch_id:
        raise JaytrayError(
            messages.ANSWER_MISMATCH,
            step=Step.DISPATCH,
            peer=target,
            execution=Execution.MAY_HAVE_RUN,
        )
    if answer.status >= 500:
        raise JaytrayError(
            messages.TARGET_FAILED,
            step=Step.DISPATCH,
            peer=target,
            execution=Execution.MAY_HAVE_RUN,
            detail=f"status {answer.status}",
        )
    return answer
