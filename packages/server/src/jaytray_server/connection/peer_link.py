"""One outgoing link to one peer: a task, a queue and a socket.

The link sends queued envelopes and heartbeats. The peer echoes heartbeat numbers on
its own link back; when the echo stands still for too long the socket is closed and
the peer is dialled on a new one, since a network may forget a connection silently.
A peer that refuses this process's key is dialled again soon: it may not have read yet
that the key is a member's, and ZeroMQ itself does not try again after a refusal.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from enum import Enum
from typing import Any, NamedTuple

import zmq
import zmq.asyncio
from zmq.utils.monitor import recv_monitor_message

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_core.tasks import cancel_all
from jaytray_server.connection.peer_messages import MAX_ENVELOPE_BYTES

HEARTBEAT_INTERVAL_S = 2.0
# Time without an echo after which the link's socket is replaced.
SILENCE_LIMIT_S = 7.0
# Time without any use after which a link to a VM that is no neighbour is closed.
IDLE_LIMIT_S = 30.0
QUEUE_LENGTH = 256
# Pause before a peer that refused the key is dialled again, for the first dials of a
# link and later: members read of each other within some tenths of a second, in large
# fleets within two seconds, and each dial costs both ends a handshake.
REFUSED_PAUSE_S = 0.2
LATER_REFUSED_PAUSE_S = 1.0
QUICK_DIALS = 5
# Longest wait for a connection to be accepted; a VM without power does not answer.
CONNECT_TIMEOUT_S = 1.0


class CurveKeys(NamedTuple):
    """A CURVE key pair in Z85: the fleet's, or one that this process has drawn."""

    public_key: bytes
    secret_key: bytes


class LinkEnd(Enum):
    """Why a link's socket is given up."""

    SILENT = "silent"
    IDLE = "idle"
    REFUSED = "refused"


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
        async with _dial(context, link, keys) as (socket, monitor):
            end = await _first_end(
                _send_until_silent(
                    link, socket=socket, clock=clock, make_heartbeat=make_heartbeat
                ),
                _until_refused(monitor),
            )
        if end is LinkEnd.IDLE:
            return
        if end is LinkEnd.REFUSED:
            get_logger().info("peer_refused_key", peer=link.vm_id, address=link.address)
            is_quick = link.dials <= QUICK_DIALS
            await asyncio.sleep(REFUSED_PAUSE_S if is_quick else LATER_REFUSED_PAUSE_S)
            continue
        get_logger().warning(
            "peer_silent",
            peer=link.vm_id,
            address=link.address,
            silent_s=round(clock() - link.echoed_at_s, 1),
            dials=link.dials,
        )


async def _first_end(*ways: Coroutine[Any, Any, LinkEnd]) -> LinkEnd:
    """Return how the first of `ways` ended; the others are cancelled."""
    tasks = [asyncio.create_task(way) for way in ways]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return done.pop().result()
    finally:
        await cancel_all(tasks)


async def _until_refused(monitor: zmq.asyncio.Socket) -> LinkEnd:
    await recv_monitor_message(monitor)
    return LinkEnd.REFUSED


async def _send_until_silent(
    link: PeerLink,
    *,
    socket: zmq.asyncio.Socket,
    clock: MonotonicClock,
    make_heartbeat: Callable[[PeerLink], bytes],
) -> LinkEnd:
    """Send until the peer is silent or the link is idle."""
    next_heartbeat_s = clock()
    while True:
        now_s = clock()
        if link.is_neighbour and now_s - link.echoed_at_s > SILENCE_LIMIT_S:
            return LinkEnd.SILENT
        if not link.is_neighbour and now_s - link.used_at_s > IDLE_LIMIT_S:
            return LinkEnd.IDLE
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
) -> AsyncIterator[tuple[zmq.asyncio.Socket, zmq.asyncio.Socket]]:
    """Yield a socket and the one that tells of a refusal of the key."""
    socket = context.socket(zmq.DEALER)
    socket.linger = 0
    socket.sndhwm = QUEUE_LENGTH
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_ENVELOPE_BYTES)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, round(CONNECT_TIMEOUT_S * 1000))
    socket.curve_publickey = keys.public_key
    socket.curve_secretkey = keys.secret_key
    socket.curve_serverkey = link.curve_public_key.encode() or keys.public_key
    monitor = socket.get_monitor_socket(zmq.Event.HANDSHAKE_FAILED_AUTH)
    socket.connect(f"tcp://{link.address}")
    try:
        yield socket, monitor
    finally:
        socket.disable_monitor()
        monitor.close()
        socket.close()
