"""Rate limits that targets state in their responses.

A limit holds for all members together, until a response to a later request has none.
"""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.target_entry import TargetEntry


class _StatedLimit(NamedTuple):
    incarnation: str
    rate_per_s: float
    stated_at_s: float


class TargetLimits:
    """The limits of targets as known to this member."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._limit_by_target: dict[str, _StatedLimit] = {}

    def record_response(
        self, target: TargetEntry, rate_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Record the limit in the response to a request sent at `sent_at_s`."""
        known = self._limit_by_target.get(target.target_id)
        if rate_per_s is not None:
            self._limit_by_target[target.target_id] = _StatedLimit(
                target.incarnation, rate_per_s, self._clock()
            )
        elif known is not None and known.stated_at_s < sent_at_s:
            del self._limit_by_target[target.target_id]
        else:
            return
        if known is None or known.rate_per_s != rate_per_s:
            get_logger().info(
                "target_limit_changed",
                target=target.target_id,
                incarnation=target.incarnation,
                rate_per_s="-" if rate_per_s is None else rate_per_s,
            )
