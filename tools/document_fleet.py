"""Simulated VMs that follow the document of one environment, with fault injection.

Used by the tests of the document and by measurements; they run on virtual time. The
key-value service is the in-process stand-in. A fake network with latency, duplication
and partitions carries the messages between VMs.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from jaytray_core.document import store
from jaytray_core.document.model import Document
from jaytray_core.document.parts import Head
from jaytray_core.document.sections import Section
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.tasks import cancel_all
from jaytray_server.ports import PeerHandler, PeerNetwork
from jaytray_server.version.follower import DocumentFollower
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore

ENVIRONMENT = "trial"
_LATENCY_S = 0.001
_FULL_MESH_VMS = 10
_NEIGHBOURS = 6

MakeFollower = Callable[[KeyValueService, PeerNetwork, random.Random], DocumentFollower]


class FakeNetwork:
    """Delivers messages between VMs.

    VMs in `cut_off` are disconnected from all others, those in `down` do not run.
    """

    def __init__(self, *, vm_ids: list[str], seed: int) -> None:
        self.vm_ids = vm_ids
        self.cut_off: set[str] = set()
        self.down: set[str] = set()
        self.duplicates_messages = False
        self.sent_bytes = 0
        self._handlers: dict[str, dict[str, PeerHandler]] = {v: {} for v in vm_ids}
        self._neighbours = _choose_neighbours(vm_ids, random.Random(seed))

    def connected(self, vm_id: str, other: str) -> bool:
        """Return whether two VMs can exchange messages."""
        return not {vm_id, other} & (self.down | self.cut_off)

    def neighbours(self, vm_id: str) -> list[str]:
        """Return the neighbours that a VM is connected with."""
        return [n for n in self._neighbours[vm_id] if self.connected(vm_id, n)]

    def join(self, vm_id: str) -> PeerNetwork:
        """Return the peer network of a newly started VM, with no handlers yet."""
        self._handlers[vm_id] = {}

        def send(receiver: str, topic: str, body: bytes) -> bool:
            if receiver not in self._handlers or not self.connected(vm_id, receiver):
                return False
            self.deliver_later(vm_id, receiver, topic, body)
            return True

        return PeerNetwork(
            vm_id=vm_id,
            send=send,
            broadcast=lambda _topic, _body: None,
            set_handler=self._handlers[vm_id].__setitem__,
            neighbours=lambda: self.neighbours(vm_id),
            listed_vms=lambda: list(self.vm_ids),
        )

    def deliver_later(
        self, sender: str, receiver: str, topic: str, body: bytes
    ) -> None:
        """Deliver a message after the latency; twice if `duplicates_messages`."""
        self.sent_bytes += len(body)
        loop = asyncio.get_running_loop()
        for copy in range(1 + self.duplicates_messages):
            delay_s = _LATENCY_S * (1 + copy)
            loop.call_later(delay_s, self._deliver, sender, receiver, topic, body)

    def _deliver(self, sender: str, receiver: str, topic: str, body: bytes) -> None:
        handler = self._handlers[receiver].get(topic)
        if handler is not None and self.connected(sender, receiver):
            handler(sender, body)


class Fleet:
    """Followers by VM, their key-value service and the documents put in force.

    `changes` lists (VM, boot, version, body digest) in the order of adoption.
    """

    def __init__(
        self,
        *,
        vms: int,
        seed: int = 0,
        make_follower: MakeFollower | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.vm_ids = [f"vm-{number}" for number in range(vms)]
        self.store = KeyValueStore(clock=loop.time, sleep=asyncio.sleep)
        self.network = FakeNetwork(vm_ids=self.vm_ids, seed=seed)
        self.faults_by_vm = {vm_id: FaultSwitches() for vm_id in self.vm_ids}
        self.operator = in_process_key_value(self.store, FaultSwitches())
        self.followers: dict[str, DocumentFollower] = {}
        self.changes: list[tuple[str, int, int, str]] = []
        self._make_follower = make_follower or default_follower
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._boots = dict.fromkeys(self.vm_ids, 0)
        self._seed = seed

    def start(self, vm_ids: Iterable[str]) -> None:
        """Start the process of each VM with nothing in memory."""
        for vm_id in vm_ids:
            self._boots[vm_id] += 1
            self.network.down.discard(vm_id)
            key_value = in_process_key_value(self.store, self.faults_by_vm[vm_id])
            rng = random.Random(f"{vm_id} {self._boots[vm_id]} {self._seed}")
            follower = self._make_follower(key_value, self.network.join(vm_id), rng)
            follower.on_change(self._recorder(vm_id, follower))
            self.followers[vm_id] = follower
            self._tasks[vm_id] = asyncio.create_task(follower.run())

    async def stop(self, vm_ids: Iterable[str]) -> None:
        """End the process of each VM."""
        tasks = []
        for vm_id in list(vm_ids):
            self.network.down.add(vm_id)
            self.followers.pop(vm_id, None)
            tasks += [self._tasks.pop(vm_id)] if vm_id in self._tasks else []
        await cancel_all(tasks)

    async def apply(self, sections: list[Section]) -> Head:
        """Accept `sections` as the next version, based on the one in force."""
        stored = await store.read_head(self.operator, ENVIRONMENT)
        change = store.Change(ENVIRONMENT, stored.version, "operator", "test")
        clock = asyncio.get_running_loop().time
        return await store.apply(self.operator, change, sections, clock=clock)

    def versions(self) -> dict[str, int]:
        """Return the version in force on each live VM."""
        return {vm: f.current().version for vm, f in sorted(self.followers.items())}

    def _recorder(
        self, vm_id: str, follower: DocumentFollower
    ) -> Callable[[Document], None]:
        boot = self._boots[vm_id]

        def record(document: Document) -> None:
            digest = follower.status()["body_digest"]
            self.changes.append((vm_id, boot, document.version, digest))

        return record


def default_follower(
    key_value: KeyValueService, peers: PeerNetwork, rng: random.Random
) -> DocumentFollower:
    """Return the server's follower on the event loop's clock."""
    return DocumentFollower(
        environment=ENVIRONMENT,
        key_value=key_value,
        peers=peers,
        clock=asyncio.get_running_loop().time,
        rng=rng,
    )


def account_section(name: str, rate: int) -> Section:
    """Return the section of a client account."""
    options = {"rate_tokens_per_s": str(rate), "burst_tokens": "1000000"}
    return Section(f"account {name}", options)


def _choose_neighbours(vm_ids: list[str], rng: random.Random) -> dict[str, list[str]]:
    if len(vm_ids) <= _FULL_MESH_VMS:
        return {vm: [o for o in vm_ids if o != vm] for vm in vm_ids}
    chosen: dict[str, set[str]] = {vm_id: set() for vm_id in vm_ids}
    for vm_id in vm_ids:
        others = [other for other in vm_ids if other != vm_id]
        for other in rng.sample(others, _NEIGHBOURS // 2):
            chosen[vm_id].add(other)
            chosen[other].add(vm_id)
    return {vm_id: sorted(others) for vm_id, others in chosen.items()}
