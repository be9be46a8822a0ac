"""Messages between members: load, demand, outcomes of runs, prompt parts, replicas.

Messages are small, idempotent and may be lost. Load reports are sent directly to every
member that does not report to hubs; `fleet_digests` exchanges those of the others.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_gateway.process.crash_guard import CrashGuard, RunEnd
from jaytray_gateway.process.demand_average import DemandAverage, add_rates
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.load_forecasts import LoadForecast, LoadForecasts
from jaytray_gateway.process.load_view import LoadView, TargetLoad
from jaytray_gateway.process.membership import RecentMembers
from jaytray_gateway.process.peer_sends import send_to_others
from jaytray_gateway.process.prompt_part_guard import PartEvidence, PromptPartGuard
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.replicas import ReplicaNotice, Replicas
from jaytray_gateway.process.target_reach import TargetReach
from jaytray_server.ports import PeerNetwork

# Interval of load reports in a fleet of up to ten members. Longer in larger fleets, so
# that the messages per second of a member stay bounded.
REPORT_INTERVAL_S = 0.2
REPORT_S_PER_MEMBER = 0.02

_REPORT = "gateway.report"
_RUN_END = "gateway.run_end"
_PART_EVIDENCE = "gateway.part_evidence"
_NOTICES = "gateway.notices"
_FORECASTS = "gateway.load_forecasts"
_REPLICA_REQUEST = "gateway.replica_request"


class Report(NamedTuple):
    """A member's requests in flight and its callers' demand by replica.

    `cut_off_services` are those that the member does not reach.
    """

    load_by_target: dict[str, TargetLoad]
    rate_by_replica: dict[str, float]
    replicas_by_target: dict[str, list[str]]
    cut_off_services: list[str] = []


class ReplicaRequest(NamedTuple):
    """Asks the placement leader for a model or adapter that a request waits for.

    `software_version` is that of the targets that can serve the request, None if all
    can.
    """

    service: str
    model: str
    adapter: str
    software_version: str | None = None


class MemberMessages:
    """Sends and receives this member's messages."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        loads: LoadView,
        recent_members: RecentMembers,
        replicas: Replicas,
        replica_demand: DemandAverage,
        forecasts: LoadForecasts,
        reach: TargetReach,
        relays: RelayMembers,
        topology: FleetTopology,
        hub_rates: Callable[[], dict[str, float]],
    ) -> None:
        self.replica_rates_by_member: dict[str, dict[str, float]] = {}
        self._peers = peers
        self._loads = loads
        self._recent_members = recent_members
        self._replicas = replicas
        self._replica_demand = replica_demand
        self._forecasts = forecasts
        self._reach = reach
        self._relays = relays
        self._topology = topology
        self._hub_rates = hub_rates

    def subscribe(
        self,
        crash_guard: CrashGuard,
        part_guard: PromptPartGuard,
        add_replica_request: Callable[[ReplicaRequest], None],
    ) -> None:
        """Register the handlers of the other members' messages."""

        def on_run_end(sender: str, body: bytes) -> None:
            crash_guard.apply_run_end(decode_msgpack(body, RunEnd, peer=sender))

        def on_part_evidence(sender: str, body: bytes) -> None:
            part_guard.apply_evidence(decode_msgpack(body, PartEvidence, peer=sender))

        def on_replica_request(sender: str, body: bytes) -> None:
            add_replica_request(decode_msgpack(body, ReplicaRequest, peer=sender))

        self._peers.set_handler(_REPORT, self._handle_report)
        self._peers.set_handler(_NOTICES, self._handle_notices)
        self._peers.set_handler(_RUN_END, on_run_end)
        self._peers.set_handler(_PART_EVIDENCE, on_part_evidence)
        self._peers.set_handler(_REPLICA_REQUEST, on_replica_request)
        self._peers.set_handler(_FORECASTS, self._handle_forecasts)

    def member_ids(self) -> frozenset[str]:
        """Return the ids of the registered members, including this one."""
        return frozenset(self._peers.listed_vms())

    async def run(self) -> None:
        """Send load reports to members that do not use hubs until cancelled."""
        while True:
            receivers = [
                member
                for member in self.member_ids() - {self._peers.vm_id}
                if not self._topology.takes_part(member)
            ]
            if receivers:
                body = encode_msgpack(self._report())
                for member in receivers:
                    self._peers.send(member, _REPORT, body)
            scaled_s = REPORT_S_PER_MEMBER * len(receivers)
            await asyncio.sleep(max(REPORT_INTERVAL_S, scaled_s))

    def broadcast_run_end(self, run_end: RunEnd) -> None:
        """Notify all members of a broken response, or of a complete one after it."""
        self._broadcast(_RUN_END, encode_msgpack(run_end))

    def broadcast_part_evidence(self, evidence: PartEvidence) -> None:
        """Send an observation about prompt parts to all members."""
        self._broadcast(_PART_EVIDENCE, encode_msgpack(evidence))

    def broadcast_notices(self, notices: list[ReplicaNotice]) -> None:
        """Apply notices of loaded or unloaded replicas and send them to all members."""
        for notice in notices:
            self._replicas.apply_notice(notice)
        self._broadcast(_NOTICES, encode_msgpack(notices))

    def broadcast_forecasts(self, forecasts: list[LoadForecast]) -> None:
        """Apply the leader's forecasts of loads and send them to all members."""
        self._forecasts.apply(forecasts)
        self._broadcast(_FORECASTS, encode_msgpack(forecasts))

    def send_replica_request(self, leader: str, request: ReplicaRequest) -> None:
        """Send a replica request to the placement leader."""
        self._peers.send(leader, _REPLICA_REQUEST, encode_msgpack(request))

    def is_reached_by_others_only(self, service: str) -> bool:
        """Return whether members reach a service that is cut off from this one."""
        is_cut_off = self._reach.is_cut_off(service)
        return is_cut_off and self._relays.choose(service, frozenset()) is not None

    def replica_rates(self) -> dict[str, float]:
        """Return the demand by replica over all members, in engine ms per second."""
        total = self._replica_demand.rates()
        reported = [
            rates
            for member, rates in self.replica_rates_by_member.items()
            if member in self._recent_members.ids
            and not self._topology.takes_part(member)
        ]
        for rates in (*reported, self._hub_rates()):
            add_rates(total, rates)
        return total

    def _report(self) -> Report:
        return Report(
            load_by_target=self._loads.own_loads(),
            rate_by_replica=_rounded(self._replica_demand.rates()),
            replicas_by_target=self._loads.own_replicas(),
            cut_off_services=self._reach.cut_off_services(),
        )

    def _handle_report(self, sender: str, body: bytes) -> None:
        report = decode_msgpack(body, Report, peer=sender)
        self._loads.set_peer_report(
            sender, report.load_by_target, report.replicas_by_target
        )
        self.replica_rates_by_member[sender] = report.rate_by_replica
        self._relays.record_report(sender, set(report.cut_off_services))

    def _handle_notices(self, sender: str, body: bytes) -> None:
        for notice in decode_msgpack(body, list[ReplicaNotice], peer=sender):
            self._replicas.apply_notice(notice)

    def _handle_forecasts(self, sender: str, body: bytes) -> None:
        self._forecasts.apply(decode_msgpack(body, list[LoadForecast], peer=sender))

    def _broadcast(self, topic: str, body: bytes) -> None:
        send_to_others(self._peers, topic, body)


def _rounded(rates: dict[str, float]) -> dict[str, float]:
    return {name: round(rate, 1) for name, rate in rates.items()}
