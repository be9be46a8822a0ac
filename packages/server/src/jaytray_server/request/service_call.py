"""Runs a call to a plain service.

The document's routes determine who may call, whether a call may be repeated and how
long it may take. A call that may not be repeated is sent at most once.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.document.model import Route
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_core.targets import ServiceCall, TargetConnection, WholeResponse
from jaytray_server.ports import SlotRequest
from jaytray_server.process.quarantine.exclusive_runs import (
    TargetLockedError,
    suspect_error,
)
from jaytray_server.process.quarantine.quarantine import digest_request
from jaytray_server.request.retry import MAX_ATTEMPTS_SENT, backoff_s, is_retryable
from jaytray_server.request.service_routing import (
    IncomingCall,
    choose_address,
    is_repeatable,
)
from jaytray_server.request.services import RequestServices
from jaytray_server.request.target_exchange import (
    check_echo,
    target_error,
    target_timeout,
)
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.request.work import MAX_ADMISSION_WAIT_S, new_attempt_id
from jaytray_server.version.authentication import Caller, strip_credentials

# Account name under which calls to open routes queue for a slot.
OPEN_ACCOUNT = "-"
# Fraction of the remaining time that one attempt of a repeatable call may take.
ATTEMPT_TIME_FRACTION = 0.4
MIN_ATTEMPT_S = 0.25
# Statuses by which a service, or a proxy in front of it, reports a failure that a
# retry may resolve.
_TRANSIENT_STATUSES = frozenset((502, 503, 504))
_NOT_FORWARDED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

_log = get_logger()


class ServiceWork(NamedTuple):
    """One call to run; `deadline_s` is on the monotonic clock."""

    route: Route
    call: IncomingCall
    caller: Caller | None
    digest: str
    deadline_s: float

    @property
    def is_repeatable(self) -> bool:
        """Return whether the call may be sent more than once."""
        return is_repeatable(self.route, self.call.method)


async def dispatch_service_call(
    services: RequestServices,
    route: Route,
    call: IncomingCall,
    caller: Caller | None,
    tracker: DispatchTracker,
) -> WholeResponse:
    """Return the whole response of the service; raises `JaytrayError`."""
    work = ServiceWork(
        route=route,
        call=call,
        caller=caller,
        digest=digest_request(
            f"{call.method} {call.service}{call.raw_path}?{call.query}", call.body
        ),
        deadline_s=services.clock() + route.timeout_s,
    )
    account = caller.account if caller else None
    if account is None or not route.charge_tokens:
        return await _dispatch(services, work, tracker)
    reservation = await services.limiter.reserve(
        account.name, route.charge_tokens, MAX_ADMISSION_WAIT_S
    )
    used_tokens = route.charge_tokens
    try:
        return await _dispatch(services, work, tracker)
    except JaytrayError as err:
        if err.execution is Execution.NOT_RUN:
            used_tokens = 0
        raise
    finally:
        services.limiter.settle(reservation, used_tokens)


async def _dispatch(
    services: RequestServices, work: ServiceWork, tracker: DispatchTracker
) -> WholeResponse:
    services.retry_budget.record_first_attempt()
    while True:
        try:
            response = await _attempt(services, work, tracker)
        except JaytrayError as err:
            tracker.apply_to(err)
            if not await _wait_for_retry(services, work, tracker, err):
                raise
            continue
        if response.status not in _TRANSIENT_STATUSES or not work.is_repeatable:
            return response
        tracker.attempts_sent += 1
        if not await _wait_for_retry(
            services, work, tracker, _transient_failure(response)
        ):
            return response


async def _wait_for_retry(
    services: RequestServices,
    work: ServiceWork,
    tracker: DispatchTracker,
    error: JaytrayError,
) -> bool:
    """Wait for the backoff and return True, or False if there must be no retry."""
    wait_s = backoff_s(tracker.attempts, error.retry_after_s)
    if (
        tracker.attempts_sent >= MAX_ATTEMPTS_SENT
        or not is_retryable(error, is_repeatable=work.is_repeatable)
        or services.clock() + wait_s >= work.deadline_s
        or not services.retry_budget.take()
    ):
        return False
    services.metrics.increment("request.retries", 1)
    await asyncio.sleep(wait_s)
    return True


def _transient_failure(response: WholeResponse) -> JaytrayError:
    detail = f"status {response.status}"
    return target_error(messages.TARGET_FAILED, "", detail=detail)


async def _attempt(
    services: RequestServices, work: ServiceWork, tracker: DispatchTracker
) -> WholeResponse:
    connection = _choose_connection(services, work, tracker)
    address = connection.target
    quarantine, digest = services.quarantine, work.digest
    async with (
        services.acquire_slot(_slot_request(services, work, address)),
        _exclusive_if_suspect(services, digest, address),
    ):
        with quarantine.in_flight(address, digest):
            tracker.begin()
            try:
                response = await _send(services, work, connection)
            except JaytrayError as err:
                tracker.fail(address, err)
                services.address_health.record_failure(address)
                await quarantine.handle_dispatch_failure(connection, err, None)
                raise
    services.address_health.record_success(address)
    await quarantine.record_complete_response(digest)
    return response


def _choose_connection(
    services: RequestServices, work: ServiceWork, tracker: DispatchTracker
) -> TargetConnection:
    """Choose an address, log the choice and return the connection to it."""
    name, request_id = work.route.service, work.call.request_id
    service = services.current_document().services_by_name.get(name)
    if service is None or not service.addresses:
        raise _no_replica(name)
    address = choose_address(
        service, request_id, tracker.failed_targets, services.address_health
    )
    _log.info(
        "routing_decision",
        request_id=request_id,
        name=name,
        target=address,
        reason="service",
        candidates=len(service.addresses),
        attempt=tracker.attempts + 1,
    )
    connection = services.connection_to_address(address)
    if connection is None:
        raise _no_replica(name)
    return connection


def _no_replica(name: str) -> JaytrayError:
    return JaytrayError(
        messages.NO_REPLICA, step=Step.ROUTE, name=name, retry_after_s=1.0
    )


def _slot_request(
    services: RequestServices, work: ServiceWork, address: str
) -> SlotRequest:
    account = work.caller.account if work.caller else None
    return SlotRequest(
        target=address,
        account=account.name if account else OPEN_ACCOUNT,
        weight=account.weight if account else 1.0,
        tokens=max(1, work.route.charge_tokens),
        traffic_class=work.route.traffic_class,
        max_wait_s=max(0.0, work.deadline_s - services.clock()),
    )


@asynccontextmanager
async def _exclusive_if_suspect(
    services: RequestServices, digest: str, address: str
) -> AsyncIterator[None]:
    """Let a suspect run only while no other suspect runs at the address.

    Raises `request_quarantined` or `request_suspected`.
    """
    if not services.quarantine.check_suspect(digest):
        yield
        return
    try:
        async with services.quarantine.exclusive_run(digest, address):
            yield
    except TargetLockedError as err:
        raise suspect_error() from err


async def _send(
    services: RequestServices, work: ServiceWork, connection: TargetConnection
) -> WholeResponse:
    call = work.call
    attempt_id = new_attempt_id()
    timeout_s = _attempt_timeout_s(services, work)
    key = work.caller.key if work.caller else ""
    headers, query = strip_credentials(
        call.headers,
        call.query,
        key=key,
        known_digests=services.current_document().keys_by_digest,
    )
    message = ServiceCall(
        request_id=attempt_id,
        method=call.method,
        path=call.raw_path,
        query=query,
        headers=[pair for pair in headers if pair[0] not in _NOT_FORWARDED_HEADERS],
        body=call.body,
        timeout_s=timeout_s,
    )
    try:
        async with asyncio.timeout(timeout_s):
            response = await connection.call_service(message)
    except TimeoutError as err:
        raise target_timeout(connection.target, round(timeout_s, 3)) from err
    check_echo(response.request_id, attempt_id, connection.target)
    return response


def _attempt_timeout_s(services: RequestServices, work: ServiceWork) -> float:
    """Return the timeout of one attempt; a repeatable call keeps time for a retry."""
    left_s = max(0.001, work.deadline_s - services.clock())
    if not work.is_repeatable:
        return left_s
    return min(left_s, max(MIN_ATTEMPT_S, left_s * ATTEMPT_TIME_FRACTION))
