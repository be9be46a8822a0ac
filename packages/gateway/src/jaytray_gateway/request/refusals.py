"""Statuses of the gateway's own answers, true of whether the request may have run."""

from jaytray_core.errors import Execution, JaytrayError
from jaytray_gateway.ports import Refusal

STATUS_MAY_HAVE_RUN = 502
STATUS_TIMED_OUT = 504
STATUS_NOT_RUN = 503
FIRST_SERVER_ERROR = 500


def make_refusal(err: JaytrayError, request_id: str) -> Refusal:
    """Return the refusal for `err`.

    A status of 503 or 429 promises that the request was not run, so a request that
    may have run gets 502 or 504 whatever its message says.
    """
    status = err.status
    if err.execution is Execution.MAY_HAVE_RUN:
        if status != STATUS_TIMED_OUT:
            status = STATUS_MAY_HAVE_RUN
    elif status >= FIRST_SERVER_ERROR:
        status = STATUS_NOT_RUN
    return Refusal(
        status=status,
        code=err.code,
        message=err.text,
        execution=err.execution.value,
        request_id=request_id,
        retry_after_s=err.retry_after_s or 0.0,
    )
