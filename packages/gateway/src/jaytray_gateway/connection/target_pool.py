"""Pools of idle connections to targets, by target id and address.

The most recently used connection is reused first, so that surplus connections age and
are closed.
"""

from collections.abc import Awaitable, Callable

from jaytray_core.clock import MonotonicClock
from jaytray_core.exchange_errors import ExchangeError
from jaytray_core.logs import get_logger
from jaytray_gateway.connection.target_connection import (
    SMALL_BUFFER_BYTES,
    TargetConnection,
    open_connection,
)
from jaytray_gateway.process.memory_budget import MemoryBounds

# A target accepts a connection within milliseconds; the timeout allows for one
# retransmitted SYN, which the kernel sends after one second.
CONNECT_TIMEOUT_S = 1.2
# Idle timeout of targets that do not state how long they keep idle connections.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Fraction of a stated idle timeout after which a connection is no longer reused.
IDLE_TIMEOUT_FRACTION = 0.7

# Largest sum of bodies of responses that are not streams, in case many targets send
# bodies without end.
MAX_BUFFERED_BODY_BYTES = 33_554_432

# (address, timeout in seconds) -> a new connection; raises `ExchangeError`.
OpenConnection = Callable[[str, float], Awaitable[TargetConnection]]


async def _open(address: str, timeout_s: float) -> TargetConnection:
    return await open_connection(address, timeout_s=timeout_s)


async def open_small_connection(address: str, timeout_s: float) -> TargetConnection:
    """Open a connection that buffers little, for VMs with a stated memory."""
    return await open_connection(
        address, timeout_s=timeout_s, max_buffered_bytes=SMALL_BUFFER_BYTES
    )


class TargetConnectionPool:
    """The idle connections of this process to all targets."""

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        open_connection: OpenConnection = _open,
        max_buffered_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        self.max_buffered_body_bytes = max_buffered_body_bytes
        self.opened_connections = 0
        # Bytes of responses that are buffered until they are complete.
        self.buffered_body_bytes = 0
        self._clock = clock
        self._open = open_connection
        self._idle_by_target: dict[tuple[str, str], list[TargetConnection]] = {}

    async def acquire(
        self, target_id: str, address: str, *, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> TargetConnection:
        """Return an idle or a new connection; raises `ExchangeError`."""
        idle = self._idle_by_target.get((target_id, address), [])
        now_s = self._clock()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now_s, DEFAULT_IDLE_TIMEOUT_S):
                return connection
            connection.close()
        self.opened_connections += 1
        return await self._open(address, timeout_s)

    def has_idle(self, target_id: str, address: str) -> bool:
        """Return whether a connection can be reused now."""
        idle = self._idle_by_target.get((target_id, address), [])
        return bool(idle) and idle[-1].is_usable(self._clock(), DEFAULT_IDLE_TIMEOUT_S)

    async def open_idle(
        self, target_id: str, address: str, *, timeout_s: float
    ) -> bool:
        """Open a connection for later use; returns whether the target accepted it."""
        self.opened_connections += 1
        try:
            connection = await self._open(address, timeout_s)
        except ExchangeError as err:
            get_logger().debug("check_not_connected", target=target_id, error=str(err))
            return False
        connection.idle_since_s = self._clock()
        self._idle_by_target.setdefault((target_id, address), []).append(connection)
        return True

    def release(
        self,
        target_id: str,
        address: str,
        connection: TargetConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """Return a connection to the pool after a complete exchange, if reusable."""
        if idle_timeout_s is not None:
            connection.idle_timeout_s = idle_timeout_s * IDLE_TIMEOUT_FRACTION
        if connection.finish(self._clock()):
            idle = self._idle_by_target.setdefault((target_id, address), [])
            idle.append(connection)

    def drop_target(self, target_id: str) -> None:
        """Close the idle connections to a target that is gone or unreachable."""
        for key in [key for key in self._idle_by_target if key[0] == target_id]:
            for connection in self._idle_by_target.pop(key):
                connection.close()

    def close_stale(self) -> None:
        """Close the idle connections that are no longer reusable."""
        now_s = self._clock()
        for key, idle in list(self._idle_by_target.items()):
            usable = [c for c in idle if c.is_usable(now_s, DEFAULT_IDLE_TIMEOUT_S)]
            for connection in idle:
                if connection not in usable:
                    connection.close()
            if usable:
                self._idle_by_target[key] = usable
            else:
                del self._idle_by_target[key]

    def close(self) -> None:
        """Close all idle connections."""
        for target_id in {key[0] for key in self._idle_by_target}:
            self.drop_target(target_id)


def make_target_pools(
    *, memory: MemoryBounds | None, clock: MonotonicClock
) -> TargetConnectionPool:
    """Return the pools, which hold less on VMs that state their memory."""
    if memory is None:
        return TargetConnectionPool(clock=clock)
    return TargetConnectionPool(
        clock=clock,
        open_connection=open_small_connection,
        max_buffered_body_bytes=memory.response_bytes,
    )
