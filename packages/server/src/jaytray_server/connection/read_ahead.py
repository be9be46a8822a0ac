"""Bounds what is kept of the bytes that arrive behind a running request.

The end of a connection is seen only once everything before it has been read. A caller
that sends its next requests ahead, and then leaves, is noticed only if its connection
is read on. If what has arrived exceeds the bound, reading pauses for a while, so that a
long request behind a short one is served. After that, what arrives is dropped.
"""

import asyncio
from collections.abc import Callable

# Bytes with which reading pauses.
MAX_READ_AHEAD_BYTES = 65_536
# Longest pause: half of the time within which a caller that leaves is to be noticed.
READ_AHEAD_PAUSE_S = 0.25


class ReadAhead:
    """What is known of the bytes behind the running request of one connection.

    `on_dropping` is called when reading has to go on. Once `has_dropped` is true, the
    connection cannot serve any request after those that were kept.
    """

    def __init__(self, *, on_dropping: Callable[[], None]) -> None:
        self.has_dropped = False
        self._is_dropping = False
        self._on_dropping = on_dropping
        self._timer: asyncio.TimerHandle | None = None

    def keep(self, kept: bytearray, data: memoryview) -> None:
        """Add `data` to what is kept, or drop it."""
        if self._is_dropping:
            self.has_dropped = True
        else:
            kept += data

    def drop(self, kept: bytearray) -> None:
        """Drop what is kept, and what is still to come, as it cannot be served."""
        self._is_dropping = self.has_dropped = True
        kept.clear()

    def may_read(self, kept_bytes: int) -> bool:
        """Return whether to read on while a request runs; limits the pause if not."""
        if self._is_dropping or kept_bytes < MAX_READ_AHEAD_BYTES:
            return True
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(READ_AHEAD_PAUSE_S, self._begin_dropping)
        return False

    def end(self) -> None:
        """Stop limiting, as the request has been responded to or the caller left."""
        self._is_dropping = self.has_dropped
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _begin_dropping(self) -> None:
        self._timer = None
        self._is_dropping = True
        self._on_dropping()
