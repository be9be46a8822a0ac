"""HTTP statuses of refusals, which tell callers whether the request may have run."""

from jaytray_core.errors import Execution, JaytrayError

STATUS_MAY_HAVE_RUN = 502
STATUS_TIMED_OUT = 504
STATUS_NOT_RUN = 503
FIRST_SERVER_ERROR = 500


def refusal_status(err: JaytrayError) -> int:
    """Return the HTTP status of a refusal.

    503 and 429 guarantee that the request was not run. A request that may have run
    therefore gets 502 or 504, whatever the status of its message template.
    """
    if err.execution is Execution.MAY_HAVE_RUN:
        is_late = err.status == STATUS_TIMED_OUT
        return STATUS_TIMED_OUT if is_late else STATUS_MAY_HAVE_RUN
    return STATUS_NOT_RUN if err.status >= FIRST_SERVER_ERROR else err.status
