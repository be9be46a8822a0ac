"""What the connections of one port share: the memory, and the time for parsing."""

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.memory_budget import MemoryBudget

READ_BYTES = 65_536
# CPU time for which a connection's bytes are parsed at once. Bytes that need more, such
# as chunks of one byte, wait for their turn: together they get a fraction of the time.
PARSE_S = 0.002
SLOW_PARSING_FRACTION = 0.2
# Connections that are read on after a refusal, apart from the bound on their number.
MAX_LINGERING = 64


class BoundedConnection(Protocol):
    """A connection as seen from what it shares with others."""

    @property
    def is_lingering(self) -> bool:
        """Return whether it is only open to deliver a refusal."""

    def check_progress(self) -> None:
        """Close the connection if it stands still."""

    def parse_turn(self) -> None:
        """Parse received bytes that waited for their turn."""


class CallerBounds:
    """What the connections of one listening socket share."""

    def __init__(
        self,
        *,
        budget: MemoryBudget,
        header_bytes: Callable[[], int],
        clock: MonotonicClock,
    ) -> None:
        self.budget = budget
        self.header_bytes = header_bytes
        self.clock = clock
        self.connections: set[BoundedConnection] = set()
        # Connections whose received bytes need much time to be parsed, in turn.
        self.slow_parsing: collections.deque[BoundedConnection] = collections.deque()
        self.is_parsing_slowly = False
        # One buffer serves all connections: bytes are taken out of it at once.
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    def may_linger(self) -> bool:
        """Return whether one more connection may stay open to deliver a refusal."""
        lingering = sum(c.is_lingering for c in self.connections)
        return lingering < MAX_LINGERING

    def parse_in_turn(self, connection: BoundedConnection) -> None:
        """Parse the connection's bytes later, with pauses between such connections."""
        self.slow_parsing.append(connection)
        if not self.is_parsing_slowly:
            self.is_parsing_slowly = True
            self._parse_later()

    def _parse_later(self) -> None:
        pause_s = PARSE_S * (1 / SLOW_PARSING_FRACTION - 1)
        asyncio.get_running_loop().call_later(pause_s, self._parse_next)

    def _parse_next(self) -> None:
        if not self.slow_parsing:
            self.is_parsing_slowly = False
            return
        self.slow_parsing.popleft().parse_turn()
        self._parse_later()

    def sweep(self) -> None:
        """Check all connections for progress."""
        for connection in list(self.connections):
            connection.check_progress()
        if self.budget.is_exceeded:
            self.budget.relieve()
