"""Retry policy: retryable failures, backoff and retry budget.

The budget is a fraction of first attempts, so that retries cannot multiply the load
of a fleet that is already failing. Backoff has full jitter; `Retry-After` is its
minimum.
"""

from tenacity import RetryCallState, Retrying, wait_random_exponential

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError

# Limit on the attempts of one request that may have had an effect at a target.
MAX_ATTEMPTS_SENT = 4
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 1.0
# A longer Retry-After is passed on to the caller instead of retrying here.
MAX_HONOURED_RETRY_AFTER_S = 2.0
RETRY_RATIO = 0.2
RETRY_BUDGET_MAX = 50.0

_RETRYING = Retrying(
    wait=wait_random_exponential(multiplier=BACKOFF_BASE_S, max=BACKOFF_MAX_S)
)
_RETRYABLE_CODES = frozenset(
    template.code
    for template in (
        messages.TARGET_UNREACHABLE,
        messages.TARGET_TIMEOUT,
        messages.TARGET_FAILED,
        messages.TARGET_REFUSED,
        messages.ANSWER_MISMATCH,
        messages.ANSWER_INCOMPLETE,
    )
)


class RetryBudget:
    """Token bucket of retries, to which each first attempt adds a fraction of one."""

    def __init__(
        self, *, ratio: float = RETRY_RATIO, max_retries: float = RETRY_BUDGET_MAX
    ) -> None:
        self._ratio = ratio
        self._max_retries = max_retries
        self._retries_left = max_retries

    def record_first_attempt(self) -> None:
        """Add the fraction for one first attempt, up to the maximum of the budget."""
        self._retries_left = min(self._max_retries, self._retries_left + self._ratio)

    def take(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._retries_left < 1.0:
            return False
        self._retries_left -= 1.0
        return True


def is_retryable(error: JaytrayError, *, is_repeatable: bool) -> bool:
    """Return whether `error` allows another attempt of the same request.

    A call that may not be repeated is retried only if its connection was never
    established, so that no byte of it was sent.
    """
    if error.code not in _RETRYABLE_CODES:
        return False
    if (error.retry_after_s or 0.0) > MAX_HONOURED_RETRY_AFTER_S:
        return False
    if is_repeatable:
        return True
    is_unsent = error.execution is Execution.NOT_RUN
    return is_unsent and error.code == messages.TARGET_UNREACHABLE.code


def backoff_s(attempt: int, retry_after_s: float | None = None) -> float:
    """Return the seconds to wait after attempt number `attempt`, 1 for the first."""
    state = RetryCallState(retry_object=_RETRYING, fn=None, args=(), kwargs={})
    state.attempt_number = attempt
    return max(_RETRYING.wait(state), retry_after_s or 0.0)
