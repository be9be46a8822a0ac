"""Decides which callers' connections to close to keep within the VM's memory.

Every connection states how many bytes are held for it. When the sum or the number of
connections is above its bound, those that make no progress are closed first. Requests
that may be running at a target are never chosen. There are no sockets here.
"""

import collections
import enum
import itertools
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock

# Memory that the process needs under load apart from what it holds for callers. A
# process uses 50 MB without load.
PROCESS_BYTES = 75_000_000
# Least memory for callers, on VMs that are too small for the figure above.
MIN_SPARE_BYTES = 32_000_000
# Fractions of the other memory for callers' connections and targets' responses. The
# rest is for copies made on the way and for fragmentation.
CALLERS_FRACTION = 0.5
RESPONSES_FRACTION = 0.2
# The same for requests that other members want forwarded, which are rare: at least one
# of the largest size with its copy.
RELAYS_FRACTION = 0.15
MIN_RELAYS_BYTES = 36_000_000
# Descriptors for files, for the store and for other members.
RESERVED_DESCRIPTORS = 200
# Fraction of the other descriptors for callers; most requests need one for targets too.
CALLERS_DESCRIPTOR_FRACTION = 0.5
RELAYS_DESCRIPTOR_FRACTION = 0.2
# Fraction of the bound that requests may hold while they wait for or run at targets.
RUNNING_FRACTION = 0.75
# Bytes of a request that have to arrive for its connection to count as in progress.
PROGRESS_BYTES = 1_024
# Connections are compared by the time without progress in steps of this length.
STALL_STEP_S = 0.5
# A response that its caller does not read may be cut off for others after this time.
MIN_UNREAD_S = 2.0
# Connections that hold less are closed only if closing larger ones is not enough.
SMALL_BYTES = 98_304
# Connections without a request that are examined to close one, and further connections
# without progress that are closed with one that has to be.
MAX_UNUSED_EXAMINED = 64
EXTRA_CLOSED = 16
# Closing goes on below the bound, so that not every received piece closes one more.
RELIEVED_FRACTION = 0.9


class MemoryBounds(NamedTuple):
    """Bounds derived from the memory and the descriptors of the VM."""

    caller_bytes: int
    response_bytes: int
    max_connections: int
    relay_bytes: int
    max_relay_connections: int


def memory_bounds(*, memory_bytes: int, max_descriptors: int) -> MemoryBounds:
    """Return the bounds of a process on a VM of this size."""
    spare = max(MIN_SPARE_BYTES, memory_bytes - PROCESS_BYTES)
    descriptors = max(0, max_descriptors - RESERVED_DESCRIPTORS)
    return MemoryBounds(
        caller_bytes=int(spare * CALLERS_FRACTION),
        response_bytes=int(spare * RESPONSES_FRACTION),
        max_connections=max(16, int(descriptors * CALLERS_DESCRIPTOR_FRACTION)),
        relay_bytes=max(MIN_RELAYS_BYTES, int(spare * RELAYS_FRACTION)),
        max_relay_connections=max(16, int(descriptors * RELAYS_DESCRIPTOR_FRACTION)),
    )


class Stage(enum.Enum):
    """What a connection is doing."""

    IDLE = enum.auto()
    # A part of a request has arrived. It was not sent to any target.
    RECEIVING = enum.auto()
    RUNNING = enum.auto()
    # A part of a response was written that the caller has not read.
    UNREAD = enum.auto()


class Holding:
    """What is held for one connection; changed by the budget only."""

    __slots__ = (
        "address",
        "close",
        "has_run",
        "has_waiting_bytes",
        "opened_at_s",
        "progress_at_s",
        "size",
        "stage",
    )

    def __init__(
        self,
        *,
        address: str,
        close: Callable[[], None],
        has_waiting_bytes: Callable[[], bool],
        opened_at_s: float,
    ) -> None:
        self.address = address
        self.close = close
        self.has_waiting_bytes = has_waiting_bytes
        self.opened_at_s = opened_at_s
        self.progress_at_s = opened_at_s
        self.size = 0
        self.stage = Stage.IDLE
        # Whether a request of the connection was ever complete.
        self.has_run = False


class MemoryBudget:
    """The bytes held for the callers' connections of one process."""

    def __init__(
        self, *, bound_bytes: int, max_connections: int, clock: MonotonicClock
    ) -> None:
        self.total_bytes = 0
        self.closed_connections = 0
        self._bound = bound_bytes
        self._max_connections = max_connections
        self._clock = clock
        self._running_bytes = 0
        self._bytes_by_address: dict[str, int] = {}
        self._connections_by_address: collections.Counter[str] = collections.Counter()
        self._holdings: set[Holding] = set()
        self._newest: Holding | None = None
        # Connections of which no byte was read, the oldest first.
        self._unused: collections.OrderedDict[Holding, None] = collections.OrderedDict()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._holdings)

    def open(
        self,
        address: str,
        *,
        close: Callable[[], None],
        has_waiting_bytes: Callable[[], bool] = lambda: False,
    ) -> Holding:
        """Add a connection; `close` ends it.

        `has_waiting_bytes` tells whether bytes have arrived that were not read.
        """
        holding = Holding(
            address=address,
            close=close,
            has_waiting_bytes=has_waiting_bytes,
            opened_at_s=self._clock(),
        )
        self._unused[holding] = None
        self._holdings.add(holding)
        self._newest = holding
        self._bytes_by_address.setdefault(address, 0)
        self._connections_by_address[address] += 1
        return holding

    def release(self, holding: Holding) -> None:
        """Remove a connection; a second call does nothing."""
        if holding not in self._holdings:
            return
        self._set_size(holding, 0, holding.stage)
        self._holdings.remove(holding)
        if self._newest is holding:
            self._newest = None
        self._unused.pop(holding, None)
        self._connections_by_address[holding.address] -= 1
        if not self._connections_by_address[holding.address]:
            del self._connections_by_address[holding.address]
            del self._bytes_by_address[holding.address]

    def update(
        self, holding: Holding, *, size: int, stage: Stage, has_progressed: bool
    ) -> None:
        """Record what is held, and close connections if the bounds are exceeded."""
        if holding not in self._holdings:
            return
        if has_progressed or stage is not holding.stage:
            holding.progress_at_s = self._clock()
        self._set_size(holding, size, stage)
        if self.is_exceeded:
            self.relieve()

    def may_run(self, holding: Holding) -> bool:
        """Return whether a complete request may be held until its response is sent.

        A request that is alone always may.
        """
        others = self._running_bytes
        if holding.stage is Stage.RUNNING:
            others -= holding.size
        return not others or others + holding.size <= self._bound * RUNNING_FRACTION

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than may be."""
        return (
            self.total_bytes > self._bound or self.connections > self._max_connections
        )

    def relieve(self) -> None:
        """Close connections until the bounds are kept, if that is possible."""
        if self.connections > self._max_connections:
            self._close_for_number()
        if self.total_bytes > self._bound:
            for holding in self._by_harm():
                if self.total_bytes <= self._bound * RELIEVED_FRACTION:
                    break
                self._close(holding)

    def _close_for_number(self) -> None:
        """Close idle connections, those without a request first, and then others."""
        # In a crowd these are the most: no order of all connections is needed.
        for holding in list(itertools.islice(self._unused, MAX_UNUSED_EXAMINED)):
            if self.connections <= self._max_connections:
                return
            self._close_if_unread(holding, is_last=False)
        if self.connections <= self._max_connections:
            return
        stalled_before_s = self._clock() - STALL_STEP_S
        extra = EXTRA_CLOSED
        for holding in self._by_idleness():
            if self.connections > self._max_connections:
                self._close_if_unread(holding, is_last=holding is self._newest)
            elif (
                not extra or holding.has_run or holding.progress_at_s > stalled_before_s
            ):
                break
            else:
                extra -= 1
                self._close(holding)

    def _close_if_unread(self, holding: Holding, *, is_last: bool) -> None:
        """Close unless it is the newest, or bytes of a request wait to be read.

        Of many connections that are accepted at once, none has been read yet.
        """
        is_kept = holding is self._newest or holding.has_waiting_bytes()
        if is_last or not is_kept:
            self._close(holding)

    def _close(self, holding: Holding) -> None:
        self.closed_connections += 1
        self.release(holding)
        holding.close()

    def _closable(self) -> list[Holding]:
        now_s = self._clock()
        return [
            holding
            for holding in self._holdings
            if holding.stage in (Stage.IDLE, Stage.RECEIVING)
            or (
                holding.stage is Stage.UNREAD
                and now_s - holding.progress_at_s >= MIN_UNREAD_S
            )
        ]

    def _by_idleness(self) -> list[Holding]:
        """Return the closable connections: idle ones first, the longest idle first.

        Those that never had a request come before those that are kept between requests.
        The connection that has just been opened comes last.
        """
        now_s = self._clock()

        def rank(holding: Holding) -> tuple[bool, bool, bool, float]:
            is_fresh = now_s - holding.progress_at_s < STALL_STEP_S
            return (
                holding is self._newest,
                holding.stage is not Stage.IDLE or (holding.has_run and is_fresh),
                holding.has_run,
                holding.progress_at_s,
            )

        return sorted(self._closable(), key=rank)

    def _by_harm(self) -> list[Holding]:
        """Return the closable connections, in the order in which to close them.

        Addresses that hold more than an equal share come first, and of their
        connections those that made no progress for longest. Among connections in
        progress the newest come first, so that the others can be completed.
        """
        now_s = self._clock()
        share = self._bound / max(1, len(self._bytes_by_address))

        def rank(holding: Holding) -> tuple[bool, bool, int, float]:
            steps = int((now_s - holding.progress_at_s) / STALL_STEP_S)
            return (
                holding.size < SMALL_BYTES and not steps,
                self._bytes_by_address[holding.address] <= share,
                -steps,
                -holding.opened_at_s,
            )

        return sorted(self._closable(), key=rank)

    def _set_size(self, holding: Holding, size: int, stage: Stage) -> None:
        change = size - holding.size
        if holding.stage is Stage.RUNNING:
            self._running_bytes -= holding.size
        if stage is Stage.RUNNING:
            self._running_bytes += size
        self.total_bytes += change
        self._bytes_by_address[holding.address] += change
        holding.size = size
        holding.stage = stage
        if stage is not Stage.IDLE:
            self._unused.pop(holding, None)
        holding.has_run = holding.has_run or stage is Stage.RUNNING
