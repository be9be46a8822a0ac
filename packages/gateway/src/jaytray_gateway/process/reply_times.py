"""How long other members take to reply to messages, and how long to wait for it.

Replies arrive late while links are busy, for instance with a large route table. A fixed
time limit would then end all waits shortly before the replies arrive.
"""

from collections import OrderedDict

from jaytray_core.clock import MonotonicClock

# Several times the latency between failure domains.
MIN_TIMEOUT_S = 0.03
# Callers rather return later than wait for longer than this.
MAX_TIMEOUT_S = 0.25
TIMEOUT_REPLIES = 2.0
# Weight of a reply that is faster than the estimate. A slower one replaces it.
FASTER_REPLY_WEIGHT = 0.1
# Messages that are remembered for their late replies.
MAX_OPEN_MESSAGES = 1_000


class ReplyTimes:
    """Estimates the time of a reply from recent ones, late ones included."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._reply_s = 0.0
        self._sent_at_s_by_number: OrderedDict[int, float] = OrderedDict()

    def record_sent(self, number: int) -> None:
        """Record a message that is sent now."""
        self._sent_at_s_by_number[number] = self._clock()
        if len(self._sent_at_s_by_number) > MAX_OPEN_MESSAGES:
            self._sent_at_s_by_number.popitem(last=False)

    def record_reply(self, number: int) -> None:
        """Record a reply that arrives now, in time or not."""
        sent_at_s = self._sent_at_s_by_number.pop(number, None)
        if sent_at_s is None:
            return
        reply_s = self._clock() - sent_at_s
        if reply_s < self._reply_s:
            reply_s = self._reply_s + FASTER_REPLY_WEIGHT * (reply_s - self._reply_s)
        self._reply_s = reply_s

    def timeout_s(self) -> float:
        """Return how long to wait for a reply."""
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_REPLIES * self._reply_s))
