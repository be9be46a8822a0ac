"""Times for which targets want no requests from this VM, as they state in responses."""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.target_entry import TargetEntry


class _Backoff(NamedTuple):
    incarnation: str
    until_s: float


class TargetBackoff:
    """Tracks the stated times by target id."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._backoff_by_id: dict[str, _Backoff] = {}

    def record(self, target: TargetEntry, retry_after_s: float) -> None:
        """Record that a target turned a request away for `retry_after_s`."""
        if not self.left_s(target):
            get_logger().info(
                "target_backs_off",
                target=target.target_id,
                retry_after_s=retry_after_s,
            )
        until_s = self._clock() + max(retry_after_s, self.left_s(target))
        self._backoff_by_id[target.target_id] = _Backoff(target.incarnation, until_s)

    def left_s(self, target: TargetEntry) -> float:
        """Return how long this VM must still send nothing to the target."""
        backoff = self._backoff_by_id.get(target.target_id)
        if backoff is None or backoff.incarnation != target.incarnation:
            return 0.0
        return max(0.0, backoff.until_s - self._clock())

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        for gone in self._backoff_by_id.keys() - target_ids:
            del self._backoff_by_id[gone]
