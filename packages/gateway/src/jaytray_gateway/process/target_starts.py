"""Starts of targets that are seen while other targets of their service are known.

Such a target has started during traffic, or its VM has been replaced. The targets that
a member finds when it starts itself, those that register together when a deployment
starts, and those that register again after an outage of the key-value service, are not
new starts.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.target_entry import TargetEntry

MAX_TARGETS = 4_000
# Time after the first target of a service was seen in which the others register, if all
# are started together. With 3 s, 14 of 33 targets of a new deployment with 59 members
# counted as started during traffic.
FIRST_TARGETS_S = 10.0

OnStart = Callable[[TargetEntry], None]


class TargetStarts:
    """Compares the directory's targets with those that were known before."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        # Also of targets that have left, which may come back without a new start.
        self._incarnation_by_id: OrderedDict[str, str] = OrderedDict()
        self._first_seen_s_by_service: dict[str, float] = {}
        self._listeners: list[OnStart] = []

    def on_start(self, listener: OnStart) -> None:
        """Call `listener` with each target that has started during traffic."""
        self._listeners.append(listener)

    def update(self, targets: Iterable[TargetEntry]) -> None:
        """Take in all targets of the directory after a change."""
        now_s = self._clock()
        for target in targets:
            first_seen_s = self._first_seen_s_by_service.setdefault(
                target.service, now_s
            )
            known = self._incarnation_by_id.get(target.target_id)
            if known == target.incarnation:
                continue
            self._incarnation_by_id[target.target_id] = target.incarnation
            self._incarnation_by_id.move_to_end(target.target_id)
            if known is not None or now_s - first_seen_s > FIRST_TARGETS_S:
                for listener in self._listeners:
                    listener(target)
        while len(self._incarnation_by_id) > MAX_TARGETS:
            self._incarnation_by_id.popitem(last=False)
