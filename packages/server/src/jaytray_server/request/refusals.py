"""HTTP headers of refusals, and refusals for errors raised by the HTTP framework."""

import math

from litestar.exceptions import HTTPException

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step


def refusal_headers(error: JaytrayError) -> list[tuple[str, str]]:
    """Return the headers of a refusal; `Retry-After` is in whole seconds."""
    headers = [("content-type", "application/json")]
    if error.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(error.retry_after_s)))))
    return headers


def error_from_http(
    error: HTTPException, *, method: str, path: str, body_limit: int
) -> JaytrayError:
    """Return the refusal for an error raised by the HTTP framework."""
    if error.status_code == 413:
        return JaytrayError(
            messages.REQUEST_TOO_LARGE, step=Step.DECODE, limit=body_limit
        )
    if error.status_code in (404, 405):
        return JaytrayError(
            messages.ROUTE_UNKNOWN, step=Step.ROUTE, method=method, path=path
        )
    if error.status_code < 500:
        return invalid_request(error.detail)
    return internal_error()


def invalid_request(detail: str) -> JaytrayError:
    """Return the refusal of a request that does not have the documented format."""
    return JaytrayError(messages.INVALID_REQUEST, step=Step.DECODE, detail=detail)


def internal_error(execution: Execution = Execution.NOT_RUN) -> JaytrayError:
    """Return the refusal for an unexpected error in this process."""
    return JaytrayError(
        messages.INTERNAL_ERROR, step=Step.DISPATCH, execution=execution
    )
