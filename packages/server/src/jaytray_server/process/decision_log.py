"""The last routing and placement decisions, kept for `jaytray explain`.

A bounded ring: the oldest decision leaves when a new one comes in, so memory stays
constant. Decisions of routing are found by request id, those of placement by the
name of the target. The ring belongs to one VM; the log lines are the lasting record.
"""

from collections import deque
from typing import NamedTuple

MAX_DECISIONS = 4_000


class DecisionRecord(NamedTuple):
    """One decision; `decided_at_s` is on this process's monotonic clock.

    `subject` is a request id or a target, `step` is `routing` or `placement`.
    """

    subject: str
    step: str
    target: str
    reason: str
    score: float
    candidates: int
    decided_at_s: float


class DecisionLog:
    """A ring of decisions with a search by subject."""

    def __init__(self, *, max_decisions: int = MAX_DECISIONS) -> None:
        self._decisions: deque[DecisionRecord] = deque(maxlen=max_decisions)

    def add(self, record: DecisionRecord) -> None:
        """Keep `record`, dropping the oldest one when the ring is full."""
        self._decisions.append(record)

    def find(self, subject: str) -> list[DecisionRecord]:
        """Return the decisions on a request id or a target, oldest first."""
        return [record for record in self._decisions if record.subject == subject]

    def latest(self, limit: int) -> list[DecisionRecord]:
        """Return up to `limit` decisions, newest first."""
        return list(reversed(self._decisions))[:limit]
