"""Starts of targets that are seen while other targets of their service are known.

Such a target has started during traffic, or its VM has been replaced. The targets that
a member finds when it starts itself, and those that register again after an outage of
the key-value service, are not new starts.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from jaytray_gateway.process.target_entry import TargetEntry

MAX_TARGETS = 4_000

OnStart = Callable[[TargetEntry], None]


class TargetStarts:
    """Compares the directory's targets with those that were known before."""

    def __init__(self) -> None:
        # Also of targets that have left, which may come back without a new start.
        self._incarnation_by_id: OrderedDict[str, str] = OrderedDict()
        self._known_services: set[str] = set()
        self._listeners: list[OnStart] = []

    def on_start(self, listener: OnStart) -> None:
        """Call `listener` with each target that has started during traffic."""
        self._listeners.append(listener)

    def update(self, targets: Iterable[TargetEntry]) -> None:
        """Take in all targets of the directory after a change."""
        services = set()
        for target in targets:
            services.add(target.service)
            if self._incarnation_by_id.get(target.target_id) == target.incarnation:
                continue
            self._incarnation_by_id[target.target_id] = target.incarnation
            self._incarnation_by_id.move_to_end(target.target_id)
            if target.service in self._known_services:
                for listener in self._listeners:
                    listener(target)
        self._known_services |= services
        while len(self._incarnation_by_id) > MAX_TARGETS:
            self._incarnation_by_id.popitem(last=False)
