"""Rate limit for the control messages about limits that this VM sends.

While more than half of the budget is left, every account may use it. Below that, an
account whose recent use exceeds `ACCOUNT_BYTES_PER_S` has to wait, so that an
overloaded account cannot prevent the others from exchanging tokens.
"""

import math

from jaytray_core.clock import MonotonicClock

BYTES_PER_S = 800.0
BURST_BYTES = 32_000.0
# Overhead of each message besides topic and body: sender, framing, encryption.
MESSAGE_OVERHEAD_BYTES = 40
# Bytes per second that each account may use when at most half of the budget is left.
ACCOUNT_BYTES_PER_S = 100.0
# Time constant of an account's exponentially weighted mean use, in seconds.
USE_WINDOW_S = 60.0
# Maximum number of accounts whose use is tracked.
MAX_TRACKED_ACCOUNTS = 1000


class MessageBudget:
    """Token bucket of bytes to send.

    `sent_messages` and `sent_bytes` count all messages sent.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        bytes_per_s: float = BYTES_PER_S,
        burst_bytes: float = BURST_BYTES,
    ) -> None:
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._level = burst_bytes
        self._updated_at = clock()
        # Mean bytes per second and when it was computed, most recently used last.
        self._use_by_account: dict[str, tuple[float, float]] = {}
        self.sent_messages = 0
        self.sent_bytes = 0

    def may_send(self, account: str = "") -> bool:
        """Return whether a message about `account` may be sent now."""
        now = self._clock()
        refill = (now - self._updated_at) * self._bytes_per_s
        self._level = min(self._burst_bytes, self._level + refill)
        self._updated_at = now
        if self._level <= 0:
            return False
        is_ample = self._level > self._burst_bytes / 2
        return is_ample or self._use(account, now) < ACCOUNT_BYTES_PER_S

    def spend(self, size_bytes: int, account: str = "") -> None:
        """Count one message of `size_bytes` about `account`."""
        counted = size_bytes + MESSAGE_OVERHEAD_BYTES
        self._level -= counted
        self.sent_messages += 1
        self.sent_bytes += counted
        now = self._clock()
        use = self._use(account, now) + counted / USE_WINDOW_S
        self._use_by_account.pop(account, None)
        self._use_by_account[account] = (use, now)
        if len(self._use_by_account) > MAX_TRACKED_ACCOUNTS:
            del self._use_by_account[next(iter(self._use_by_account))]

    def _use(self, account: str, now: float) -> float:
        use, at = self._use_by_account.get(account, (0.0, now))
        return use * math.exp((at - now) / USE_WINDOW_S)
