"""The HTTP interface to callers: routes, and one refusal shape for every error.

Handlers read the request and return an ASGI application that runs it, so that a
disconnect of the caller is detected while a target is working.
"""

import uuid
from collections.abc import Sequence
from typing import Any

from litestar import Litestar, Response, get, post, route
from litestar.enums import MediaType
from litestar.exceptions import HTTPException
from litestar.handlers import HTTPRouteHandler
from litestar.types import ASGIApp, Message, Method, Scope

from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_core.refusal_body import encode_refusal
from jaytray_server.request.completions import respond_to_completion
from jaytray_server.request.deferred_routes import (
    DEFERRED_PATH,
    respond_to_lookup,
    respond_to_submission,
)
from jaytray_server.request.endpoint import AnyRequest, log_refusal, run_endpoint
from jaytray_server.request.models_list import respond_with_models
from jaytray_server.request.parsing import CHAT_PATH, COMPLETIONS_PATH
from jaytray_server.request.refusals import (
    error_from_http,
    internal_error,
    refusal_headers,
)
from jaytray_server.request.responses import REQUEST_ID_HEADER
from jaytray_server.request.service_routes import respond_to_service_call
from jaytray_server.request.services import Phase, RequestServices

SERVICE_METHODS: list[Method] = [
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
]

_REQUEST_ID_BYTES = REQUEST_ID_HEADER.encode()

_log = get_logger()


def make_app(
    services: RequestServices, *, admin_routes: Sequence[HTTPRouteHandler] = ()
) -> Litestar:
    """Return the application that serves callers with `services`.

    `admin_routes` are the operators' handlers, which check the operator token.
    """
    return Litestar(
        route_handlers=[
            *_caller_routes(services),
            *_health_routes(services),
            *admin_routes,
        ],
        exception_handlers={Exception: _make_exception_handler(services)},
        before_send=[_add_request_id],
        request_max_body_size=services.sizes.body_bytes,
        openapi_config=None,
        logging_config=None,
        debug=False,
    )


def _caller_routes(services: RequestServices) -> list[HTTPRouteHandler]:
    @post([CHAT_PATH, COMPLETIONS_PATH])
    async def complete(request: AnyRequest) -> ASGIApp:
        return await run_endpoint(services, request, respond_to_completion)

    @get("/v1/models")
    async def models(request: AnyRequest) -> ASGIApp:
        return await run_endpoint(services, request, respond_with_models)

    @post(DEFERRED_PATH)
    async def defer(request: AnyRequest) -> ASGIApp:
        return await run_endpoint(services, request, respond_to_submission)

    @get(DEFERRED_PATH + "/{job_id:str}")
    async def deferred(request: AnyRequest) -> ASGIApp:
        return await run_endpoint(services, request, respond_to_lookup)

    @route(["/services/{path:path}"], http_method=SERVICE_METHODS)
    async def service(request: AnyRequest) -> ASGIApp:
        return await run_endpoint(services, request, respond_to_service_call)

    return [complete, models, defer, deferred, service]


def _health_routes(services: RequestServices) -> list[HTTPRouteHandler]:
    @get("/healthz", media_type=MediaType.TEXT)
    async def healthz() -> Response[str]:
        return _text(200, "ok")

    @get("/readyz", media_type=MediaType.TEXT)
    async def readyz() -> Response[str]:
        lifecycle = services.lifecycle
        has_document = services.current_document().version > 0
        if lifecycle.is_ready and has_document:
            return _text(200, "ready")
        if lifecycle.phase is Phase.READY:
            return _text(503, "isolated" if lifecycle.is_isolated else "no document")
        return _text(503, lifecycle.phase.value)

    return [healthz, readyz]


async def _add_request_id(message: Message, _scope: Scope) -> None:
    """Add a request id to responses without one, such as those made by Litestar."""
    if message["type"] != "http.response.start":
        return
    headers = list(message["headers"])
    if not any(name == _REQUEST_ID_BYTES for name, _ in headers):
        headers.append((_REQUEST_ID_BYTES, uuid.uuid4().hex.encode()))
        message["headers"] = headers


def _text(status: int, text: str) -> Response[str]:
    return Response(text, status_code=status)


def _make_exception_handler(services: RequestServices) -> Any:
    def handle(request: AnyRequest, err: Exception) -> Response[bytes]:
        request_id = request.scope["state"].get("request_id") or uuid.uuid4().hex
        error = _as_refusal(services, request, err)
        log_refusal(services, request_id, error)
        headers = dict(refusal_headers(error))
        headers[REQUEST_ID_HEADER] = request_id
        return Response(
            encode_refusal(error), status_code=error.status, headers=headers
        )

    return handle


def _as_refusal(
    services: RequestServices, request: AnyRequest, err: Exception
) -> JaytrayError:
    if isinstance(err, JaytrayError):
        return err
    if isinstance(err, HTTPException):
        return error_from_http(
            err,
            method=request.method,
            path=request.scope["path"],
            body_limit=services.sizes.body_bytes,
        )
    _log.error("internal_error", error=repr(err))
    return internal_error()
