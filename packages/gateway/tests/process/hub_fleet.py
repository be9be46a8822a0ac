"""A simulated fleet whose members exchange digests and notices by way of hubs."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from jaytray_core.rendezvous import rank_members
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.fleet_digests import FleetDigests
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.hub_notices import HubNotices
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.membership import Member
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_server.ports import PeerNetwork
from packages.gateway.tests.process.member_network import MemberNetwork


class HubNetwork(MemberNetwork):
    """Counts messages, delivers some twice, and holds those to frozen members."""

    def __init__(self, member_ids: list[str], rng: random.Random) -> None:
        super().__init__(member_ids, rng)
        self.sent_by_member: Counter[str] = Counter()
        self.received_by_member: Counter[str] = Counter()
        self.doubled = 0.0
        self.held_by_frozen: dict[str, list[Callable[[], None]]] = {}

    def peers_of(self, own: str) -> PeerNetwork:
        peers = super().peers_of(own)

        def send(to: str, topic: str, body: bytes) -> bool:
            self.sent_by_member[own] += 1
            if self.rng.random() < self.doubled:
                loop = asyncio.get_running_loop()
                delay_s = self.rng.uniform(0.0, 1.0)
                loop.call_later(delay_s, peers.send, to, topic, body)
            return peers.send(to, topic, body)

        def set_handler(topic: str, handler: Callable[[str, bytes], None]) -> None:
            def receive(sender: str, body: bytes) -> None:
                if own in self.held_by_frozen:
                    self.held_by_frozen[own].append(lambda: receive(sender, body))
                    return
                self.received_by_member[own] += 1
                handler(sender, body)

            peers.set_handler(topic, receive)

        return peers._replace(send=send, set_handler=set_handler)


class SimulatedMember:
    """One member; its clock is that of the loop."""

    def __init__(self, *, own_id: str, network: HubNetwork, boot_epoch_ms: int) -> None:
        clock = asyncio.get_running_loop().time
        self.topology = FleetTopology(own_id=own_id)
        self.loads = LoadView(clock=clock)
        self.relays = RelayMembers(clock=clock, rng=network.rng)
        self.demand = DemandAverage(clock=clock, window_s=6.0)
        self.cut_off: list[str] = []
        self.leader: str | None = None
        self.notices = HubNotices(
            peers=network.peers_of(own_id),
            clock=clock,
            takes_part=self.topology.takes_part,
        )
        self.peers = self.notices.peer_network()
        self.digests = FleetDigests(
            peers=self.peers,
            topology=self.topology,
            loads=self.loads,
            relays=self.relays,
            replica_demand=self.demand,
            cut_off_services=lambda: self.cut_off,
            leader_id=lambda: self.leader,
            boot_epoch_ms=boot_epoch_ms,
            clock=clock,
            rng=network.rng,
        )
        self.notices.use_hubs(self.digests.active_hubs, self.digests.reporters)
        self.heard: list[bytes] = []
        self.peers.set_handler("news", lambda _sender, body: self.heard.append(body))
        self.task = asyncio.create_task(self.digests.run())

    def start_requests(self, count: int, *, target: str = "t") -> None:
        for _ in range(count):
            self.loads.start(target, 10, "m", priority=1)

    def running(self, target: str = "t") -> int:
        return self.loads.load_of(target).running


class HubFleet:
    """Members that know each other from the start."""

    def __init__(self, count: int, *, seed: int = 1) -> None:
        self.ids = [f"gw-{number:03}" for number in range(count)]
        self.network = HubNetwork(self.ids, random.Random(seed))
        self.by_id = {own: self.start_member(own, boot_epoch_ms=1) for own in self.ids}
        self.list_members(self.ids)

    def start_member(self, own_id: str, *, boot_epoch_ms: int) -> SimulatedMember:
        return SimulatedMember(
            own_id=own_id, network=self.network, boot_epoch_ms=boot_epoch_ms
        )

    def list_members(self, ids: list[str]) -> None:
        """Set the registered members in the view of all."""
        self.network.listed = set(ids)
        for own, member in self.by_id.items():
            member.topology.update(ids)
            member.relays.update(
                [Member(vm_id, "", "", "", vm_id) for vm_id in ids if vm_id != own]
            )

    def hubs(self) -> list[str]:
        """Return the first hub of each group as the members see it."""
        return sorted({m.topology.own_hubs()[0] for m in self.by_id.values()})

    def members_of(self, hub: str) -> list[str]:
        """Return the other members of a hub's group in an order that does not vary."""
        return rank_members("any", self.by_id[hub].topology.own_group())

    def lose(self, own_id: str) -> SimulatedMember:
        """End a member without a word; its record stays."""
        self.network.cut_off.add(own_id)
        member = self.by_id.pop(own_id)
        member.task.cancel()
        return member

    async def freeze(self, own_id: str, duration_s: float) -> None:
        """Stop a member for a time, then deliver what was sent to it meanwhile."""
        # The member's timers go on here, but nobody hears it.
        self.network.held_by_frozen[own_id] = []
        self.network.cut_off.add(own_id)
        await asyncio.sleep(duration_s)
        self.network.cut_off.discard(own_id)
        for deliver in self.network.held_by_frozen.pop(own_id):
            deliver()

    async def end(self) -> None:
        for member in self.by_id.values():
            member.task.cancel()
        await asyncio.gather(
            *(member.task for member in self.by_id.values()), return_exceptions=True
        )
