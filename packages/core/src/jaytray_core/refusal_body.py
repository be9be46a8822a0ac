"""The JSON body of refusals."""

from typing import TypedDict

from jaytray_core.codec import encode_json
from jaytray_core.errors import JaytrayError


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
    """Return the body of the refusal for `error`."""
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


def encode_refusal(error: JaytrayError) -> bytes:
    """Return the encoded body of the refusal for `error`."""
    return encode_json(refusal_body(error))
