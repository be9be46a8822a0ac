"""Splits the bytes of an event stream into whole events.

Only streams that may be resumed go through it: after a broken connection the rest of
a half-received event must not reach the caller.
"""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventBuffer:
    """Bytes of the event under way and the id of the last whole event."""

    def __init__(self) -> None:
        self.last_event_id = ""
        self._partial = b""

    def take(self, data: bytes) -> bytes:
        """Add bytes; return those of the events that they complete."""
        self._partial += data
        end = 0
        for match in _EVENT_END.finditer(self._partial):
            end = match.end()
        whole, self._partial = self._partial[:end], self._partial[end:]
        for match in _EVENT_ID.finditer(whole):
            self.last_event_id = match.group(1).decode("ascii", "replace")
        return whole

    def drop_partial(self) -> None:
        """Forget the event under way, which the next run sends again."""
        self._partial = b""

    @property
    def has_partial(self) -> bool:
        """Return whether an event is under way."""
        return bool(self._partial.strip())
