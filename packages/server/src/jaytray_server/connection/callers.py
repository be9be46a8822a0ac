"""The listening socket for callers and the HTTP server on it.

TCP keep-alive and a user timeout close connections whose other end has disappeared
without closing them, also while a response is being written.
"""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

import uvicorn

from jaytray_core.addresses import format_address, parse_address
from jaytray_core.tcp_options import KeepAlive, set_keep_alive
from jaytray_server.connection.caller_protocol import (
    CallerProtocol,
    CallerTimeouts,
    refuse_conflicting_framing,
)

# Longer than for targets, which are nearby: callers may be on slow networks.
KEEP_ALIVE = KeepAlive(idle_s=10, interval_s=5, probes=2)
# A header usually arrives in one packet, except on bad networks. Idle connections are
# kept for slightly longer than common load balancers keep them.
DEFAULT_TIMEOUTS = CallerTimeouts(header_s=5.0, idle_s=75.0)
LISTEN_BACKLOG = 512


@contextmanager
def open_caller_socket(address: str) -> Iterator[socket.socket]:
    """Listen on `IP:port`; accepted connections inherit the keep-alive options."""
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sends small writes at once only where the protocol is given as TCP.
    with socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        set_keep_alive(listener, KEEP_ALIVE)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
        yield listener


class CallerServer(uvicorn.Server):
    """uvicorn without its own signal handlers."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers: `process/stop_signals.py` handles signals."""
        yield


def make_caller_server(
    app: Any,
    *,
    current_timeouts: Callable[[], CallerTimeouts] = lambda: DEFAULT_TIMEOUTS,
    make_protocol: Callable[..., CallerProtocol] = CallerProtocol,
) -> CallerServer:
    """Return the HTTP server for `app`; run it with `serve(sockets=[...])`.

    `current_timeouts` is called once for each connection.
    """
    protocol: Any = partial(make_protocol, current_timeouts=current_timeouts)
    return CallerServer(
        uvicorn.Config(
            refuse_conflicting_framing(app),
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
        )
    )


def bound_address(listener: socket.socket) -> str:
    """Return the `IP:port` that a listening socket is bound to."""
    host, port = listener.getsockname()[:2]
    return format_address(host, port)
