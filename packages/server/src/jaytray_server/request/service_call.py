"""The path of a call to a plain service, straight down.

The document's routes decide who may call, whether a call may be repeated and how
long it may take. A call that may not be repeated is sent once.
"""

import asyncio
import zlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.document.model import Document, Route, Service
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_core.targets import ServiceCall, TargetConnection, WholeAnswer
from jaytray_server.ports import SlotRequest
from jaytray_server.process.quarantine.quarantine import digest_request
from jaytray_server.process.quarantine.solo_runs import (
    TargetTakenError,
    request_suspected,
)
from jaytray_server.request.exchange import check_echo, target_timeout
from jaytray_server.request.retry import MAX_ATTEMPTS_SENT, backoff_s, is_retryable
from jaytray_server.request.services import RequestServices
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.request.work import LONGEST_ADMISSION_WAIT_S, new_dispatch_id
from jaytray_server.version.authentication import Caller, strip_credentials

SERVICE_PREFIX = "/services/"
# Account under which calls to open routes wait for a slot.
OPEN_ACCOUNT = "-"
_REPEATABLE_METHODS = frozenset(("GET", "HEAD"))
_HOP_HEADERS = frozenset(
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


class IncomingCall(NamedTuple):
    """A caller's call to a service; `path` starts with the service's own `/`."""

    request_id: str
    method: str
    service: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes


def find_route(document: Document, call: IncomingCall) -> Route:
    """Return the route with the longest matching prefix; raises `route_unknown`."""
    matching = [
        route
        for route in document.routes_by_name.values()
        if route.service == call.service
        and call.path.startswith(route.path_prefix)
        and (not route.methods or call.method in route.methods)
    ]
    if not matching:
        path = f"{SERVICE_PREFIX}{call.service}{call.path}"
        raise JaytrayError(
            messages.ROUTE_UNKNOWN, step=Step.ROUTE, method=call.method, path=path
        )
    return max(matching, key=lambda route: len(route.path_prefix))


def is_repeatable(route: Route, method: str) -> bool:
    """Return whether a call by `route` may be sent more than once."""
    if route.is_repeatable is not None:
        return route.is_repeatable
    return method in _REPEATABLE_METHODS


async def dispatch_service_call(
    services: RequestServices,
    route: Route,
    call: IncomingCall,
    caller: Caller | None,
    tracker: DispatchTracker,
) -> WholeAnswer:
    """Return the whole answer of the service; raises `JaytrayError`."""
    account = caller.account if caller else None
    if account is None or not route.charge_tokens:
        return await _dispatch(services, route, call, caller, tracker)
    reservation = await services.limiter.reserve(
        account.name, route.charge_tokens, LONGEST_ADMISSION_WAIT_S
    )
    used_tokens = route.charge_tokens
    try:
        return await _dispatch(services, route, call, caller, tracker)
    except JaytrayError as err:
        if err.execution is Execution.NOT_RUN:
            used_tokens = 0
        raise
    finally:
        services.limiter.settle(reservation, used_tokens)


async def _dispatch(
    services: RequestServices,
    route: Route,
    call: IncomingCall,
    caller: Caller | None,
    tracker: DispatchTracker,
) -> WholeAnswer:
    deadline_s = services.clock() + route.timeout_s
    services.retry_budget.record_first_try()
    while True:
        address = _choose_address(services, route.service, call, tracker)
        try:
            return await _attempt(
                services, route, call, caller, tracker, address, deadline_s
            )
        except JaytrayError as err:
            tracker.apply_to(err)
            repeatable = is_repeatable(route, call.method)
            wait_s = backoff_s(tracker.attempts, err.retry_after_s)
            if (
                tracker.attempts_sent >= MAX_ATTEMPTS_SENT
                or not is_retryable(err, is_repeatable=repeatable)
                or services.clock() + wait_s >= deadline_s
                or not services.retry_budget.take()
            ):
                raise
            services.metrics.increment("request.retries", 1)
            await asyncio.sleep(wait_s)


def _choose_address(
    services: RequestServices, name: str, call: IncomingCall, tracker: DispatchTracker
) -> str:
    service = services.current_document().services_by_name.get(name)
    if service is None or not service.addresses:
        raise JaytrayError(
            messages.NO_REPLICA, step=Step.ROUTE, name=name, retry_after_s=1.0
        )
    address = _next_address(service, call.request_id, tracker)
    _log.info(
        "routing_decision",
        request_id=call.request_id,
        name=name,
        target=address,
        reason="service",
        candidates=len(service.addresses),
        attempt=tracker.attempts + 1,
    )
    return address


def _next_address(service: Service, request_id: str, tracker: DispatchTracker) -> str:
    untried = [a for a in service.addresses if a not in tracker.failed_targets]
    addresses = untried or list(service.addresses)
    return addresses[zlib.crc32(request_id.encode()) % len(addresses)]


async def _attempt(
    services: RequestServices,
    route: Route,
    call: IncomingCall,
    caller: Caller | None,
    tracker: DispatchTracker,
    address: str,
    deadline_s: float,
) -> WholeAnswer:
    connection = services.connection_to_address(address)
    if connection is None:
        raise JaytrayError(
            messages.NO_REPLICA, step=Step.ROUTE, name=route.service, retry_after_s=1.0
        )
    account = caller.account if caller else None
    slot = SlotRequest(
        target=address,
        account=account.name if account else OPEN_ACCOUNT,
        weight=account.weight if account else 1.0,
        tokens=max(1, route.charge_tokens),
        traffic_class=route.traffic_class,
        max_wait_s=max(0.0, deadline_s - services.clock()),
    )
    digest = digest_request(f"{call.service}{call.path}?{call.query}", call.body)
    quarantine = services.quarantine
    async with (
        services.acquire_slot(slot),
        _alone_if_suspect(services, digest, address),
    ):
        with quarantine.in_flight(address, digest):
            tracker.begin()
            try:
                answer = await _send(services, call, caller, connection, deadline_s)
            except JaytrayError as err:
                tracker.fail(address, err)
                await quarantine.dispatch_failed(connection, err, "")
                raise
    await quarantine.ran_whole(digest)
    return answer


@asynccontextmanager
async def _alone_if_suspect(
    services: RequestServices, digest: str, address: str
) -> AsyncIterator[None]:
    """Run a suspect alone; raises `request_quarantined` or `request_suspected`."""
    if not services.quarantine.check(digest):
        yield
        return
    try:
        async with services.quarantine.alone(digest, address):
            yield
    except TargetTakenError as err:
        raise request_suspected() from err


async def _send(
    services: RequestServices,
    call: IncomingCall,
    caller: Caller | None,
    connection: TargetConnection,
    deadline_s: float,
) -> WholeAnswer:
    dispatch_id = new_dispatch_id()
    timeout_s = max(0.001, deadline_s - services.clock())
    key = caller.key if caller else ""
    headers, query = strip_credentials(call.headers, call.query, key=key)
    message = ServiceCall(
        request_id=dispatch_id,
        method=call.method,
        path=call.path,
        query=query,
        headers=[pair for pair in headers if pair[0] not in _HOP_HEADERS],
        body=call.body,
        timeout_s=timeout_s,
    )
    try:
        async with asyncio.timeout(timeout_s):
            answer = await connection.call_service(message)
    except TimeoutError as err:
        raise target_timeout(connection.target, round(timeout_s, 3)) from err
    check_echo(answer.request_id, dispatch_id, connection.target)
    return answer
