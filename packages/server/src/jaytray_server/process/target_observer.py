"""Observation of targets, divided among the VMs.

Each target is read by the first two listed VMs in its rendezvous order, with one task
per target. These observers broadcast digests of the load reports, and every VM
includes its own demand in some of the same messages. Each VM's table therefore covers
every target without reading them all. Most digests omit the residents; a change of
residents is broadcast immediately.

The interval between messages grows with the number of VMs and the size of messages, so
that the traffic that one VM receives and forwards stays below `BYTES_PER_S`. With eight
VMs it is one second; docs/decisions/routing.md calculates it for the design size.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import rank_members
from jaytray_core.targets import LoadReport, Resident
from jaytray_server.ports import CurrentDocument, GetTargetConnection, PeerNetwork
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.demand import Demand, DemandMeter
from jaytray_server.process.target_table import REPORT_STALE_S, TargetTable

TOPIC = "target_digests"
OBSERVERS_PER_TARGET = 2
MIN_MESSAGE_INTERVAL_S = 1.0
MAX_MESSAGE_INTERVAL_S = 60.0
BYTES_PER_S = 1_500
# How often a VM receives or forwards one broadcast message.
COPIES_PER_MESSAGE = 2
READS_PER_S = 4
READ_TIMEOUT_S = 2.0
# Intervals, in messages, at which digests include unchanged residents and at which a
# message includes the demand.
RESIDENTS_MESSAGE_INTERVAL = 10
DEMAND_MESSAGE_INTERVAL = 3

Sleep = Callable[[float], Awaitable[None]]


class TargetDigest(NamedTuple):
    """A load report; `residents` is None if they are as in the last digest."""

    target: str
    boot_id: str
    taken_at_s: float
    residents: list[Resident] | None
    highest_fencing_number: int
    running_requests: int
    queued_requests: int
    tokens_pending: int
    is_leaving: bool


class ObserverMessage(NamedTuple):
    """One VM's broadcast; `demand_by_name` is None in most messages."""

    digests: list[TargetDigest]
    unreachable_targets: list[str]
    demand_by_name: dict[str, Demand] | None


class TargetObserver:
    """Reads this VM's share of the targets and exchanges digests with its peers.

    Run `run()` as one task for the lifetime of the process. `peers` must be in use
    already; the constructor registers the handler of the observer's topic.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        peers: PeerNetwork,
        connection_to: GetTargetConnection,
        current_document: CurrentDocument,
        table: TargetTable,
        cache_index: CacheIndex,
        demand: DemandMeter,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._vm_id = vm_id
        self._peers = peers
        self._connection_to = connection_to
        self._current_document = current_document
        self._table = table
        self._cache_index = cache_index
        self._demand = demand
        self._sleep = sleep
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}
        self._sent_residents_by_target: dict[str, list[Resident]] = {}
        self._unreachable: set[str] = set()
        self._messages_sent = 0
        self.bytes_sent = 0
        peers.set_handler(TOPIC, self.handle_message)

    async def run(self) -> None:
        """Observe targets and send messages until cancelled."""
        try:
            while True:
                self._adjust_tasks()
                size = self.send_message()
                pause_s = message_interval_s(len(self._peers.listed_vms()), size)
                self._table.report_stale_s = max(REPORT_STALE_S, 3 * pause_s)
                await self._sleep(pause_s)
        finally:
            for task in self._tasks_by_target.values():
                task.cancel()
            self._tasks_by_target.clear()

    def observed_targets(self) -> list[str]:
        """Return the targets that this VM should read."""
        members = set(self._peers.listed_vms()) | {self._vm_id}
        return [
            target
            for target in self._current_document().targets_by_name
            if self._vm_id in rank_members(target, members)[:OBSERVERS_PER_TARGET]
        ]

    def send_message(self) -> int:
        """Broadcast one message and return its size in bytes."""
        repeats_residents = self._messages_sent % RESIDENTS_MESSAGE_INTERVAL == 0
        digests = [
            digest
            for target in self._tasks_by_target
            if (digest := self._make_digest(target, repeats_residents)) is not None
        ]
        includes_demand = self._messages_sent % DEMAND_MESSAGE_INTERVAL == 0
        self._messages_sent += 1
        return self._broadcast(
            digests, self._rounded_demand() if includes_demand else None
        )

    def _broadcast(
        self,
        digests: list[TargetDigest],
        demand_by_name: dict[str, Demand] | None,
    ) -> int:
        unreachable = sorted(self._unreachable)
        body = encode_msgpack(ObserverMessage(digests, unreachable, demand_by_name))
        self._peers.broadcast(TOPIC, body)
        self.bytes_sent += len(body)
        return len(body)

    def _rounded_demand(self) -> dict[str, Demand]:
        """Return this VM's demand as whole numbers, which take fewer bytes."""
        return {
            name: Demand(round(d.tokens_per_s), round(d.peak_tokens_per_s))
            for name, d in self._demand.own_demand().items()
            if round(d.peak_tokens_per_s)
        }

    def handle_message(self, sender: str, body: bytes) -> None:
        """Apply a peer's message; a malformed one is logged and dropped."""
        try:
            message = decode_msgpack(body, ObserverMessage, peer=sender)
        except JaytrayError as err:
            get_logger().warning("observer_message_dropped", peer=sender, code=err.code)
            return
        if message.demand_by_name is not None:
            self._demand.record_peer(sender, message.demand_by_name)
        for digest in message.digests:
            self._apply_digest(digest)
        for target in message.unreachable_targets:
            if target not in self._tasks_by_target:
                self._table.record_failure(target)

    async def read_target(self, target: str) -> None:
        """Read a target's load report and cache events once."""
        connection = self._connection_to(target)
        if connection is None:
            return
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                report = await connection.load_report()
                known = self._table.report_of(target)
                if known is not None and known.boot_id != report.boot_id:
                    self._cache_index.forget(target)
                self._table.record_report(report)
                last = self._cache_index.last_sequence(target)
                events = await connection.cache_events(last)
        except (JaytrayError, TimeoutError) as err:
            self._unreachable.add(target)
            self._table.record_failure(target)
            get_logger().warning("target_read_failed", target=target, error=str(err))
            return
        self._unreachable.discard(target)
        self._cache_index.apply_events(target, events)
        if self._sent_residents_by_target.get(target) != report.residents:
            # Other VMs may wait for a model or an adapter; notify them without delay.
            digest = self._make_digest(target, repeats_residents=True)
            self._broadcast([digest] if digest else [], None)

    async def _observe(self, target: str) -> None:
        while True:
            await self.read_target(target)
            await self._sleep(
                max(MIN_MESSAGE_INTERVAL_S, len(self._tasks_by_target) / READS_PER_S)
            )

    def _adjust_tasks(self) -> None:
        wanted = set(self.observed_targets())
        for target in set(self._tasks_by_target) - wanted:
            self._tasks_by_target.pop(target).cancel()
            self._unreachable.discard(target)
        for target in wanted - set(self._tasks_by_target):
            self._tasks_by_target[target] = asyncio.create_task(self._observe(target))
        declared = self._current_document().targets_by_name
        for target in self._table.known_targets() - set(declared):
            self._table.forget(target)
            self._cache_index.forget(target)

    def _make_digest(self, target: str, repeats_residents: bool) -> TargetDigest | None:
        report = self._table.report_of(target)
        if report is None or target in self._unreachable:
            return None
        is_known = self._sent_residents_by_target.get(target) == report.residents
        self._sent_residents_by_target[target] = report.residents
        return TargetDigest(
            report.target,
            report.boot_id,
            report.taken_at_s,
            None if is_known and not repeats_residents else report.residents,
            report.highest_fencing_number,
            report.running_requests,
            report.queued_requests,
            report.tokens_pending,
            report.is_leaving,
        )

    def _apply_digest(self, digest: TargetDigest) -> None:
        known = self._table.report_of(digest.target)
        residents = digest.residents
        if residents is None:
            if known is None or known.boot_id != digest.boot_id:
                return
            residents = known.residents
        self._table.record_report(
            LoadReport(
                digest.target,
                digest.boot_id,
                digest.taken_at_s,
                residents,
                [],
                digest.highest_fencing_number,
                digest.running_requests,
                digest.queued_requests,
                digest.tokens_pending,
                digest.is_leaving,
            )
        )


def message_interval_s(listed_vms: int, message_bytes: int) -> float:
    """Return the message interval in seconds that respects `BYTES_PER_S`."""
    bytes_per_round = listed_vms * message_bytes * COPIES_PER_MESSAGE
    period = math.ceil(bytes_per_round / BYTES_PER_S)
    return min(MAX_MESSAGE_INTERVAL_S, max(MIN_MESSAGE_INTERVAL_S, float(period)))
