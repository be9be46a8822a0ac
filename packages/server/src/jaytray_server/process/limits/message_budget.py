"""Budget of this VM for its own control messages about limits."""

from jaytray_core.clock import MonotonicClock

BYTES_PER_S = 800.0
# Allows one round of asks to a whole fleet of a few hundred VMs.
BURST_BYTES = 32_000.0


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
        self.sent_messages = 0
        self.sent_bytes = 0

    def is_spent(self) -> bool:
        """Return whether nothing may be sent at present."""
        now = self._clock()
        refill = (now - self._updated_at) * self._bytes_per_s
        self._level = min(self._burst_bytes, self._level + refill)
        self._updated_at = now
        return self._level <= 0

    def spend(self, size_bytes: int) -> None:
        """Count one message of `size_bytes`."""
        self._level -= size_bytes
        self.sent_messages += 1
        self.sent_bytes += size_bytes
