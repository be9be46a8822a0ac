"""One outgoing link to one peer: a task, a queue and a socket.

The link sends queued envelopes and heartbeats. The peer echoes heartbeat numbers on
its own link back; when the echo stands still for too long the socket is closed and
the peer is dialled on a new one, since a network may forget a connection silently.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import zmq
import zmq.asyncio

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_server.connection.peer_messages import MAX_ENVELOPE_BYTES

HEARTBEAT_INTERVAL_S = 2.0
# Time without an echo after which the link's socket is replaced.
SILENCE_LIMIT_S = 7.0
# Time without any use after which a link to a VM that is no neighbour is closed.
IDLE_LIMIT_S = 30.0
QUEUE_LENGTH = 256


class CurveKeys(NamedTuple):
    """A CURVE key pair in Z85: the fleet's, or one that this process has drawn."""

    public_key: bytes
    secret_key: bytes


class PeerLink:
    """State of the link to one peer."""

    def __init__(
        self,
        *,
        vm_id: str,
        address: str,
        is_neighbour: bool,
        clock: MonotonicClock,
        curve_public_key: str = "",
    ) -> None:
        self.vm_id = vm_id
        self.address = address
        self.curve_public_key = curve_public_key
        self.is_neighbour = is_neighbour
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_LENGTH)
        self.heartbeats_sent = 0
        self.highest_echo = 0
        self.echoed_at_s = clock()
        self.used_at_s = clock()
        self.dials = 0

    def offer(self, frame: bytes, *, now_s: float) -> bool:
        """Queue `frame`; return False when the queue is full and it was dropped."""
        self.used_at_s = now_s
        try:
            self.queue.put_nowait(frame)
        except asyncio.QueueFull:
            return False
        return True

    def record_echo(self, echo: int, *, now_s: float) -> None:
        """Note the echo of a heartbeat; old and impossible numbers are ignored."""
        if self.highest_echo < echo <= self.heartbeats_sent:
            self.highest_echo = echo
            self.echoed_at_s = now_s


async def run_link(
    link: PeerLink,
    *,
    context: zmq.asyncio.Context,
    keys: CurveKeys,
    clock: MonotonicClock,
    make_heartbeat: Callable[[PeerLink], bytes],
) -> None:
    """Keep the link up until cancelled, or until an idle link may be closed."""
    while True:
        link.dials += 1
        link.echoed_at_s = clock()
        async with _dial(context, link, keys) as socket:
            is_idle = await _send_until_silent(
                link, socket=socket, clock=clock, make_heartbeat=make_heartbeat
            )
        if is_idle:
            return
        get_logger().warning(
            "peer_silent",
            peer=link.vm_id,
            address=link.address,
            silent_s=round(clock() - link.echoed_at_s, 1),
            dials=link.dials,
        )


async def _send_until_silent(
    link: PeerLink,
    *,
    socket: zmq.asyncio.Socket,
    clock: MonotonicClock,
    make_heartbeat: Callable[[PeerLink], bytes],
) -> bool:
    """Send until the peer is silent (False) or the link is idle (True)."""
    next_heartbeat_s = clock()
    while True:
        now_s = clock()
        if link.is_neighbour and now_s - link.echoed_at_s > SILENCE_LIMIT_S:
            return False
        if not link.is_neighbour and now_s - link.used_at_s > IDLE_LIMIT_S:
            return True
        if now_s >= next_heartbeat_s:
            next_heartbeat_s = now_s + HEARTBEAT_INTERVAL_S
            if link.is_neighbour:
                link.heartbeats_sent += 1
                await _send(socket, make_heartbeat(link))
        try:
            async with asyncio.timeout(max(0.0, next_heartbeat_s - clock())):
                frame = await link.queue.get()
        except TimeoutError:
            continue
        await _send(socket, frame)


async def _send(socket: zmq.asyncio.Socket, frame: bytes) -> None:
    """Send without waiting; a full socket drops the frame, as a network would."""
    try:
        await socket.send(frame, flags=zmq.NOBLOCK)
    except zmq.Again:
        get_logger().debug("peer_send_dropped", bytes=len(frame))


@asynccontextmanager
async def _dial(
    context: zmq.asyncio.Context, link: PeerLink, keys: CurveKeys
) -> AsyncIterator[zmq.asyncio.Socket]:
    socket = context.socket(zmq.DEALER)
    socket.linger = 0
    socket.sndhwm = QUEUE_LENGTH
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_ENVELOPE_BYTES)
    socket.curve_publickey = keys.public_key
    socket.curve_secretkey = keys.secret_key
    socket.curve_serverkey = link.curve_public_key.encode() or keys.public_key
    socket.connect(f"tcp://{link.address}")
    try:
        yield socket
    finally:
        socket.close()
