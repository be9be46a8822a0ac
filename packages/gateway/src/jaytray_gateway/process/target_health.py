"""Health of targets, from the outcomes of this process's exchanges.

A target that is unreachable or does not respond is avoided for a short time, which
doubles with each further failure; one success ends the back-off.
"""

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger

# Initial and maximum time for which a failing target is avoided.
INITIAL_AVOID_S = 0.5
MAX_AVOID_S = 4.0
# Weight of one exchange in the moving average of failures.
FAILURE_WEIGHT = 0.25
# Failures in a row after which a target counts as failing; fewer are also seen when a
# single connection breaks.
FAILING_STREAK = 3


class TargetHealth:
    """Tracks failures by target id."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._avoid_until_s_by_id: dict[str, float] = {}
        self._streak_by_id: dict[str, int] = {}
        self._failure_rate_by_id: dict[str, float] = {}
        self._unreachable_ids: set[str] = set()

    def record_success(self, target_id: str) -> None:
        """Record a complete response."""
        self._unreachable_ids.discard(target_id)
        if self._streak_by_id.pop(target_id, 0):
            self._avoid_until_s_by_id.pop(target_id, None)
            get_logger().info("target_healthy", target=target_id)
        self._update_failure_rate(target_id, 0.0)

    def record_error_response(self, target_id: str) -> None:
        """Record an error response: the target is reachable but may be failing."""
        self._update_failure_rate(target_id, 1.0)

    def record_unreachable(self, target_id: str, detail: str) -> None:
        """Record that no connection to the target could be opened."""
        self._unreachable_ids.add(target_id)
        self.record_failure(target_id, detail)

    def is_down(self, target_id: str) -> bool:
        """Return whether the target was unreachable when last tried."""
        return target_id in self._unreachable_ids and self.is_avoided(target_id)

    def record_failure(self, target_id: str, detail: str) -> None:
        """Record that the target failed to complete a response."""
        streak = self._streak_by_id.get(target_id, 0) + 1
        self._streak_by_id[target_id] = streak
        self._update_failure_rate(target_id, 1.0)
        avoid_s = min(MAX_AVOID_S, INITIAL_AVOID_S * 2 ** min(streak - 1, 8))
        self._avoid_until_s_by_id[target_id] = self._clock() + avoid_s
        if streak <= 3:
            get_logger().info(
                "target_failing",
                target=target_id,
                streak=streak,
                avoid_s=avoid_s,
                detail=detail,
            )

    def is_failing(self, target_id: str) -> bool:
        """Return whether several exchanges in a row failed."""
        return self._streak_by_id.get(target_id, 0) >= FAILING_STREAK

    def is_avoided(self, target_id: str) -> bool:
        """Return whether the target should be used only if there is no alternative."""
        return self._clock() < self._avoid_until_s_by_id.get(target_id, 0.0)

    def failure_rate(self, target_id: str) -> float:
        """Return the recent fraction of failed exchanges, 0 to 1."""
        return self._failure_rate_by_id.get(target_id, 0.0)

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        self._unreachable_ids &= target_ids
        for by_id in (
            self._avoid_until_s_by_id,
            self._streak_by_id,
            self._failure_rate_by_id,
        ):
            for gone in by_id.keys() - target_ids:
                del by_id[gone]

    def _update_failure_rate(self, target_id: str, outcome: float) -> None:
        before = self._failure_rate_by_id.get(target_id, 0.0)
        after = before + FAILURE_WEIGHT * (outcome - before)
        self._failure_rate_by_id[target_id] = after
