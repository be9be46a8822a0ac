"""Exchange of load reports by way of hubs, in fleets that have groups.

A hub sends its members the sum for the fleet. They answer with their reports, which the
hub adds up and sends to the other hubs shortly afterwards, so that a figure is seldom
older than an interval when it arrives. Demand goes to the placement leader only.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import TypedDict

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.hub_demand import HubDemands
from jaytray_gateway.process.hub_sums import (
    HUB_TTL_S,
    HubPart,
    HubReport,
    HubSums,
    LinkSample,
    subtract_loads,
)
from jaytray_gateway.process.load_view import LoadView, TargetLoad
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_server.ports import PeerNetwork

# Longest interval of digests, and the interval in smaller fleets by members: there,
# figures are known elsewhere as soon as by direct reports, which were more frequent.
MAX_INTERVAL_S = 0.4
INTERVAL_S_PER_MEMBER = 0.007
# Part of the interval from a digest until the members' answers are added up: many times
# the latency between failure domains.
COLLECT_FRACTION = 0.25
# A hub that did not answer reports for this long is skipped. With the interval of the
# check and the other hub's first answer, this is within the time for which figures
# count.
SILENT_HUB_S = 1.2
# Time without a digest after which a member reports unasked.
UNASKED_REPORT_S = 0.6
# Time after which a new hub uses its sum although some hubs have not been heard.
MAX_COMPLETION_S = 0.8
# Shortest time between two answers, as a fraction of the interval: digests may be
# doubled, or arrive all at once.
MIN_REPORT_INTERVAL_FRACTION = 0.5
# Interval at which a hub calls members of its group that report elsewhere.
INVITATION_INTERVAL_S = 2.0
# Own reports that are remembered, to subtract the one that a digest contains.
REMEMBERED_REPORTS = 8
# A pause of this process that is longer than this says nothing about other members.
MAX_PAUSE_S = 0.5
# Name under which the load by the other members of the fleet is kept.
_FLEET = "fleet"

_REPORT = "gateway.hub_report"
_PART = "gateway.hub_part"
_DIGEST = "gateway.digest"


class FleetSums(TypedDict):
    """The sum for the fleet, and the hubs that it comes from."""

    load_by_target: dict[str, TargetLoad]
    links: list[LinkSample]
    hubs: list[str]


class Digest(TypedDict):
    """Encoded `FleetSums`, and the number of the receiver's report that they contain.

    The number is 0 if they contain none.
    """

    number: int
    report_number: int
    sums: bytes


class FleetDigests:
    """This member's reports to its hub, and its sums if it is one."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        topology: FleetTopology,
        loads: LoadView,
        relays: RelayMembers,
        replica_demand: DemandAverage,
        cut_off_services: Callable[[], list[str]],
        leader_id: Callable[[], str | None],
        boot_epoch_ms: int,
        clock: MonotonicClock,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._own_id = peers.vm_id
        self._topology = topology
        self._loads = loads
        self._relays = relays
        self._replica_demand = replica_demand
        self._cut_off_services = cut_off_services
        self._leader_id = leader_id
        self._clock = clock
        self._rng = rng
        self._sums = HubSums(clock=clock, rng=rng)
        # Numbers rise over restarts: a process does not send 2**20 messages per ms.
        self._last_number = boot_epoch_ms << 20
        self._hub = ""
        self._loads_by_report: OrderedDict[int, dict[str, TargetLoad]] = OrderedDict()
        self._reported_at_s = -float("inf")
        self._unanswered_since_s: float | None = None
        self._is_serving = False
        self._serving_since_s = -float("inf")
        self._invited_at_s = -float("inf")
        self._unheard_since_s_by_hub: dict[str, float] = {}
        self._demands = HubDemands(peers=peers, loads=loads, clock=clock)
        self._digest_number = 0
        self._digest_at_s = -float("inf")
        self._digest_hubs: list[str] = []
        peers.set_handler(_REPORT, self._handle_report)
        peers.set_handler(_PART, self._handle_part)
        peers.set_handler(_DIGEST, self._handle_digest)

    async def run(self) -> None:
        """Exchange digests until cancelled."""
        await asyncio.sleep(self._rng.uniform(0, MAX_INTERVAL_S))
        while True:
            await self._pause(COLLECT_FRACTION * self._interval_s())
            self._update_own_hub()
            if self._update_service():
                self._send_sums()
            await self._pause((1 - COLLECT_FRACTION) * self._interval_s())
            self._update_own_hub()
            if self._update_service():
                self._send_digests()

    def hub_rates(self) -> dict[str, float]:
        """Return the demand by replica that hubs have sent to this member."""
        return self._demands.rates()

    def active_hubs(self) -> list[str]:
        """Return the hubs through which all members are reached, [] if not known."""
        if not self._topology.is_used():
            return []
        if self._topology.is_first_hub():
            return [self._own_id, *self._sums.hubs()]
        is_recent = self._clock() - self._digest_at_s < SILENT_HUB_S
        return list(self._digest_hubs) if is_recent else []

    def reporters(self) -> list[str]:
        """Return the members that report to this one."""
        return [m for m in self._sums.number_by_member() if m != self._own_id]

    async def _pause(self, pause_s: float) -> None:
        """Sleep; if this process was stopped meanwhile, nobody counts as silent."""
        until_s = self._clock() + pause_s
        await asyncio.sleep(pause_s)
        late_s = self._clock() - until_s
        if late_s > MAX_PAUSE_S:
            self._unanswered_since_s = None
            self._unheard_since_s_by_hub.clear()
            self._is_serving = False

    def _interval_s(self) -> float:
        members = self._topology.member_count()
        if not self._topology.is_used():
            return MAX_INTERVAL_S
        return min(MAX_INTERVAL_S, INTERVAL_S_PER_MEMBER * members)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # As a member of a group.

    def _update_own_hub(self) -> None:
        """Choose the hub to report to, and report unasked if it is new or silent."""
        now_s = self._clock()
        silent_since_s = self._unanswered_since_s
        if silent_since_s is not None and now_s - silent_since_s >= SILENT_HUB_S:
            get_logger().info("hub_silent", peer=self._hub)
            self._topology.mark_silent(self._hub)
        hub = next(iter(self._topology.own_hubs()), "")
        if hub != self._hub:
            self._leave_hub()
            self._hub = hub
            self._reported_at_s = -float("inf")
            if not hub:
                # In a small fleet, members report to each other.
                self._apply({})
        if hub == self._own_id:
            self._sums.record_report(hub, self._make_report())
        elif hub and now_s - self._reported_at_s >= UNASKED_REPORT_S:
            self._send_report()

    def _leave_hub(self) -> None:
        """Take this member's figures out of the sum of the hub that it leaves."""
        self._unanswered_since_s = None
        self._digest_number = 0
        if self._hub == self._own_id:
            self._sums.forget_report(self._own_id)
        elif self._hub:
            empty = HubReport(
                number=self._next_number(),
                is_last=True,
                load_by_target={},
                replicas_by_target={},
                cut_off_services=self._cut_off_services(),
                rate_by_replica={},
            )
            self._send_to_hub(empty)

    def _make_report(self) -> HubReport:
        rates = self._replica_demand.rates()
        return HubReport(
            number=self._next_number(),
            is_last=False,
            load_by_target=self._loads.own_loads(),
            replicas_by_target=self._loads.own_replicas(),
            cut_off_services=self._cut_off_services(),
            rate_by_replica={name: round(rate, 1) for name, rate in rates.items()},
        )

    def _send_report(self) -> None:
        now_s = self._clock()
        self._reported_at_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        self._send_to_hub(self._make_report())

    def _send_to_hub(self, report: HubReport) -> None:
        self._loads_by_report[report["number"]] = report["load_by_target"]
        while len(self._loads_by_report) > REMEMBERED_REPORTS:
            self._loads_by_report.popitem(last=False)
        self._peers.send(self._hub, _REPORT, encode_msgpack(report))

    def _handle_digest(self, sender: str, body: bytes) -> None:
        digest = decode_msgpack(body, Digest, peer=sender)
        self._topology.mark_heard(sender)
        hub = next(iter(self._topology.own_hubs()), "")
        if sender != hub:
            return
        if hub != self._hub:
            self._update_own_hub()
            return
        own_loads = self._loads_by_report.get(digest["report_number"])
        is_late = digest["number"] <= self._digest_number and self.active_hubs()
        if own_loads is not None and not is_late:
            sums = decode_msgpack(digest["sums"], FleetSums, peer=sender)
            self._unanswered_since_s = None
            self._digest_number = digest["number"]
            self._digest_at_s = self._clock()
            self._digest_hubs = sums["hubs"]
            self._apply(subtract_loads(sums["load_by_target"], own_loads))
            self._record_links(sums["links"])
        since_report_s = self._clock() - self._reported_at_s
        if since_report_s >= MIN_REPORT_INTERVAL_FRACTION * self._interval_s():
            self._send_report()

    def _apply(self, loads_by_others: dict[str, TargetLoad]) -> None:
        self._loads.set_peer_report(_FLEET, loads_by_others, {})

    def _record_links(self, links: list[LinkSample]) -> None:
        for sample in links:
            self._relays.record_report(sample.member, set(sample.cut_off_services))

    # As a hub.

    def _update_service(self) -> bool:
        """Return whether this member is a hub, in its own view or in others'.

        A new hub sends its sum at once, which other hubs answer with theirs: members
        that turn to it have had no digest for a while.
        """
        was_serving = self._is_serving
        self._is_serving = self._topology.is_first_hub() or bool(self.reporters())
        if self._is_serving and not was_serving:
            self._serving_since_s = self._clock()
            self._send_sums()
            pause_s = COLLECT_FRACTION * self._interval_s()
            asyncio.get_running_loop().call_later(pause_s, self._send_digests)
        return self._is_serving

    def _is_complete(self) -> bool:
        """Return whether the other hubs' sums have arrived, or had the time for it."""
        is_new = self._clock() - self._serving_since_s < MAX_COMPLETION_S
        return not is_new or self._topology.other_hubs() <= {*self._sums.hubs()}

    def _handle_report(self, sender: str, body: bytes) -> None:
        report = decode_msgpack(body, HubReport, peer=sender)
        self._topology.mark_heard(sender)
        if self._sums.record_report(sender, report):
            self._relays.record_report(sender, set(report["cut_off_services"]))
            self._update_service()

    def _handle_part(self, sender: str, body: bytes) -> None:
        part = decode_msgpack(body, HubPart, peer=sender)
        self._topology.mark_heard(sender)
        self._unheard_since_s_by_hub.pop(sender, None)
        is_new = sender not in self._sums.hubs()
        if self._sums.record_part(sender, part):
            self._record_links(part["links"])
        if is_new and self._is_serving:
            own_part = self._sums.own_part(self._next_number())
            self._peers.send(sender, _PART, encode_msgpack(own_part))

    def _send_digests(self) -> None:
        """Send the sum for the fleet to the members that report to this one."""
        if not self._is_complete():
            return
        part = self._sums.own_part(0)
        loads = self._sums.fleet_loads(part)
        sums = FleetSums(
            load_by_target=loads,
            links=self._sums.fleet_links(part),
            hubs=[self._own_id, *self._sums.hubs()],
        )
        body = encode_msgpack(sums)
        number_by_member = self._sums.number_by_member()
        receivers = {m: n for m, n in number_by_member.items() if m != self._own_id}
        now_s = self._clock()
        if (
            self._topology.is_first_hub()
            and now_s - self._invited_at_s >= INVITATION_INTERVAL_S
        ):
            self._invited_at_s = now_s
            receivers = dict.fromkeys(sorted(self._topology.own_group()), 0) | receivers
        number = self._next_number()
        for member, report_number in receivers.items():
            digest = Digest(number=number, report_number=report_number, sums=body)
            self._peers.send(member, _DIGEST, encode_msgpack(digest))
        self._apply_own_sums(loads)

    def _apply_own_sums(self, loads: dict[str, TargetLoad]) -> None:
        """Use the sums here too, unless another hub's digests contain them."""
        if self._hub == self._own_id and self._is_complete():
            own = self._sums.loads_of(self._own_id)
            self._apply(subtract_loads(loads, own))

    def _send_sums(self) -> None:
        """Send the sum of the reports received here to hubs and the leader."""
        part = self._sums.own_part(self._next_number())
        self._apply_own_sums(self._sums.fleet_loads(part))
        hubs = self._topology.other_hubs() | {
            *self._topology.own_hubs()[:1],
            *self._sums.hubs(),
        }
        body = encode_msgpack(part)
        unheard = self._unheard_since_s_by_hub
        for hub in unheard.keys() - hubs:
            del unheard[hub]
        for hub in sorted(hubs - {self._own_id}):
            self._watch_hub(hub)
            self._peers.send(hub, _PART, body)
        self._send_demand()

    def _watch_hub(self, hub: str) -> None:
        """Skip another group's hub if it has not been heard since it was first told."""
        now_s = self._clock()
        since_s = self._unheard_since_s_by_hub.setdefault(hub, now_s)
        if now_s - since_s >= HUB_TTL_S and hub not in self._topology.own_hubs():
            del self._unheard_since_s_by_hub[hub]
            get_logger().info("hub_silent", peer=hub)
            self._topology.mark_silent(hub)

    def _send_demand(self) -> None:
        leader = self._leader_id()
        if leader is None or not self._topology.takes_part(leader):
            return
        demand = self._sums.demand(self._next_number(), leader=leader)
        self._demands.send(leader, demand)
