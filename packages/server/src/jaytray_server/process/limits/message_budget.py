"""Budget of this VM for its own control messages about limits.

While the budget is ample every account may use it. When half of it is gone, an
account that used more than its part of late has to wait, so that an overloaded
account cannot keep the others from exchanging tokens.
"""

import math

from jaytray_core.clock import MonotonicClock

BYTES_PER_S = 800.0
BURST_BYTES = 32_000.0
# Counted for each message besides topic and body: sender, framing, encryption.
MESSAGE_OVERHEAD_BYTES = 40
# Bytes per second that each account may use when the budget is scarce.
ACCOUNT_BYTES_PER_S = 100.0
# Time constant of an account's mean use, in seconds.
USE_WINDOW_S = 60.0
# Accounts whose use is remembered.
MAX_REMEMBERED_ACCOUNTS = 1000


class MessageBudget:
    """Bytes that may be sent now; refilled at a fixed rate.

    `sent_messages` and `sent_bytes` count everything sent.
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
        # Mean bytes per second and when it was computed, the latest user last.
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
        if len(self._use_by_account) > MAX_REMEMBERED_ACCOUNTS:
            del self._use_by_account[next(iter(self._use_by_account))]

    def _use(self, account: str, now: float) -> float:
        use, at = self._use_by_account.get(account, (0.0, now))
        return use * math.exp((at - now) / USE_WINDOW_S)
