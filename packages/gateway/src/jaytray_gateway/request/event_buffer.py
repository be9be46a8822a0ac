"""Boundaries of the events in a stream.

`EventBuffer` is used for resumable streams only: when a connection breaks in the middle
of an event, the resumed stream repeats that event, so no part of it may have reached
the caller.
"""

import re

_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventBoundary:
    """Follows the ends of the events in the bytes of a stream.

    `event_bytes` is the number of bytes since the last complete event.
    """

    def __init__(self) -> None:
        self.event_bytes = 0
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Note the next bytes of the stream."""
        longest = max(map(len, _EVENT_ENDS))
        seen = self._tail + data
        ends_at = max(
            (at + len(end) for end in _EVENT_ENDS if (at := seen.rfind(end)) >= 0),
            default=None,
        )
        if ends_at is None:
            self.event_bytes += len(data)
        else:
            self.event_bytes = len(seen) - ends_at
        self._tail = seen[-longest:]

    @property
    def is_after_event(self) -> bool:
        """Return whether the last event is complete; False before the first one."""
        return self._tail.endswith(_EVENT_ENDS)


class EventBuffer:
    """Holds the bytes of an incomplete event and the id of the last complete one."""

    def __init__(self) -> None:
        self.last_event_id = ""
        self._partial = bytearray()
        self._boundary = EventBoundary()

    def feed(self, data: bytes) -> bytes:
        """Append `data` and return the bytes of all events that are now complete."""
        self._partial += data
        self._boundary.feed(data)
        end = len(self._partial) - self._boundary.event_bytes
        if not end:
            return b""
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        for match in _EVENT_ID.finditer(whole):
            self.last_event_id = match.group(1).decode("ascii", "replace")
        return whole

    def drop_partial(self) -> None:
        """Discard the incomplete event; the next target sends it again."""
        self._partial.clear()
        self._boundary = EventBoundary()
