"""The transport of a caller's connection: counts written bytes, and closes gently.

A connection that is closed while its caller still sends would be reset by the kernel,
and the caller might lose the refusal that says that its request was not run. Such a
connection is therefore read on for a short time, and what arrives is dropped.
"""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable
from typing import Any

# Time for a caller to read a refusal before its connection is reset.
LINGER_S = 1.0


class CallerTransport(asyncio.Transport):
    """Wraps the transport of a connection; `still_receives` tells when to linger."""

    def __init__(
        self, *, transport: asyncio.Transport, still_receives: Callable[[], bool]
    ) -> None:
        super().__init__()
        self.is_lingering = False
        self.written_bytes = 0
        self._transport = transport
        self._still_receives = still_receives
        self._linger_timer: asyncio.TimerHandle | None = None

    @property
    def delivered_bytes(self) -> int:
        """Return how many written bytes have left this process."""
        return self.written_bytes - self._transport.get_write_buffer_size()

    def write(self, data: Any) -> None:
        """Write, and count the bytes."""
        if not self.is_lingering:
            self.written_bytes += len(data)
            self._transport.write(data)

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self.is_lingering or self._transport.is_closing():
            return
        if not self._still_receives():
            self._transport.close()
            return
        self.is_lingering = True
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close at once, and drop what was not sent."""
        self.stop_timer()
        self._transport.abort()

    def stop_timer(self) -> None:
        """Stop the timer of a connection that is closed."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None

    def is_closing(self) -> bool:
        """Return whether nothing more is sent."""
        return self.is_lingering or self._transport.is_closing()

    def pause_reading(self) -> None:
        """Stop reading."""
        if not self.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Return how many written bytes have not left this process."""
        return self._transport.get_write_buffer_size()

    def has_waiting_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read."""
        waiting = bytearray(struct.calcsize("i"))
        try:
            fcntl.ioctl(
                self.get_extra_info("socket").fileno(), termios.FIONREAD, waiting
            )
        except OSError:
            return False
        return any(waiting)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the socket."""
        return self._transport.get_extra_info(name, default)
