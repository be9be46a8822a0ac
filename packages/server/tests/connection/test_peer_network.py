"""Tests of the peer network, over real sockets on port 0."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from unittest import mock

import zmq
import zmq.asyncio
from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_core.codec import encode_msgpack
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_server.connection.peer_link import HEARTBEAT_TIMEOUT_S, CurveKeys, PeerLink
from jaytray_server.connection.peer_messages import (
    HEARTBEAT_TOPIC,
    Envelope,
    Heartbeat,
)
from jaytray_server.connection.peer_network import PeerHub

KEYS = CurveKeys(*zmq.curve_keypair())
WAIT_S = 20.0
LOOPBACK = "tcp://127.0.0.1"
MESSAGES = 5_000


def make_hub(vm_id: str, *, keys: CurveKeys = KEYS, boot: int = 1) -> PeerHub:
    return PeerHub(vm_id=vm_id, boot_epoch_ms=boot, keys=keys, clock=monotonic_clock)


def entry(vm_id: str, address: str = "127.0.0.1:1") -> VmEntry:
    return VmEntry(vm_id, address, "127.0.0.1:2", "zone-a", VmState.LIVE)


@asynccontextmanager
async def listening_hubs(*ids: str) -> AsyncIterator[list[PeerHub]]:
    async with AsyncExitStack() as stack:
        hubs = [make_hub(vm_id) for vm_id in ids]
        entries = []
        for hub in hubs:
            address = await stack.enter_async_context(hub.listen("127.0.0.1:0"))
            entries.append(entry(hub.vm_id, address))
        for hub in hubs:
            others = frozenset(vm_id for vm_id in ids if vm_id != hub.vm_id)
            hub.update_vms(entries, chosen=others)
        yield hubs


def record_to(
    vm_id: str, received: list[tuple[str, str, bytes]]
) -> Callable[[str, bytes], None]:
    return lambda sender, body: received.append((vm_id, sender, body))


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def heartbeat(*, origin: str, boot: int, sequence: int, age_ms: int = 0) -> bytes:
    body = encode_msgpack(Heartbeat(sequence, 0, age_ms))
    return encode_msgpack(
        Envelope(origin, boot, sequence, origin, False, False, HEARTBEAT_TOPIC, body)
    )


class PeerNetworkTests(TestCase):
    def test_messages_and_broadcasts_arrive_once_at_each_vm(self) -> None:
        async def scenario() -> None:
            async with listening_hubs("a", "b", "c") as hubs:
                received: list[tuple[str, str, bytes]] = []
                for hub in hubs:
                    hub.set_handler("news", record_to(hub.vm_id, received))
                await wait_until(
                    lambda: all(len(hub.neighbours()) == 2 for hub in hubs)
                )
                hubs[0].broadcast("news", b"1")
                self.assertTrue(hubs[1].send("c", "news", b"2"))
                await wait_until(lambda: len(received) >= 3)
                await asyncio.sleep(0.1)
                self.assertEqual(
                    [("b", "a", b"1"), ("c", "a", b"1"), ("c", "b", b"2")],
                    sorted(received),
                )

        asyncio.run(scenario())

    def test_message_that_a_handler_fails_on_does_not_end_the_link(self) -> None:
        async def scenario() -> None:
            async with listening_hubs("a", "b") as hubs:
                received: list[tuple[str, str, bytes]] = []

                def fail(_sender: str, _body: bytes) -> None:
                    raise ValueError("odd value")

                hubs[1].set_handler("odd", fail)
                hubs[1].set_handler("news", record_to("b", received))
                await wait_until(
                    lambda: all(len(hub.neighbours()) == 1 for hub in hubs)
                )
                self.assertTrue(hubs[0].send("b", "odd", b"1"))
                self.assertTrue(hubs[0].send("b", "news", b"2"))
                await wait_until(lambda: bool(received))
                self.assertEqual([("b", "a", b"2")], received)

        asyncio.run(scenario())

    def test_broadcast_is_relayed_past_a_missing_link(self) -> None:
        """a and c have no link; b relays a's broadcast."""

        async def scenario() -> None:
            async with listening_hubs("a", "b", "c") as hubs:
                first, middle, last = hubs
                entries = list(first.vms_by_id.values())
                for hub in (first, last):
                    hub.update_vms(entries, chosen=frozenset("b"))
                    others = {"a": "c", "c": "a"}
                    hub._drop_link(others[hub.vm_id])
                received: list[tuple[str, str, bytes]] = []
                last.set_handler("news", record_to("c", received))
                await wait_until(lambda: len(middle.neighbours()) == 2)
                first.broadcast("news", b"1")
                await wait_until(lambda: bool(received))
                self.assertEqual([("c", "a", b"1")], received)

        asyncio.run(scenario())

    def test_peer_without_the_fleet_key_is_not_heard(self) -> None:
        async def scenario() -> None:
            received: list[bytes] = []
            async with listening_hubs("a", "b") as (hub, other):
                hub.set_handler("news", lambda _sender, body: received.append(body))
                address = hub.vms_by_id["a"].peer_address
                unknown_keys = CurveKeys(*zmq.curve_keypair())
                with zmq.asyncio.Context() as context:
                    socket = context.socket(zmq.DEALER)
                    socket.linger = 0
                    socket.curve_publickey = unknown_keys.public_key
                    socket.curve_secretkey = unknown_keys.secret_key
                    socket.curve_serverkey = KEYS.public_key
                    socket.connect(f"tcp://{address}")
                    envelope = Envelope("b", 1, 1, "b", False, False, "news", b"bad")
                    await socket.send(encode_msgpack(envelope))
                    # The valid message, sent later, arrives; the other never does.
                    await asyncio.sleep(0.2)
                    other.send("a", "news", b"good")
                    await wait_until(lambda: bool(received))
                    socket.close()
                self.assertEqual([b"good"], received)

        asyncio.run(scenario())

    def test_member_that_the_peer_learns_of_later_is_heard_soon_after(self) -> None:
        # A new process has generated a key; its peers read its record a little later.
        async def scenario() -> None:
            received: list[bytes] = []
            async with AsyncExitStack() as stack:
                hubs = {
                    vm_id: make_hub(vm_id, keys=CurveKeys(*zmq.curve_keypair()))
                    for vm_id in ("old", "new")
                }
                entries = {
                    vm_id: entry(
                        vm_id,
                        await stack.enter_async_context(hub.listen("127.0.0.1:0")),
                    )._replace(curve_public_key=hub.keys.public_key.decode("ascii"))
                    for vm_id, hub in hubs.items()
                }
                old, new = hubs["old"], hubs["new"]
                old.set_handler("news", lambda _sender, body: received.append(body))
                old.update_vms([entries["old"]], chosen=frozenset())
                new.update_vms([*entries.values()], chosen=frozenset(("old",)))
                await asyncio.sleep(0.5)
                old.update_vms([*entries.values()], chosen=frozenset(("new",)))
                listed_s = monotonic_clock()
                while not received:
                    new.send("old", "news", b"here")
                    await asyncio.sleep(0.02)
                self.assertLess(monotonic_clock() - listed_s, HEARTBEAT_TIMEOUT_S / 2)

        asyncio.run(scenario())

    @given(st.binary(max_size=200))
    def test_arbitrary_frames_change_nothing(self, frame: bytes) -> None:
        hub = make_hub("a")
        hub.update_vms([entry("a"), entry("b")], chosen=frozenset("b"))
        hub.receive(frame)
        self.assertEqual({}, hub.heard_by_id)

    @parameterized.expand(
        [
            ("doubled", heartbeat(origin="b", boot=5, sequence=7)),
            ("older", heartbeat(origin="b", boot=5, sequence=6, age_ms=9)),
            ("of an earlier boot", heartbeat(origin="b", boot=4, sequence=99)),
            ("of an unlisted VM", heartbeat(origin="z", boot=9, sequence=99)),
            ("own message coming back", heartbeat(origin="a", boot=9, sequence=9)),
        ]
    )
    def test_heartbeat_that_is_not_newer_is_ignored(
        self, _name: str, frame: bytes
    ) -> None:
        hub = make_hub("a")
        hub.update_vms([entry("a"), entry("b")], chosen=frozenset())
        hub.receive(heartbeat(origin="b", boot=5, sequence=7))
        before = dict(hub.heard_by_id)
        hub.receive(frame)
        self.assertEqual(before, hub.heard_by_id)
        hub.receive(heartbeat(origin="b", boot=5, sequence=8))
        self.assertNotEqual(before, hub.heard_by_id)

    def test_other_tasks_run_while_many_messages_are_received(self) -> None:
        # After a pause of the process, thousands of messages have arrived.
        async def run() -> int:
            turns = 0
            context = zmq.asyncio.Context()
            sender, receiver = context.socket(zmq.DEALER), context.socket(zmq.ROUTER)
            sender.sndhwm = receiver.rcvhwm = 0
            sender.connect(f"tcp://127.0.0.1:{receiver.bind_to_random_port(LOOPBACK)}")
            for _ in range(MESSAGES):
                await sender.send(b"x")
            hub = make_hub("vm-0")
            received = 0

            def receive(_frame: bytes) -> None:
                nonlocal received, turns
                turns = 0 if not received else turns
                received += 1

            await asyncio.sleep(1.0)
            with mock.patch.object(hub, "receive", receive):
                receiving = asyncio.create_task(hub._receive_all(receiver))
                while received < MESSAGES:
                    turns += 1
                    await asyncio.sleep(0)
                receiving.cancel()
            context.destroy(linger=0)
            return turns

        self.assertGreaterEqual(asyncio.run(run()), MESSAGES // 50)

    def test_contact_with_the_service_is_relayed(self) -> None:
        hub = make_hub("a")
        hub.update_vms([entry("a"), entry("b")], chosen=frozenset())
        now_s = monotonic_clock()
        hub.receive(heartbeat(origin="b", boot=1, sequence=1, age_ms=1000))
        self.assertAlmostEqual(now_s - 1.0, hub.key_value_contact_s(), delta=0.5)


class PeerLinkTests(TestCase):
    def test_heartbeats_end_when_neither_end_chooses_the_other(self) -> None:
        """Guards against links that two VMs keep alive only to answer each other."""

        async def scenario() -> None:
            async with listening_hubs("a", "b") as hubs:
                await wait_until(lambda: all(hub.neighbours() for hub in hubs))
                entries = list(hubs[0].vms_by_id.values())

                def exchange() -> list[bool]:
                    """Pass a heartbeat each way; return who would send another one."""
                    for hub, other in (hubs, hubs[::-1]):
                        link = hub._links_by_id[other.vm_id]
                        link.heartbeats_sent += 1
                        other.receive(hub._make_heartbeat(link))
                    return [
                        link.is_neighbour
                        for hub in hubs
                        for link in hub._links_by_id.values()
                    ]

                # One end that chooses the other is enough.
                hubs[0].update_vms(entries, chosen=frozenset())
                self.assertEqual([True, True], exchange())
                hubs[1].update_vms(entries, chosen=frozenset())
                self.assertEqual([False, False], exchange())
                # Each end hears of it, also if it was not to send another one.
                for hub, other in (hubs, hubs[::-1]):
                    link = hub._links_by_id[other.vm_id]
                    link.set_neighbour(True, now_s=monotonic_clock())
                link = hubs[0]._links_by_id["b"]
                link.heartbeats_sent += 1
                hubs[1].receive(hubs[0]._make_heartbeat(link))
                await wait_until(lambda: not link.is_neighbour)
                # A heartbeat that only answers opens no link.
                frame = hubs[0]._make_heartbeat(
                    PeerLink(
                        vm_id="b", address="", is_neighbour=True, clock=monotonic_clock
                    )
                )
                hubs[1]._drop_link("a")
                hubs[1].receive(frame)
                self.assertEqual({}, hubs[1]._links_by_id)

        asyncio.run(scenario())

    def test_link_that_is_opened_again_is_heard(self) -> None:
        """Guards against numbers that start again, which the peer ignores."""

        async def scenario() -> None:
            async with listening_hubs("a", "b") as (hub, other):
                await wait_until(lambda: bool(other.neighbours()))
                link = hub._links_by_id["b"]
                sent = link.heartbeats_sent = 100
                other.receive(hub._make_heartbeat(link))
                hub._drop_link("b")
                hub.update_vms(list(hub.vms_by_id.values()), chosen=frozenset("b"))
                await wait_until(lambda: other.heard_by_id["a"].sequence > sent)

        asyncio.run(scenario())

    def test_echoes_are_expected_from_the_first_heartbeat_on(self) -> None:
        """Guards against a link that is dialled anew as soon as it has a neighbour."""
        now_s = 100.0
        link = PeerLink(vm_id="b", address="", is_neighbour=False, clock=lambda: now_s)
        now_s += 2 * HEARTBEAT_TIMEOUT_S
        link.set_neighbour(True, now_s=now_s)
        self.assertEqual(now_s, link.echoed_at_s)
        link.set_neighbour(True, now_s=now_s + 1)
        self.assertEqual(now_s, link.echoed_at_s)

    def test_only_echoes_of_sent_heartbeats_count(self) -> None:
        link = PeerLink(
            vm_id="b", address="127.0.0.1:1", is_neighbour=True, clock=lambda: 0.0
        )
        link.heartbeats_sent = 3
        for echo, expected_s in ((5, 0.0), (2, 10.0), (1, 10.0), (3, 10.0)):
            link.record_echo(echo, now_s=10.0)
            self.assertEqual(expected_s, link.echoed_at_s)
        self.assertEqual(3, link.highest_echo)

    def test_silent_peer_is_dialled_on_a_new_socket(self) -> None:
        async def scenario() -> None:
            now = [0.0]
            hub = PeerHub(vm_id="a", boot_epoch_ms=1, keys=KEYS, clock=lambda: now[0])
            async with hub.listen("127.0.0.1:0") as address:
                hub.update_vms(
                    [entry("a", address), entry("b")], chosen=frozenset({"b"})
                )
                link = hub._links_by_id["b"]
                await wait_until(lambda: link.heartbeats_sent >= 1)
                now[0] = 100.0
                hub.send("b", "news", b"wakes the link")
                await wait_until(lambda: link.dial_count == 2)

        asyncio.run(scenario())

    def test_silent_peer_that_neither_end_chooses_is_not_dialled(self) -> None:
        """Guards against a link that is dialled every 7 s without any use."""

        async def scenario() -> None:
            now = [0.0]
            hub = PeerHub(vm_id="a", boot_epoch_ms=1, keys=KEYS, clock=lambda: now[0])
            async with hub.listen("127.0.0.1:0") as address:
                entries = [entry("a", address), entry("b")]
                hub.update_vms(entries, chosen=frozenset({"b"}))
                link = hub._links_by_id["b"]
                await wait_until(lambda: link.heartbeats_sent >= 1)
                link.is_chosen = False
                now[0] = HEARTBEAT_TIMEOUT_S + 1.0
                hub.send("b", "news", b"wakes the link")
                await wait_until(lambda: not link.is_neighbour)
                self.assertEqual(1, link.dial_count)

        asyncio.run(scenario())
