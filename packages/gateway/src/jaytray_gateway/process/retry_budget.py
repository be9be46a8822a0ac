"""Retry budget by service: retries send a request to another target.

The fleet may retry a fraction of its requests plus a fixed number per window. Each
member earns the fraction from its own requests and an equal share of the fixed number,
so the fleet stays within the budget without messages.
"""

from jaytray_core.clock import MonotonicClock

# Fraction of the stated budget that is used. The rest covers requests whose first send
# is in one window and whose retry is in the next.
USED_FRACTION = 0.7


class RetryBudget:
    """Token buckets for retries by service; each retry costs one token."""

    def __init__(
        self, *, ratio: float, extra: float, window_s: float, clock: MonotonicClock
    ) -> None:
        self.member_count = 1
        self._ratio = ratio * USED_FRACTION
        self._extra = extra * USED_FRACTION
        self._window_s = window_s
        self._clock = clock
        self._tokens_by_service: dict[str, float] = {}
        self._updated_s_by_service: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Earn a fraction of a token for a request that is sent for the first time."""
        tokens = self._refill(service) + self._ratio
        self._tokens_by_service[service] = min(self._limit(), tokens)

    def has_token(self, service: str) -> bool:
        """Return whether a token can be taken now."""
        return self._refill(service) >= 1

    def try_take(self, service: str) -> bool:
        """Take a token for one retry; returns False if there is none."""
        if not self.has_token(service):
            return False
        self._tokens_by_service[service] -= 1
        return True

    def _limit(self) -> float:
        return self._extra / self.member_count / 2 + 1.0

    def _refill(self, service: str) -> float:
        now_s = self._clock()
        share = self._extra / self.member_count
        before_s = self._updated_s_by_service.get(service)
        if before_s is None:
            tokens = share / 2
        else:
            earned = share / 2 / self._window_s * (now_s - before_s)
            tokens = min(self._limit(), self._tokens_by_service[service] + earned)
        self._updated_s_by_service[service] = now_s
        self._tokens_by_service[service] = tokens
        return tokens
