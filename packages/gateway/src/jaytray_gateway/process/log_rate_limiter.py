"""Rate limit for log events, so that a single cause cannot flood the log.

In each second the first lines of an event are written; the next line of that event
carries the number of lines dropped before it. The final line of a request is never
dropped, as there is exactly one for each request.
"""

from collections.abc import MutableMapping
from typing import Any

import structlog

from jaytray_core.clock import MonotonicClock

# Maximum lines of one event per second.
LINES_PER_SECOND = 20
UNLIMITED_EVENTS = frozenset(("request_finished",))


class LogRateLimiter:
    """Counts the lines of each event in the current second."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._second = 0
        self._count_by_event: dict[str, int] = {}
        self._dropped_by_event: dict[str, int] = {}

    def limit(
        self, _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event, or raise `DropEvent` if it exceeds the limit."""
        name = event["event"]
        if name in UNLIMITED_EVENTS:
            return event
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._count_by_event.clear()
        count = self._count_by_event.get(name, 0) + 1
        self._count_by_event[name] = count
        if count > LINES_PER_SECOND:
            self._dropped_by_event[name] = self._dropped_by_event.get(name, 0) + 1
            raise structlog.DropEvent
        dropped = self._dropped_by_event.pop(name, 0)
        if dropped:
            event["left_out_before"] = dropped
        return event
