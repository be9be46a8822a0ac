"""ASGI applications for callers' requests and for the load balancer's probe.

The raw ASGI interface is used instead of a framework, because requests are forwarded
under any path with method, path, body and headers unchanged.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import choose_encoder

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_gateway.connection.bounded_protocol import check_memory
from jaytray_gateway.ports import RequestHead
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.request.reply import CallerReply
from jaytray_gateway.request.request_body import read_body
from jaytray_gateway.request.request_path import (
    send_refusal,
    serve_request,
)
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.version.route_table import CallerLimits
from jaytray_server.request.caller_presence import (
    CallerDisconnected,
    cancel_on_disconnect,
    departure_check,
)

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
App = Callable[[Any, Receive, Send], Awaitable[None]]


def make_caller_app(
    services: RequestServices,
    *,
    lifecycle: Lifecycle,
    current_limits: Callable[[], CallerLimits],
    clock: MonotonicClock,
) -> App:
    """Return the ASGI application that forwards callers' requests."""

    async def serve(scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        reply = CallerReply(
            send=send,
            closes_connection=lifecycle.is_stopping,
            has_caller_left=departure_check(scope),
        )
        lifecycle.running_requests += 1
        try:
            await _serve_one(scope, receive, reply)
        finally:
            lifecycle.running_requests -= 1

    async def _serve_one(scope: Any, receive: Receive, reply: CallerReply) -> None:
        head = _read_head(scope, clock())
        try:
            limits = current_limits()
            _check_head(head, limits)
            body = await read_body(
                receive,
                limits.body_bytes,
                check_large=lambda: _check_route(head, services),
            )
            check_memory(scope)
            request = services.adapter.parse_request(head, body)
        except CallerDisconnected:
            return
        except JaytrayError as err:
            # Data that follows an unusable request on its connection is not read.
            reply.closes_connection = True
            await send_refusal(err, "", reply, services.adapter)
            return
        try:
            with suppress(CallerDisconnected):
                await cancel_on_disconnect(
                    receive, serve_request(request, reply, services)
                )
        except Exception as err:
            request_id = request.request_id
            get_logger().error(
                "request_error", request_id=request_id, error=repr(err), exc_info=err
            )
            if reply.is_started:
                raise
            # It may have been sent to a target before the error.
            failure = JaytrayError(
                messages.INTERNAL_ERROR,
                step=Step.DISPATCH,
                execution=Execution.MAY_HAVE_RUN,
            )
            await send_refusal(failure, request_id, reply, services.adapter)

    return serve


def make_probe_app(is_ready: Callable[[], bool]) -> App:
    """Return the ASGI application that responds to the load balancer's probe."""

    async def probe(scope: Any, _receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            # A body is not read: the connection ends after the response.
            names = {name for name, _ in scope["headers"]}
            has_body = not names.isdisjoint((b"content-length", b"transfer-encoding"))
            reply = CallerReply(send=send, closes_connection=has_body)
            await reply.send_complete(200 if is_ready() else 503, [], b"")

    return probe


def make_metrics_app(registry: CollectorRegistry) -> App:
    """Return the ASGI application that serves the metrics under any path."""

    async def serve(scope: Any, _receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            accepted = dict(scope["headers"]).get(b"accept", b"").decode("latin-1")
            encode, content_type = choose_encoder(accepted)
            headers = [(b"content-type", content_type.encode())]
            reply = CallerReply(send=send, closes_connection=True)
            await reply.send_complete(200, headers, encode(registry))

    return serve


def _read_head(scope: Any, now_s: float) -> RequestHead:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return RequestHead(
        method=scope["method"],
        request_target=target,
        headers=scope["headers"],
        received_at_s=now_s,
    )


def _check_head(head: RequestHead, limits: CallerLimits) -> None:
    size = sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size + len(head.request_target) > limits.header_bytes:
        raise JaytrayError(
            messages.HEADERS_TOO_LARGE,
            step=Step.DECODE,
            part="header section",
            limit=limits.header_bytes,
        )
    declared = dict(head.headers).get(b"content-length", b"0")
    if declared.isdigit() and int(declared) > limits.body_bytes:
        raise JaytrayError(
            messages.REQUEST_TOO_LARGE, step=Step.DECODE, limit=limits.body_bytes
        )


def _check_route(head: RequestHead, services: RequestServices) -> None:
    """Raise if the head alone shows that a request with a large body is refused."""
    services.admission.check_route(services.adapter.parse_request(head, b""))
