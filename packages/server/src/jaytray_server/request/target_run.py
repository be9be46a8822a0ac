"""One attempt of a completion: choice of replica, slot, crash evidence, outcome.

These are the steps around the exchange with the target, common to whole and streamed
responses. A request suspected of crashing targets runs where no other suspect runs.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.targets import TargetConnection
from jaytray_server.ports import RoutingDecision, RoutingRequest, SlotRequest
from jaytray_server.process.quarantine.exclusive_runs import TargetLockedError
from jaytray_server.request.services import RequestServices
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.request.work import CompletionWork, new_attempt_id

SUSPECT_POLL_S = 0.1
_TARGET_FAILURE_CODES = frozenset(
    template.code
    for template in (
        messages.TARGET_UNREACHABLE,
        messages.TARGET_TIMEOUT,
        messages.ANSWER_MISMATCH,
        messages.ANSWER_INCOMPLETE,
    )
)


class Attempt(NamedTuple):
    """An attempt that may be sent now, under the new id `attempt_id`.

    `model_version` is the version of the base model at the target, empty if it has
    several.
    """

    connection: TargetConnection
    attempt_id: str
    model_version: str


@asynccontextmanager
async def open_attempt(
    services: RequestServices,
    work: CompletionWork,
    tracker: DispatchTracker,
    *,
    model_version: str = "",
) -> AsyncIterator[Attempt]:
    """Yield an attempt at the chosen replica and record its outcome.

    `model_version` is the only one that a stream may go on at, empty for any.
    """
    async with AsyncExitStack() as stack:
        connection, found_version = await _acquire_replica(
            services, work, tracker, model_version, stack
        )
        target, attempt_id = connection.target, new_attempt_id()
        boot_id = services.quarantine.boot_id_of(target)
        stack.enter_context(services.quarantine.in_flight(target, work.digest))
        tracker.begin()
        services.router.record_start(target, attempt_id, work.call.output_tokens)
        try:
            yield Attempt(connection, attempt_id, found_version)
        except JaytrayError as err:
            tracker.fail(target, err)
            if err.code in _TARGET_FAILURE_CODES:
                services.router.record_failure(target)
            await services.quarantine.handle_dispatch_failure(connection, err, boot_id)
            raise
        finally:
            services.router.record_finish(target, attempt_id)
    await services.quarantine.record_complete_response(work.digest)


async def _acquire_replica(
    services: RequestServices,
    work: CompletionWork,
    tracker: DispatchTracker,
    model_version: str,
    stack: AsyncExitStack,
) -> tuple[TargetConnection, str]:
    """Return the connection to a replica and its model's version.

    `stack` holds one of its slots.
    """
    while True:
        resources = await stack.enter_async_context(AsyncExitStack())
        is_suspect = services.quarantine.check_suspect(work.digest)
        if is_suspect:
            decision = await _choose_for_suspect(
                services, work, tracker, model_version, resources
            )
        else:
            decision = _choose_replica(
                services, work, tracker, model_version, frozenset()
            )
        connection = await _acquire_slot(services, work, decision, resources)
        if is_suspect or not services.quarantine.check_suspect(work.digest):
            return connection, decision.model_version
        # The request became a suspect while it waited for the slot: choose again.
        await resources.aclose()


async def _choose_for_suspect(
    services: RequestServices,
    work: CompletionWork,
    tracker: DispatchTracker,
    model_version: str,
    resources: AsyncExitStack,
) -> RoutingDecision:
    """Choose a replica where no other suspect runs; waits until the deadline."""
    locked_targets: set[str] = set()
    while True:
        decision = _choose_replica(
            services, work, tracker, model_version, frozenset(locked_targets)
        )
        if decision.target not in locked_targets:
            try:
                lock = services.quarantine.exclusive_run(work.digest, decision.target)
                await resources.enter_async_context(lock)
                return decision
            except TargetLockedError:
                locked_targets.add(decision.target)
                continue
        if services.clock() >= work.deadline_s:
            raise JaytrayError(
                messages.DEADLINE_UNREACHABLE, step=Step.QUEUE, retry_after_s=1.0
            )
        locked_targets.clear()
        await asyncio.sleep(SUSPECT_POLL_S)


def _choose_replica(
    services: RequestServices,
    work: CompletionWork,
    tracker: DispatchTracker,
    model_version: str,
    avoided: frozenset[str],
) -> RoutingDecision:
    """Choose a replica, one that failed only if there is no other."""
    call = work.call
    excluded = frozenset(tracker.failed_targets) | avoided
    request = RoutingRequest(
        request_id=work.request_id,
        name=call.name,
        account=work.account.name,
        traffic_class=work.traffic_class,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        prefix_digests=services.prefix_digests(call.name, call.prompt),
        excluded_targets=excluded,
        deadline_s=work.deadline_s,
        model_version=model_version,
    )
    try:
        decision = services.router.choose(request)
    except JaytrayError as err:
        if err.code != messages.NO_REPLICA.code or not excluded:
            raise
        decision = services.router.choose(
            request._replace(excluded_targets=frozenset())
        )
    return decision


async def _acquire_slot(
    services: RequestServices,
    work: CompletionWork,
    decision: RoutingDecision,
    resources: AsyncExitStack,
) -> TargetConnection:
    connection = services.connection_to(decision.target)
    if connection is None:
        raise JaytrayError(
            messages.NO_REPLICA, step=Step.ROUTE, name=work.call.name, retry_after_s=1.0
        )
    slot = SlotRequest(
        target=decision.target,
        account=work.account.name,
        weight=work.account.weight,
        tokens=work.call.prompt_tokens + work.call.output_tokens,
        traffic_class=work.traffic_class,
        max_wait_s=max(0.0, work.deadline_s - services.clock()),
    )
    await resources.enter_async_context(services.acquire_slot(slot))
    if decision.needs_adapter_load:
        await services.load_adapter(decision.target, work.call.name)
    return connection
