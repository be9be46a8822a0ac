"""The one JSON shape of every refusal, and its HTTP status and headers."""

import math
from typing import TypedDict

from litestar.exceptions import HTTPException

from jaytray_core import message_registry as messages
from jaytray_core.codec import encode_json
from jaytray_core.errors import Execution, JaytrayError, Step


class RefusalDetails(TypedDict):
    """Contents of a refusal; `code` is stable and listed in docs/ERRORS.md."""

    code: str
    message: str
    type: str
    execution: str
    step: str
    peer: str


class RefusalBody(TypedDict):
    """JSON body of a refusal."""

    error: RefusalDetails


def refusal_body(error: JaytrayError) -> RefusalBody:
    """Return the body that a caller gets for `error`."""
    is_callers_fault = error.status < 500
    details = RefusalDetails(
        code=error.code,
        message=error.text,
        type="invalid_request_error" if is_callers_fault else "server_error",
        execution=error.execution.value,
        step=error.step.value,
        peer=error.peer,
    )
    return RefusalBody(error=details)


def refusal_headers(error: JaytrayError) -> list[tuple[str, str]]:
    """Return the headers of a refusal; `Retry-After` is in whole seconds."""
    headers = [("content-type", "application/json")]
    if error.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(error.retry_after_s)))))
    return headers


def encode_refusal(error: JaytrayError) -> bytes:
    """Return the JSON of a refusal."""
    return encode_json(refusal_body(error))


def error_from_http(
    error: HTTPException, *, method: str, path: str, body_limit: int
) -> JaytrayError:
    """Return the refusal for an error that the HTTP library found."""
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
    """Return the refusal of a request that is not of the documented shape."""
    return JaytrayError(messages.INVALID_REQUEST, step=Step.DECODE, detail=detail)


def internal_error(execution: Execution = Execution.NOT_RUN) -> JaytrayError:
    """Return the refusal for a fault in this process."""
    return JaytrayError(
        messages.INTERNAL_ERROR, step=Step.DISPATCH, execution=execution
    )
