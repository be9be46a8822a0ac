"""Outages of the key-value service, and targets whose registration expired in one.

A target that is alive registers again soon after the service returns. Until it had the
time to do so, it counts as registered.
"""

from collections.abc import Set

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger

# Targets register again within about 2 s of the end of an outage.
REREGISTRATION_S = 2.2
# Reads that fail for longer than this count as an outage of the key-value service, in
# which registrations may expire.
MIN_OUTAGE_S = 0.5


class StoreOutage:
    """The current or last outage, and the targets that lapsed in it."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._failing_since_s: float | None = None
        self._ended_s = -float("inf")
        self._lapsed_until_s_by_id: dict[str, float] = {}

    def has_lapsed_targets(self) -> bool:
        """Return whether a target may still register again."""
        return bool(self._lapsed_until_s_by_id)

    def record_failure(self, begun_s: float, error: str) -> None:
        """Record that a read that began at `begun_s` failed."""
        if self._failing_since_s is None:
            self._failing_since_s = begun_s
            get_logger().warning("store_lost", error=error)

    def record_success(self) -> None:
        """Record a successful read; an outage ends with it."""
        if self._failing_since_s is None:
            return
        now_s = self._clock()
        away_s = now_s - self._failing_since_s
        self._failing_since_s = None
        get_logger().info("store_regained", away_s=round(away_s, 2))
        if away_s > MIN_OUTAGE_S:
            self.record_end(now_s)

    def record_end(self, ended_s: float) -> None:
        """Record that an outage lasted until `ended_s`, here or at another member."""
        if ended_s <= self._ended_s:
            return
        self._ended_s = ended_s
        for target_id, until_s in self._lapsed_until_s_by_id.items():
            self._lapsed_until_s_by_id[target_id] = max(
                until_s, ended_s + REREGISTRATION_S
            )

    def end_age_s(self) -> float:
        """Return the time since the last outage, 0 in one, infinite without any."""
        now_s = self._clock()
        return 0.0 if self._is_in_outage(now_s) else now_s - self._ended_s

    def failing_for_s(self) -> float:
        """Return for how long reads have failed, 0 if the last one succeeded."""
        since_s = self._failing_since_s
        return 0.0 if since_s is None else self._clock() - since_s

    def record_restore(self) -> None:
        """Record that the service has just returned from an older copy."""
        self._ended_s = self._clock()

    def try_lapse(self, target_id: str) -> bool:
        """Return whether a target still counts as registered without an entry."""
        now_s = self._clock()
        ended_s = now_s if self._is_in_outage(now_s) else self._ended_s
        until_s = ended_s + REREGISTRATION_S
        if now_s >= until_s:
            return False
        self._lapsed_until_s_by_id[target_id] = until_s
        get_logger().info("target_lapsed", target=target_id)
        return True

    def forget_lapsed(self, target_id: str) -> None:
        """Record that a target has registered again."""
        self._lapsed_until_s_by_id.pop(target_id, None)

    def overdue_ids(self) -> set[str]:
        """Return the lapsed targets that had the time to register again."""
        now_s = self._clock()
        return {
            target_id
            for target_id, until_s in self._lapsed_until_s_by_id.items()
            if until_s <= now_s
        }

    def expire_lapsed(self, registered_ids: Set[str]) -> set[str]:
        """Forget the targets that are registered or overdue; returns the latter."""
        overdue = self.overdue_ids() - registered_ids
        for target_id in (*overdue, *registered_ids):
            self._lapsed_until_s_by_id.pop(target_id, None)
        return overdue

    def _is_in_outage(self, now_s: float) -> bool:
        since_s = self._failing_since_s
        return since_s is not None and now_s - since_s > MIN_OUTAGE_S
