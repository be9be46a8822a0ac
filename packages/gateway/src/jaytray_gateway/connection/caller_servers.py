"""HTTP servers for callers, probes and relays within the bounds of the VM, if stated.

Each port has bounds of its own, so that a crowd at one cannot take the memory or the
connections of another.
"""

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.connection.bounded_protocol import BoundedCallerProtocol
from jaytray_gateway.connection.caller_bounds import CallerBounds
from jaytray_gateway.process.memory_budget import MemoryBounds, MemoryBudget
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.version.route_table import CallerLimits
from jaytray_server.connection.caller_protocol import CallerTimeouts
from jaytray_server.connection.callers import (
    DEFAULT_TIMEOUTS,
    CallerServer,
    make_caller_server,
)

# Bounds of a port for probes or metrics, whose requests and responses are small.
SMALL_PORT_BYTES = 4_000_000
SMALL_PORT_CONNECTIONS = 128
# Members send a few short headers; those of the caller's request are in the body.
RELAY_HEADER_BYTES = 8_192
# The kernel would let the buffers of a connection grow to several megabytes.
RECEIVE_BUFFER_BYTES = 65_536
SEND_BUFFER_BYTES = 131_072
SWEEP_INTERVAL_S = 0.5


def limit_buffers(listener: socket.socket) -> None:
    """Limit the kernel's buffers of the connections that `listener` accepts."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


class CallerServers:
    """Makes the servers of a process; without `memory` they are not bounded."""

    def __init__(
        self,
        *,
        memory: MemoryBounds | None,
        current_limits: Callable[[], CallerLimits],
        metrics: GatewayMetrics,
        clock: MonotonicClock,
    ) -> None:
        self._memory = memory
        self._current_limits = current_limits
        self._metrics = metrics
        self._clock = clock
        self._bounds: list[CallerBounds] = []

    def make(self, app: Any) -> CallerServer:
        """Return the server for callers."""
        if self._memory is None:
            return make_caller_server(app, current_timeouts=self._timeouts)
        return self._make_bounded(
            app,
            self._memory.caller_bytes,
            self._memory.max_connections,
            timeouts=self._timeouts,
            header_bytes=lambda: self._current_limits().header_bytes,
        )

    def make_relay(self, app: Any) -> CallerServer:
        """Return the server for requests that other members want forwarded."""
        if self._memory is None:
            return make_caller_server(app)
        return self._make_bounded(
            app,
            self._memory.relay_bytes,
            self._memory.max_relay_connections,
            # Idle connections are kept, as members reuse them.
            timeouts=lambda: DEFAULT_TIMEOUTS,
            header_bytes=lambda: RELAY_HEADER_BYTES,
        )

    def make_small(self, app: Any) -> CallerServer:
        """Return a server for probes or metrics."""
        if self._memory is None:
            return make_caller_server(app)
        return self._make_bounded(
            app,
            SMALL_PORT_BYTES,
            SMALL_PORT_CONNECTIONS,
            timeouts=self._timeouts,
            header_bytes=lambda: self._current_limits().header_bytes,
        )

    async def run_sweeps(self) -> None:
        """Check all connections for progress, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for bounds in self._bounds:
                bounds.sweep()
            self._report()

    def _make_bounded(
        self,
        app: Any,
        bound_bytes: int,
        max_connections: int,
        *,
        timeouts: Callable[[], CallerTimeouts],
        header_bytes: Callable[[], int],
    ) -> CallerServer:
        budget = MemoryBudget(
            bound_bytes=bound_bytes, max_connections=max_connections, clock=self._clock
        )
        bounds = CallerBounds(
            budget=budget, header_bytes=header_bytes, clock=self._clock
        )
        self._bounds.append(bounds)
        return make_caller_server(
            app,
            current_timeouts=timeouts,
            make_protocol=partial(BoundedCallerProtocol, bounds=bounds),
        )

    def _timeouts(self) -> CallerTimeouts:
        limits = self._current_limits()
        return CallerTimeouts(limits.header_timeout_s, limits.idle_timeout_s)

    def _report(self) -> None:
        budgets = [bounds.budget for bounds in self._bounds]
        for name, value in (
            ("caller_connections", sum(b.connections for b in budgets)),
            ("caller_bytes", sum(b.total_bytes for b in budgets)),
            ("caller_connections_ended", sum(b.closed_connections for b in budgets)),
        ):
            self._metrics.set_gauge(name, value)
