"""The peer network between VMs: one listening socket and one link for each peer.

Neighbours are chosen by `process/membership.py`; links to other listed VMs are
opened on demand and closed when idle. Broadcasts are flooded over the links between
neighbours, and each VM relays a message once; if every listed VM is a neighbour of the
sender, nothing is relayed. Delivery is best effort: senders repeat important messages,
and receivers handle every message idempotently.
"""

import asyncio
import itertools
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_core.tasks import cancel_all
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_server.connection.peer_link import (
    HEARTBEAT_TIMEOUT_S,
    CurveKeys,
    PeerLink,
    bind_socket,
    run_link,
)
from jaytray_server.connection.peer_messages import (
    HEARTBEAT_TOPIC,
    MAX_ENVELOPE_BYTES,
    Envelope,
    Heartbeat,
)
from jaytray_server.ports import PeerHandler, PeerNetwork

# Number of recent broadcasts remembered to detect duplicates.
REMEMBERED_BROADCASTS = 4096
# Messages that are received before other tasks run, as thousands may have arrived while
# the process was paused.
MESSAGES_PER_TURN = 32
# Age in heartbeats that means "never", in milliseconds.
NEVER_AGE_MS = 1_000_000_000


class LastHeartbeat(NamedTuple):
    """Contents and arrival time of the last accepted heartbeat of a peer.

    `key_value_contact_s` is on this process's monotonic clock.
    """

    boot_epoch_ms: int
    sequence: int
    received_at_s: float
    key_value_contact_s: float


class PeerHub:
    """This VM's end of the peer network: its links, handlers and known peers."""

    def __init__(
        self,
        *,
        vm_id: str,
        boot_epoch_ms: int,
        keys: CurveKeys,
        clock: MonotonicClock,
    ) -> None:
        self.vm_id = vm_id
        self.boot_epoch_ms = boot_epoch_ms
        self.keys = keys
        self.clock = clock
        self.vms_by_id: dict[str, VmEntry] = {}
        self.heard_by_id: dict[str, LastHeartbeat] = {}
        self.own_key_value_contact_s = -float("inf")
        self.messages_sent = 0
        self.bytes_by_topic: Counter[str] = Counter()
        self._links_by_id: dict[str, PeerLink] = {}
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._handlers_by_topic: dict[str, PeerHandler] = {}
        self._seen_broadcasts: OrderedDict[tuple[str, int, int], None] = OrderedDict()
        self._sequence = 0
        # Highest heartbeat number on closed links: peers ignore numbers heard before.
        self._closed_heartbeats = 0
        self._chosen: frozenset[str] = frozenset()
        self._context: zmq.asyncio.Context | None = None

    @property
    def bytes_sent(self) -> int:
        """Return the bytes of all messages since the start."""
        return self.bytes_by_topic.total()

    def peer_network(self) -> PeerNetwork:
        """Return the interface for other subsystems."""
        return PeerNetwork(
            vm_id=self.vm_id,
            send=self.send,
            broadcast=self.broadcast,
            set_handler=self.set_handler,
            neighbours=self.neighbours,
            listed_vms=self.listed_vms,
            linked_vms=lambda: frozenset(self._links_by_id),
        )

    def set_handler(self, topic: str, handler: PeerHandler) -> None:
        """Deliver messages of `topic` to `handler`."""
        self._handlers_by_topic[topic] = handler

    def listed_vms(self) -> list[str]:
        """Return the ids of listed VMs that are not leaving, this one included."""
        return sorted(
            vm.vm_id for vm in self.vms_by_id.values() if vm.state is VmState.LIVE
        )

    def neighbours(self) -> list[str]:
        """Return the neighbours whose heartbeat arrived recently."""
        oldest_s = self.clock() - HEARTBEAT_TIMEOUT_S
        return [
            vm_id
            for vm_id, link in self._links_by_id.items()
            if link.is_neighbour
            and vm_id in self.heard_by_id
            and self.heard_by_id[vm_id].received_at_s >= oldest_s
        ]

    def chosen_neighbours(self) -> frozenset[str]:
        """Return the VMs chosen as neighbours, whether or not they send heartbeats."""
        return self._chosen

    def key_value_contact_s(self) -> float:
        """Return when the service was last reached, here or by a heartbeat sender."""
        contacts = (peer.key_value_contact_s for peer in self.heard_by_id.values())
        return max([self.own_key_value_contact_s, *contacts])

    def update_vms(self, vms: list[VmEntry], *, chosen: frozenset[str]) -> None:
        """Apply a new list of VMs and the neighbours chosen from it."""
        self.vms_by_id = {vm.vm_id: vm for vm in vms}
        self._chosen = chosen
        for vm_id in [*self._links_by_id]:
            entry = self.vms_by_id.get(vm_id)
            link = self._links_by_id[vm_id]
            if entry is None or (entry.peer_address, entry.curve_public_key) != (
                link.address,
                link.curve_public_key,
            ):
                self._drop_link(vm_id)
        for vm_id in [*self.heard_by_id]:
            if vm_id not in self.vms_by_id:
                del self.heard_by_id[vm_id]
        self._refresh_neighbours()

    def send(self, vm_id: str, topic: str, body: bytes) -> bool:
        """Send to one listed VM; returns False if the message was certainly dropped."""
        link = self._link_to(vm_id)
        if link is None:
            return False
        return self._enqueue(link, self._make_envelope(topic, body, is_broadcast=False))

    def broadcast(self, topic: str, body: bytes) -> None:
        """Send to all VMs by way of the neighbours."""
        envelope = self._make_envelope(topic, body, is_broadcast=True)._replace(
            needs_relay=not self._neighbours_include_all_vms()
        )
        self._record_broadcast(envelope)
        self._flood(envelope, except_vm="")

    def receive(self, frame: bytes) -> None:
        """Handle one frame from the listening socket; drop invalid ones."""
        try:
            envelope = decode_msgpack(frame, Envelope, peer="peer")
        except JaytrayError as err:
            get_logger().warning("peer_message_malformed", error=str(err))
            return
        if envelope.sender not in self.vms_by_id or envelope.origin == self.vm_id:
            return
        if envelope.topic == HEARTBEAT_TOPIC:
            self._receive_heartbeat(envelope)
            return
        if envelope.is_broadcast:
            if not self._record_broadcast(envelope):
                return
            if envelope.needs_relay:
                relayed = envelope._replace(sender=self.vm_id)
                self._flood(relayed, except_vm=envelope.sender)
        self._deliver(envelope)

    @asynccontextmanager
    async def listen(self, address: str) -> AsyncIterator[str]:
        """Open the listening socket and the links; yield the bound `IP:port`."""
        context = zmq.asyncio.Context()
        authenticator = AsyncioAuthenticator(context)
        authenticator.start()
        authenticator.configure_curve_callback(
            domain="*", credentials_provider=_PeerKeyCheck(hub=self)
        )
        socket = bind_socket(context, address, self.keys)
        bound = socket.getsockopt_string(zmq.LAST_ENDPOINT).removeprefix("tcp://")
        self._context = context
        self._refresh_neighbours()
        receiver = asyncio.create_task(self._receive_all(socket))
        try:
            yield bound
        finally:
            self._context = None
            # Links close their own sockets, before the context would.
            links = [*self._tasks_by_id.values()]
            for vm_id in [*self._links_by_id]:
                self._drop_link(vm_id)
            await cancel_all([receiver, *links])
            socket.close(linger=0)
            authenticator.stop()
            context.destroy(linger=0)

    async def _receive_all(self, socket: zmq.asyncio.Socket) -> None:
        for count in itertools.count(1):
            frames = await socket.recv_multipart()
            if len(frames) == 2:
                self.receive(frames[1])
            if count % MESSAGES_PER_TURN == 0:
                # Messages that have already arrived are received without a wait.
                await asyncio.sleep(0)

    def _receive_heartbeat(self, envelope: Envelope) -> None:
        try:
            beat = decode_msgpack(envelope.body, Heartbeat, peer=envelope.origin)
        except JaytrayError as err:
            get_logger().warning("peer_message_malformed", error=str(err))
            return
        known = self.heard_by_id.get(envelope.origin)
        number = (envelope.boot_epoch_ms, beat.sequence)
        if known and number <= (known.boot_epoch_ms, known.sequence):
            return
        now_s = self.clock()
        contact_s = now_s - max(0, beat.key_value_age_ms) / 1000
        self.heard_by_id[envelope.origin] = LastHeartbeat(*number, now_s, contact_s)
        # If the peer chose this VM as a neighbour, the link is one between neighbours
        # in this direction too. If neither did, a last heartbeat tells the peer so.
        is_chosen = not envelope.needs_relay or envelope.origin in self._chosen
        find_link = self._link_to if is_chosen else self._links_by_id.get
        link = find_link(envelope.origin)
        if link is not None:
            if link.is_neighbour and not is_chosen:
                link.heartbeats_sent += 1
                link.enqueue(self._make_heartbeat(link), now_s=now_s)
            link.set_neighbour(is_chosen, now_s=now_s)
            link.record_echo(beat.echo, now_s=now_s)

    def _deliver(self, envelope: Envelope) -> None:
        handler = self._handlers_by_topic.get(envelope.topic)
        if handler is None:
            return
        try:
            handler(envelope.origin, envelope.body)
        except JaytrayError as err:
            get_logger().warning(
                "peer_message_refused", topic=envelope.topic, error=str(err)
            )
        except Exception as err:
            # A fault in one handler must not end the reception of all messages.
            get_logger().error(
                "peer_message_failed",
                topic=envelope.topic,
                peer=envelope.origin,
                error=repr(err),
            )

    def _neighbours_include_all_vms(self) -> bool:
        """Return whether a broadcast reaches every VM without being relayed."""
        return {*self.neighbours(), self.vm_id}.issuperset(self.vms_by_id)

    def _flood(self, envelope: Envelope, *, except_vm: str) -> None:
        for vm_id, link in self._links_by_id.items():
            if link.is_neighbour and vm_id not in (except_vm, envelope.origin):
                self._enqueue(link, envelope)

    def _enqueue(self, link: PeerLink, envelope: Envelope) -> bool:
        frame = encode_msgpack(envelope)
        if len(frame) > MAX_ENVELOPE_BYTES:
            return False
        self.bytes_by_topic[envelope.topic] += len(frame)
        self.messages_sent += 1
        return link.enqueue(frame, now_s=self.clock())

    def _make_envelope(
        self, topic: str, body: bytes, *, is_broadcast: bool
    ) -> Envelope:
        self._sequence += 1
        return Envelope(
            origin=self.vm_id,
            boot_epoch_ms=self.boot_epoch_ms,
            sequence=self._sequence,
            sender=self.vm_id,
            is_broadcast=is_broadcast,
            needs_relay=False,
            topic=topic,
            body=body,
        )

    def _record_broadcast(self, envelope: Envelope) -> bool:
        """Remember a broadcast; return False if it was received before."""
        identity = (envelope.origin, envelope.boot_epoch_ms, envelope.sequence)
        if identity in self._seen_broadcasts:
            return False
        self._seen_broadcasts[identity] = None
        if len(self._seen_broadcasts) > REMEMBERED_BROADCASTS:
            self._seen_broadcasts.popitem(last=False)
        return True

    def _link_to(self, vm_id: str) -> PeerLink | None:
        link = self._links_by_id.get(vm_id)
        entry = self.vms_by_id.get(vm_id)
        if link is not None or entry is None or vm_id == self.vm_id:
            return link
        if self._context is None:
            return None
        link = PeerLink(
            vm_id=vm_id,
            address=entry.peer_address,
            is_neighbour=vm_id in self._chosen,
            clock=self.clock,
            curve_public_key=entry.curve_public_key,
        )
        link.heartbeats_sent = link.highest_echo = self._closed_heartbeats
        self._links_by_id[vm_id] = link
        self._tasks_by_id[vm_id] = asyncio.create_task(self._run_link(link))
        return link

    async def _run_link(self, link: PeerLink) -> None:
        assert self._context is not None
        try:
            await run_link(
                link,
                context=self._context,
                keys=self.keys,
                clock=self.clock,
                make_heartbeat=self._make_heartbeat,
            )
        finally:
            self._closed_heartbeats = max(self._closed_heartbeats, link.heartbeats_sent)
            if self._links_by_id.get(link.vm_id) is link:
                del self._links_by_id[link.vm_id]
                self._tasks_by_id.pop(link.vm_id, None)

    def _make_heartbeat(self, link: PeerLink) -> bytes:
        last = self.heard_by_id.get(link.vm_id)
        age_s = self.clock() - self.key_value_contact_s()
        beat = Heartbeat(
            sequence=link.heartbeats_sent,
            echo=last.sequence if last else 0,
            key_value_age_ms=min(NEVER_AGE_MS, int(min(age_s, 1e6) * 1000)),
        )
        envelope = self._make_envelope(
            HEARTBEAT_TOPIC, encode_msgpack(beat), is_broadcast=False
        )
        is_answer = link.vm_id not in self._chosen
        frame = encode_msgpack(envelope._replace(needs_relay=is_answer))
        self.bytes_by_topic[HEARTBEAT_TOPIC] += len(frame)
        self.messages_sent += 1
        return frame

    def _drop_link(self, vm_id: str) -> None:
        link = self._links_by_id.pop(vm_id)
        self._closed_heartbeats = max(self._closed_heartbeats, link.heartbeats_sent)
        task = self._tasks_by_id.pop(vm_id, None)
        if task is not None:
            task.cancel()

    def _refresh_neighbours(self) -> None:
        now_s = self.clock()
        for vm_id in self._chosen:
            link = self._link_to(vm_id)
            if link is not None:
                link.set_neighbour(True, now_s=now_s)
        oldest_s = now_s - 2 * HEARTBEAT_TIMEOUT_S
        for vm_id, link in self._links_by_id.items():
            last = self.heard_by_id.get(vm_id)
            has_recent_heartbeat = last is not None and last.received_at_s >= oldest_s
            is_neighbour = vm_id in self._chosen or (
                link.is_neighbour and has_recent_heartbeat
            )
            link.is_chosen = vm_id in self._chosen
            link.set_neighbour(is_neighbour, now_s=now_s)


class _PeerKeyCheck:
    """Accepts only connections with the fleet's key or a listed VM's own key."""

    def __init__(self, *, hub: PeerHub) -> None:
        self._hub = hub

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether the client's public key (Z85) may connect."""
        own_keys = {vm.curve_public_key for vm in self._hub.vms_by_id.values()}
        return key == self._hub.keys.public_key or key.decode("ascii") in own_keys
