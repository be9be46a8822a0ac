"""Asks the kernel whether the remote end of a connection has closed or reset it.

An event loop learns this only after it has read everything that arrived before, and not
at all while it does not read.
"""

import select
import socket
from typing import Protocol

_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class HasDescriptor(Protocol):
    """A socket, or what asyncio gives out in its place."""

    def fileno(self) -> int:
        """Return the descriptor, -1 if it is closed."""


def is_closed_by_peer(connection: socket.socket | HasDescriptor) -> bool:
    """Return whether nothing more can arrive than what already has."""
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return any(events & _CLOSED for _, events in poll.poll(0))
