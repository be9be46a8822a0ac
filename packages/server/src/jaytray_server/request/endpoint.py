"""Steps common to all endpoints: request id, size limits, refusals, running count."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from litestar import Request
from litestar.types import ASGIApp, Receive, Scope, Send

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_server.request.caller_presence import CallerDisconnected
from jaytray_server.request.refusals import internal_error, invalid_request
from jaytray_server.request.responses import send_refusal
from jaytray_server.request.services import Phase, RequestServices
from jaytray_server.request.tracker import DispatchTracker
from jaytray_server.version.authentication import Caller, authenticate

AnyRequest = Request[Any, Any, Any]

_log = get_logger()


class Exchange(NamedTuple):
    """One HTTP request of a caller with the ASGI functions to respond to it.

    `path` is decoded; `raw_path` is as the caller sent it.
    """

    request_id: str
    method: str
    path: str
    raw_path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    receive: Receive
    send: Send
    tracker: DispatchTracker


# Responds to one exchange; raises `JaytrayError` for a refusal.
Endpoint = Callable[[RequestServices, Exchange], Awaitable[None]]


async def run_endpoint(
    services: RequestServices, request: AnyRequest, endpoint: Endpoint
) -> ASGIApp:
    """Read the request and return the application that responds to it."""
    request_id = uuid.uuid4().hex
    request.scope["state"]["request_id"] = request_id
    check_accepting(services)
    check_sizes(services, request)
    body = await _read_body(services, request)
    # The VM may have begun to hand off while the body arrived.
    check_accepting(services)

    async def respond(scope: Scope, receive: Receive, send: Send) -> None:
        exchange = Exchange(
            request_id=request_id,
            method=request.method,
            path=request.scope["path"],
            raw_path=request.scope["raw_path"].decode("latin-1"),
            query=request.scope["query_string"].decode("latin-1"),
            headers=header_pairs(request),
            body=body,
            receive=receive,
            send=_marking_start(send, scope),
            tracker=DispatchTracker(),
        )
        with services.lifecycle.running_response():
            await _respond_or_refuse(services, exchange, endpoint, scope)

    return respond


def check_accepting(services: RequestServices) -> None:
    """Raise a refusal if this VM accepts no new requests."""
    lifecycle = services.lifecycle
    if lifecycle.phase is Phase.CLOSED:
        raise JaytrayError(messages.SHUTTING_DOWN, step=Step.ADMIT, retry_after_s=1.0)
    if lifecycle.is_isolated:
        raise JaytrayError(messages.VM_ISOLATED, step=Step.ADMIT, retry_after_s=1.0)
    if services.current_document().version == 0:
        raise JaytrayError(messages.NOT_READY, step=Step.ADMIT, retry_after_s=1.0)


def check_sizes(services: RequestServices, request: AnyRequest) -> None:
    """Raise `headers_too_large` if the headers or the URL exceed their limits."""
    sizes = services.sizes
    header_bytes = sum(len(k) + len(v) for k, v in request.scope["headers"])
    url_bytes = len(request.scope["raw_path"]) + len(request.scope["query_string"])
    if header_bytes > sizes.header_bytes:
        raise _headers_too_large("headers", sizes.header_bytes)
    if url_bytes > sizes.url_bytes:
        raise _headers_too_large("URL", sizes.url_bytes)


def header_pairs(request: AnyRequest) -> list[tuple[str, str]]:
    """Return the headers with lower-case names; repeated ones stay separate pairs."""
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in request.scope["headers"]
    ]


def require_caller(services: RequestServices, exchange: Exchange) -> Caller:
    """Return the caller; raises `key_missing`, `key_unknown` or `invalid_request`."""
    caller = authenticate(services.current_document(), exchange.headers)
    if caller is None:
        raise JaytrayError(messages.KEY_MISSING, step=Step.AUTHENTICATE)
    check_key_is_only_in_header(exchange, caller)
    return caller


def check_key_is_only_in_header(exchange: Exchange, caller: Caller) -> None:
    """Refuse a body or a path that contains the key, as both reach a target."""
    is_in_body = caller.key.encode() in exchange.body
    if is_in_body or caller.key in exchange.path + exchange.raw_path:
        raise invalid_request("the key is allowed in the Authorization header only")


async def _read_body(services: RequestServices, request: AnyRequest) -> bytes:
    timeout_s = services.timeouts.body_read_s
    try:
        async with asyncio.timeout(timeout_s):
            return await request.body()
    except TimeoutError as err:
        raise JaytrayError(
            messages.BODY_TIMEOUT, step=Step.DECODE, timeout_s=timeout_s
        ) from err


async def _respond_or_refuse(
    services: RequestServices, exchange: Exchange, endpoint: Endpoint, scope: Scope
) -> None:
    error: JaytrayError
    try:
        await endpoint(services, exchange)
        return
    except CallerDisconnected:
        services.metrics.increment("request.caller_left", 1)
        _log.info("caller_left", request_id=exchange.request_id)
        return
    except JaytrayError as err:
        error = err
    except Exception:
        _log.exception("internal_error", request_id=exchange.request_id)
        error = internal_error(exchange.tracker.execution)
    log_refusal(services, exchange.request_id, error)
    if not scope["state"].get("is_response_started"):
        await send_refusal(exchange.send, request_id=exchange.request_id, error=error)


def log_refusal(
    services: RequestServices, request_id: str, error: JaytrayError
) -> None:
    """Log and count one refusal."""
    services.metrics.increment(f"request.refused.{error.code}", 1)
    _log.info(
        "request_refused",
        request_id=request_id,
        code=error.code,
        execution=error.execution.value,
        step=error.step.value,
        peer=error.peer,
    )


def _marking_start(send: Send, scope: Scope) -> Send:
    async def send_and_mark(message: Any) -> None:
        scope["state"]["is_response_started"] = True
        await send(message)

    return send_and_mark


def _headers_too_large(part: str, limit: int) -> JaytrayError:
    return JaytrayError(
        messages.HEADERS_TOO_LARGE, step=Step.DECODE, part=part, limit=limit
    )
