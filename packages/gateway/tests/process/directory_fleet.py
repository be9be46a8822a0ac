"""A group of members that follow a store through its hubs, in virtual time."""

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService, PrefixRead, WatchBatch
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.directory_exchange import DirectoryExchange, HubsToAsk
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.membership import RENEW_INTERVAL_S, RETRY_PAUSE_S
from jaytray_gateway.process.route_table_notices import RouteTableNotices
from jaytray_gateway.process.store_follower import StoreFollower
from jaytray_gateway.process.store_reach import StoreReach
from jaytray_gateway.process.table_exchange import TableExchange
from jaytray_server.ports import PeerHandler
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_directory import ADAPTER

BOUND_S = 3.0
# Members in the fleet, of which the tests run one group.
MEMBERS = 59
TARGETS = 12
WRITE_INTERVAL_S = 0.03
# A member reads the store at the latest at this age of its copy.
MAX_AGE_S = 0.75 * BOUND_S
# A call to the store, or a slow message.
CALL_S = 0.05


TOPICS = (
    "gateway.directory_ask",
    "gateway.directory_answer",
    "gateway.table_ask",
    "gateway.table_answer",
    "gateway.route_table",
)


class StoreCall(NamedTuple):
    member: str
    function: str
    at_s: float


class HubMember:
    """A member, which can be frozen and restarted."""

    def __init__(self, fleet: "HubFleet", own_id: str) -> None:
        self.fleet = fleet
        self.own_id = own_id
        self.faults = FaultSwitches()
        self.restores = 0
        self.updates: Counter[str] = Counter()
        self.is_frozen = False
        self.held: list[tuple[str, str, bytes]] = []
        self.handlers: dict[str, PeerHandler] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.start()

    def start(self) -> None:
        """Start with an empty copy."""
        fleet, own_id = self.fleet, self.own_id
        clock = asyncio.get_running_loop().time
        self.reach = fleet.reach_class()
        self.key_value = key_value = self.reach.observe(self._key_value())
        self.directory = fleet.directory_class(
            key_value=key_value, adapter=ADAPTER, clock=clock
        )
        self.directory.member_count = MEMBERS
        peers = fleet.network.peers_of(own_id)._replace(
            set_handler=lambda topic, handler: self.handlers.update({topic: handler})
        )
        for topic in TOPICS:
            fleet.network.handlers[own_id, topic] = self._receiver(topic)
        exchange = fleet.exchange_class(
            peers=peers,
            directory=self.directory,
            hubs=self._hubs(),
            clock=clock,
            rng=fleet.rng,
            bound_s=BOUND_S,
        )
        self.follower = StoreFollower(
            directory=self.directory,
            key_value=key_value,
            clock=clock,
            rng=fleet.rng,
            bound_s=BOUND_S,
            reach=self.reach,
            exchange=exchange,
            tables=TableExchange(
                peers=peers,
                directory=self.directory,
                key=ADAPTER.route_table_key,
                hubs=self._hubs(),
                clock=clock,
                rng=fleet.rng,
                bound_s=BOUND_S,
            ),
            count_update=lambda source: self.updates.update([source]),
        )
        if fleet.has_notices:
            RouteTableNotices(
                peers=peers, directory=self.directory, follower=self.follower
            )
        self.run()

    def _hubs(self) -> HubsToAsk:
        if not self.fleet.has_groups:
            return lambda: self.fleet.hubs
        topology = FleetTopology(own_id=self.own_id)
        topology.update(self.fleet.member_ids)
        return topology.directory_hubs

    def run(self) -> None:
        self.tasks = [
            asyncio.create_task(run())
            for run in (
                self.follower.run_reads,
                self.follower.run_watch,
                self._renew_lease,
            )
        ]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def freeze(self, duration_s: float) -> None:
        """Run nothing for a while; messages are delivered afterwards."""
        self.is_frozen = True
        await self.stop()
        await asyncio.sleep(duration_s)
        self.is_frozen = False
        for topic, sender, body in self.held:
            self.handlers[topic](sender, body)
        self.held.clear()
        self.run()

    async def _renew_lease(self) -> None:
        """Renew a lease as members do."""
        lease = self.fleet.store.grant_lease(3600.0)
        while True:
            try:
                self.fleet.renewals += 1
                await self.key_value.keep_lease(lease)
            except JaytrayError:
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await wait_until_set(self.reach.lost, RENEW_INTERVAL_S)

    def _receiver(self, topic: str) -> PeerHandler:
        def receive(sender: str, body: bytes) -> None:
            self.fleet.messages[topic] += 1
            self.fleet.message_bytes += len(body)
            if self.is_frozen:
                self.held.append((topic, sender, body))
            else:
                self.handlers[topic](sender, body)

        return receive

    def _key_value(self) -> KeyValueService:
        fleet = self.fleet
        service = in_process_key_value(fleet.store, self.faults, timeout_s=0.6)

        async def watch(prefix: str, after: int, wait_s: float) -> WatchBatch:
            fleet.note_call(self.own_id, "watch")
            await asyncio.sleep(fleet.rng.uniform(0.0, CALL_S))
            batch = await service.watch(prefix, after, wait_s)
            self.restores = fleet.store.restores
            await asyncio.sleep(fleet.rng.uniform(0.0, CALL_S))
            return batch

        async def read_prefix(prefix: str) -> PrefixRead:
            fleet.note_call(self.own_id, "read")
            read = await service.read_prefix(prefix)
            self.restores = fleet.store.restores
            await asyncio.sleep(fleet.rng.uniform(0.0, CALL_S))
            return read

        return service._replace(
            watch=watch, read_prefix=read_prefix, count_restores=lambda: self.restores
        )


class HubFleet:
    """Members of one group; the first two are its hubs unless there are none.

    With `has_groups`, the members are a whole fleet, in the groups that they compute.
    With `has_notices`, they tell each other of new route tables.

    Checks all the time that each copy contains the changes before the time as of which
    it claims to be current, and records the highest age of each copy.
    """

    def __init__(
        self,
        *,
        members: int = 8,
        seed: int = 1,
        has_hubs: bool = True,
        has_groups: bool = False,
        has_notices: bool = False,
        reach_class: type[StoreReach] = StoreReach,
        exchange_class: type[DirectoryExchange] = DirectoryExchange,
        directory_class: type[Directory] = Directory,
    ) -> None:
        self.rng = random.Random(seed)
        self.exchange_class = exchange_class
        self.reach_class = reach_class
        self.has_groups = has_groups
        self.has_notices = has_notices
        self.directory_class = directory_class
        self.clock = asyncio.get_running_loop().time
        self.store = KeyValueStore(clock=self.clock)
        self.member_ids = [f"vm{number}" for number in range(members)]
        self.hubs = tuple(self.member_ids[:2]) if has_hubs else ()
        self.network = MemberNetwork(self.member_ids, self.rng)
        # Reads and watches, without the renewals of leases.
        self.calls: list[StoreCall] = []
        self.renewals = 0
        self.messages: Counter[str] = Counter()
        self.message_bytes = 0
        self.false_ages: list[str] = []
        self.max_age_s_by_id: dict[str, float] = {}
        self._written_at_s = [0.0]
        for number in range(TARGETS):
            self.put(f"targets/t{number}", b"ready")
        self.put("op/table", b"1")
        self.members = [HubMember(self, own_id) for own_id in self.member_ids]
        self._tasks = [
            asyncio.create_task(self._write()),
            asyncio.create_task(self._check()),
        ]

    def put(self, key: str, value: bytes | None) -> None:
        found = self.store.get(key)
        revision = found.revision if found else 0
        self.store.compare_and_swap(key, revision, value, "")
        self._written_at_s.append(self.clock())

    def note_call(self, member: str, function: str) -> None:
        """Record a call to the store."""
        self.calls.append(StoreCall(member, function, self.clock()))

    def reset(self) -> None:
        """Forget calls, messages and ages so far."""
        self.calls.clear()
        self.renewals = 0
        self.messages.clear()
        self.message_bytes = 0
        self.max_age_s_by_id.clear()

    def calls_of_followers(self) -> list[StoreCall]:
        return [call for call in self.calls if call.member not in self.hubs]

    async def end(self) -> None:
        for member in self.members:
            await member.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _write(self) -> None:
        for number in range(10**9):
            await asyncio.sleep(self.rng.uniform(0.2, 1.8) * WRITE_INTERVAL_S)
            key = f"targets/t{number % TARGETS}"
            is_removed = self.store.get(key) and self.rng.random() < 0.2
            self.put(key, None if is_removed else b"ready")

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            for member in self.members:
                directory = member.directory
                if member.is_frozen or not directory.revision:
                    continue
                written = sum(
                    at_s < directory.current_as_of_s for at_s in self._written_at_s[1:]
                )
                if self.store.restores == 0 and directory.revision < written:
                    self.false_ages.append(member.own_id)
                age_s = max(
                    directory.age_s(), self.max_age_s_by_id.get(member.own_id, 0.0)
                )
                self.max_age_s_by_id[member.own_id] = age_s
