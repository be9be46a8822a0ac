"""TCP options that detect when the remote end of a connection is gone."""

import socket
from typing import NamedTuple


class KeepAlive(NamedTuple):
    """When an idle connection is probed, and when it is closed as dead.

    The first probe is sent after `idle_s` and further ones every `interval_s`, at most
    `probes` in all. Sent data may stay unacknowledged for as long as that takes.
    """

    idle_s: int
    interval_s: int
    probes: int

    @property
    def user_timeout_ms(self) -> int:
        """Return the time without an acknowledgement after which a connection ends.

        The kernel applies it to probes as well, whatever their number, so it must not
        be shorter than they take.
        """
        return (self.idle_s + self.interval_s * self.probes) * 1000


def set_keep_alive(connection: socket.socket, limits: KeepAlive) -> None:
    """Set the options; connections accepted by a listening socket inherit them."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, limits.idle_s),
        (socket.TCP_KEEPINTVL, limits.interval_s),
        (socket.TCP_KEEPCNT, limits.probes),
        (socket.TCP_USER_TIMEOUT, limits.user_timeout_ms),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
