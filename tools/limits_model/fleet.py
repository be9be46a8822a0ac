"""A simulated fleet of VMs, each running `AccountLimits` in its own event loop."""

import random
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.document.model import ClientAccount, Document, empty_document
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_server.ports import CurrentDocument, PeerHandler, PeerNetwork
from jaytray_server.process.limits.account_limits import AccountLimits
from jaytray_standins.key_value.store import KeyValueStore
from tools.limits_model.baselines import VmLimits
from tools.limits_model.network import KeyValueLink, PeerLinks
from tools.limits_model.virtual_loop import Schedule, VirtualLoop

VM_LIST_INTERVAL_S = 2.0
NEIGHBOURS = 6


class LimitsSetup(NamedTuple):
    """Arguments from which the limits of one process are built."""

    vm_id: str
    key_value: KeyValueService
    peers: PeerNetwork
    current_document: CurrentDocument
    clock: MonotonicClock
    rng: random.Random


class Outcome:
    """Result of one request.

    `used` holds the reserved tokens until the request is settled, then the used ones.
    """

    def __init__(self, *, account: str, vm_id: str, offered_at: float) -> None:
        self.account = account
        self.vm_id = vm_id
        self.offered_at = offered_at
        self.admitted_at: float | None = None
        self.used = 0
        self.refusal = ""
        self.retry_after_s: float | None = None


def make_limits(setup: LimitsSetup) -> AccountLimits:
    """Return `AccountLimits` built as in the server."""
    return AccountLimits(
        vm_id=setup.vm_id,
        key_value=setup.key_value,
        peers=setup.peers,
        current_document=setup.current_document,
        clock=setup.clock,
        rng=setup.rng,
    )


class Process:
    """One run of the server process on a VM."""

    def __init__(self, *, fleet: "Fleet", vm_id: str, document: Document) -> None:
        self._fleet = fleet
        self.vm_id = vm_id
        self.document = document
        self.loop = VirtualLoop(schedule=fleet.schedule)
        self.is_leaving = False
        self.handlers: dict[str, PeerHandler] = {}
        rng = random.Random(fleet.rng.getrandbits(64))
        self.link = KeyValueLink(
            store=fleet.store, schedule=fleet.schedule, loop=self.loop, rng=rng
        )
        self.link.is_down = fleet.is_key_value_down
        self.limits = fleet.limits_factory(
            LimitsSetup(
                vm_id,
                self.link.service(),
                fleet.peer_network(vm_id, self.handlers),
                lambda: self.document,
                fleet.schedule.clock,
                rng,
            )
        )
        self.loop.create_task(self.limits.run())

    def deliver(self, sender: str, topic: str, body: bytes) -> None:
        """Pass a message to the handler of its topic, in the loop of this process."""
        handler = self.handlers.get(topic)
        if handler is not None:
            self.loop.call_soon(handler, sender, body)

    def apply_document(self, document: Document) -> None:
        """Put a newer document in force in this process; ignore an older one."""
        if document.version > self.document.version:
            self.document = document
            self.limits.follow_document()


class Fleet:
    """The processes by VM, the platform's VM list, links and the key-value store."""

    def __init__(
        self,
        *,
        accounts: list[ClientAccount],
        seed: int,
        limits_factory: Callable[[LimitsSetup], VmLimits] = make_limits,
    ) -> None:
        self.schedule = Schedule()
        self.rng = random.Random(seed)
        self.limits_factory = limits_factory
        self.store = KeyValueStore(clock=self.schedule.clock)
        self.links = PeerLinks(schedule=self.schedule, rng=self.rng)
        self.links.deliver = self._deliver
        self.document = document_of(accounts, version=1)
        self.processes_by_vm: dict[str, Process] = {}
        self.listed: dict[str, VmState] = {}
        # VMs that no other VM receives messages from; recorded here for the tests.
        self.unheard_vms: set[str] = set()
        self.outcomes: list[Outcome] = []
        self.on_admission: Callable[[str], None] = lambda _account: None
        self.is_key_value_down = False
        self._publish_list()

    def start(self, vm_id: str) -> None:
        """Start a process on a VM and add the VM to the platform's list."""
        self.listed[vm_id] = VmState.LIVE
        document = max(
            (p.document for p in self.processes_by_vm.values()),
            key=lambda d: d.version,
            default=self.document,
        )
        self.processes_by_vm[vm_id] = Process(
            fleet=self, vm_id=vm_id, document=document
        )

    def kill(self, vm_id: str) -> None:
        """End the process on a VM at once, without changing the platform's list."""
        process = self.processes_by_vm.pop(vm_id, None)
        if process is not None:
            process.loop.shut_down()

    def remove_from_vm_list(self, vm_id: str) -> None:
        """Remove a VM from the platform's list."""
        self.listed.pop(vm_id, None)

    def leave(self, vm_id: str) -> None:
        """Start a planned stop of the process on a VM."""
        process = self.processes_by_vm[vm_id]
        self.listed[vm_id] = VmState.LEAVING
        process.is_leaving = True
        process.loop.create_task(process.limits.leave())

    def request(
        self,
        vm_id: str,
        account: str,
        tokens: int,
        *,
        used: int,
        run_s: float,
        wait_s: float,
    ) -> Outcome:
        """Send a request to a VM; settle it `run_s` seconds after its admission."""
        outcome = Outcome(account=account, vm_id=vm_id, offered_at=self.schedule.now)
        self.outcomes.append(outcome)
        process = self.processes_by_vm.get(vm_id)
        if process is None:
            outcome.refusal = "vm_dead"
            return outcome

        async def run() -> None:
            functions = process.limits.functions
            try:
                reservation = await functions.reserve(account, tokens, wait_s)
            except JaytrayError as err:
                outcome.refusal = err.code
                outcome.retry_after_s = err.retry_after_s
                return
            outcome.admitted_at = self.schedule.now
            outcome.used = reservation.tokens
            self.on_admission(account)

            def settle() -> None:
                functions.settle(reservation, used)
                outcome.used = min(used, reservation.tokens)

            process.loop.call_later(run_s, settle)

        if process.loop.is_closed():
            outcome.refusal = "vm_dead"
            return outcome

        process.loop.create_task(run())
        return outcome

    def peer_network(self, vm_id: str, handlers: dict[str, PeerHandler]) -> PeerNetwork:
        """Return the peer network as one VM sees it."""

        def listed_vms() -> list[str]:
            return [vm for vm, state in self.listed.items() if state == VmState.LIVE]

        def neighbours() -> list[str]:
            others = [vm for vm in listed_vms() if vm != vm_id]
            start = sum(vm < vm_id for vm in others)
            ring = others[start:] + others[:start]
            return [v for v in ring[:NEIGHBOURS] if not self.links.is_cut(v, vm_id)]

        def set_handler(topic: str, handler: PeerHandler) -> None:
            handlers[topic] = handler

        def send(receiver: str, topic: str, body: bytes) -> bool:
            return self.links.send(vm_id, receiver, topic, body)

        def broadcast(topic: str, body: bytes) -> None:
            for receiver in listed_vms():
                send(receiver, topic, body)

        return PeerNetwork(
            vm_id=vm_id,
            send=send,
            broadcast=broadcast,
            set_handler=set_handler,
            neighbours=neighbours,
            listed_vms=listed_vms,
        )

    def close(self) -> None:
        """End all processes."""
        for vm_id in list(self.processes_by_vm):
            self.kill(vm_id)

    def _deliver(self, receiver: str, sender: str, topic: str, body: bytes) -> None:
        process = self.processes_by_vm.get(receiver)
        if process is not None:
            process.deliver(sender, topic, body)

    def _publish_list(self) -> None:
        entries = [VmEntry(vm, "", "", "", state) for vm, state in self.listed.items()]
        for process in self.processes_by_vm.values():
            process.loop.call_soon(process.limits.handle_listed_vms, entries)
        self.schedule.after(VM_LIST_INTERVAL_S, self._publish_list)


def document_of(accounts: list[ClientAccount], *, version: int) -> Document:
    """Return a document that declares only `accounts`."""
    accounts_by_name = {account.name: account for account in accounts}
    document = empty_document("trial")
    return document._replace(version=version, accounts_by_name=accounts_by_name)
