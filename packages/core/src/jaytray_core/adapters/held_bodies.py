"""Bounds the memory of all responses that a process reads at the same time.

Each response has a limit of its own, but several faulty servers that send bytes without
end would together exceed the memory of a small VM. When the sum reaches the bound, the
largest body is given up, so that ordinary responses are not affected.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress

# One response of the largest size, beside what else a process needs on a VM of 200 MB.
MAX_HELD_BYTES = 64_000_000


class HeldBody:
    """The part of one body that has arrived."""

    def __init__(self, *, bodies: "HeldBodies") -> None:
        self._bodies = bodies
        self._data = bytearray()
        self._is_given_up = False

    def __len__(self) -> int:
        return len(self._data)

    def extend(self, part: bytes) -> None:
        """Add a part; raises `ExchangeError` if the body has been given up."""
        if not self._is_given_up:
            self._data += part
            self._bodies.note_added(len(part))
        if self._is_given_up:
            raise ExchangeError(
                progress=ExchangeProgress.BROKEN,
                detail="bodies of responses exceed the memory for them",
            )

    def give_up(self) -> None:
        """Drop what has arrived."""
        self._is_given_up = True
        self._data = bytearray()

    def whole(self) -> bytes:
        """Return the complete body."""
        return bytes(self._data)


class HeldBodies:
    """The bodies that are being read, and the sum of their sizes."""

    def __init__(self, *, bound_bytes: int = MAX_HELD_BYTES) -> None:
        self.total_bytes = 0
        self._bound_bytes = bound_bytes
        self._bodies: set[HeldBody] = set()

    @contextmanager
    def open(self) -> Iterator[HeldBody]:
        """Yield a new body, which counts until the block is left."""
        body = HeldBody(bodies=self)
        self._bodies.add(body)
        try:
            yield body
        finally:
            self._bodies.remove(body)
            self.total_bytes -= len(body)

    def note_added(self, size: int) -> None:
        """Count bytes of a body; gives up the largest one above the bound."""
        self.total_bytes += size
        if self.total_bytes > self._bound_bytes:
            largest = max(self._bodies, key=len)
            self.total_bytes -= len(largest)
            largest.give_up()


# Shared by all connection pools of the process.
PROCESS_BODIES = HeldBodies()
