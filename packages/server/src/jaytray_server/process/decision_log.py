"""Recent routing and placement decisions for `jaytray explain`.

They are kept in a ring buffer of fixed size, so memory use is bounded. Routing
decisions are found by request id, placement decisions by target name. The buffer holds
only the decisions of this VM; the log lines are the permanent record.
"""

from collections import deque
from typing import NamedTuple

MAX_DECISIONS = 4_000


class DecisionRecord(NamedTuple):
    """One decision; `decided_at_s` is a time of this process's monotonic clock.

    `subject` is a request id or a target name; `step` is `routing` or `placement`.
    """

    subject: str
    step: str
    target: str
    reason: str
    score: float
    candidates: int
    decided_at_s: float


class DecisionLog:
    """Ring buffer of decisions with lookup by subject."""

    def __init__(self, *, max_decisions: int = MAX_DECISIONS) -> None:
        self._decisions: deque[DecisionRecord] = deque(maxlen=max_decisions)

    def add(self, record: DecisionRecord) -> None:
        """Append `record`; drops the oldest one when the buffer is full."""
        self._decisions.append(record)

    def find(self, subject: str) -> list[DecisionRecord]:
        """Return the decisions about a request id or a target, oldest first."""
        return [record for record in self._decisions if record.subject == subject]

    def latest(self, limit: int) -> list[DecisionRecord]:
        """Return up to `limit` decisions, newest first."""
        return list(reversed(self._decisions))[:limit]
