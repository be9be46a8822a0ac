"""Budget for sending a request to another target, by service.

The fleet may repeat a fraction of its requests plus a fixed number in each window.
Each member earns the fraction from its own requests and an even part of the fixed
number, so the sum holds without messages.
"""

from jaytray_core.clock import MonotonicClock

# Part of the stated budget that is used; the rest covers requests that are in one
# window as a first send and in the next as a repeat.
USED_PORTION = 0.7


class RepeatBudget:
    """Tokens for repeats; one repeat costs one token."""

    def __init__(
        self, *, ratio: float, extra: float, window_s: float, clock: MonotonicClock
    ) -> None:
        self.member_count = 1
        self._ratio = ratio * USED_PORTION
        self._extra = extra * USED_PORTION
        self._window_s = window_s
        self._clock = clock
        self._tokens_by_service: dict[str, float] = {}
        self._updated_s_by_service: dict[str, float] = {}

    def note_request(self, service: str) -> None:
        """Earn the fraction for a request that is sent for the first time."""
        tokens = self._refill(service) + self._ratio
        self._tokens_by_service[service] = min(self._limit(), tokens)

    def take(self, service: str) -> bool:
        """Return whether one more repeat is allowed, and count it."""
        tokens = self._refill(service)
        if tokens < 1:
            return False
        self._tokens_by_service[service] = tokens - 1
        return True

    def _limit(self) -> float:
        return self._extra / self.member_count / 2 + 1.0

    def _refill(self, service: str) -> float:
        now_s = self._clock()
        part = self._extra / self.member_count
        before_s = self._updated_s_by_service.get(service)
        if before_s is None:
            tokens = part / 2
        else:
            earned = part / 2 / self._window_s * (now_s - before_s)
            tokens = min(self._limit(), self._tokens_by_service[service] + earned)
        self._updated_s_by_service[service] = now_s
        self._tokens_by_service[service] = tokens
        return tokens
