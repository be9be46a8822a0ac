"""Builds and connects the subsystems of a gateway process."""

import random
import time
from typing import NamedTuple

import zmq

from jaytray_core.clock import MonotonicClock
from jaytray_core.keyvalue import KeyValueService
from jaytray_gateway.connection.table_version_call import ask_table_version
from jaytray_gateway.connection.target_pool import (
    TargetConnectionPool,
    make_target_pools,
)
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.crash_guard import CrashGuard
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.departure_notices import DepartureNotices
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.directory_updates import make_store_follower
from jaytray_gateway.process.engine_speed import EngineSpeeds
from jaytray_gateway.process.evacuations import Evacuations
from jaytray_gateway.process.fleet_digests import FleetDigests
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.hub_notices import HubNotices
from jaytray_gateway.process.item_records import (
    make_quarantine_records,
    make_software_version_records,
)
from jaytray_gateway.process.leased_records import LeasedRecords, RecordKind
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.load_forecasts import LoadForecasts
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.member_messages import MemberMessages
from jaytray_gateway.process.member_updates import MemberUpdates, make_member_updates
from jaytray_gateway.process.membership import (
    Member,
    Membership,
    RecentMembers,
    decode_members,
)
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.placement.controller import PlacementController
from jaytray_gateway.process.placement.fencing_base import (
    FENCING_BASE_KEY,
    FencingBase,
)
from jaytray_gateway.process.prompt_part_guard import PromptPartGuard
from jaytray_gateway.process.rate_grants import RateGrants
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.replicas import Replicas
from jaytray_gateway.process.request_log import RequestLog
from jaytray_gateway.process.retry_budget import RetryBudget
from jaytray_gateway.process.route_table_notices import RouteTableNotices
from jaytray_gateway.process.send_control import build_send_control, max_copy_age_s
from jaytray_gateway.process.software_versions import SoftwareVersions
from jaytray_gateway.process.store_calls import StoreCalls, for_purpose
from jaytray_gateway.process.store_follower import StoreFollower
from jaytray_gateway.process.store_reach import StoreReach
from jaytray_gateway.process.stream_origins import StreamOrigins
from jaytray_gateway.process.table_version_check import TableVersionCheck
from jaytray_gateway.process.target_backoff import TargetBackoff
from jaytray_gateway.process.target_choice import TargetChooser
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.process.target_reach import TargetReach
from jaytray_gateway.request.admission import Admission
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.request.target_search import TargetSearch
from jaytray_server.connection.peer_link import CurveKeys
from jaytray_server.connection.peer_network import PeerHub

# Time constant of the demand average: rare models are requested every few seconds.
REPLICA_DEMAND_WINDOW_S = 6.0
# Prefix of the members' leased records, relative to the platform adapter's own prefix.
MEMBERS_PREFIX = "members/"


class Subsystems(NamedTuple):
    """The subsystems that live as long as the process."""

    lifecycle: Lifecycle
    directory: Directory
    follower: StoreFollower
    membership: Membership
    member_updates: MemberUpdates
    hub: PeerHub
    shares: RateShares
    grants: RateGrants
    replicas: Replicas
    health: TargetHealth
    pools: TargetConnectionPool
    member_messages: MemberMessages
    digests: FleetDigests
    placement: PlacementController
    fencing_base: FencingBase
    version_check: TableVersionCheck
    quarantine_records: LeasedRecords
    software_version_records: LeasedRecords
    metrics: GatewayMetrics
    store_calls: StoreCalls
    services: RequestServices


def build_subsystems(
    options: GatewayOptions,
    adapter: PlatformAdapter,
    key_value: KeyValueService,
    lease_key_value: KeyValueService,
    metrics: GatewayMetrics,
    store_calls: StoreCalls,
    clock: MonotonicClock,
) -> Subsystems:
    """Return the connected subsystems; none of them is started."""
    rng = random.Random()
    store_reach = StoreReach()
    key_value = store_reach.observe(key_value)
    lease_key_value = store_reach.observe(lease_key_value)
    public_key, secret_key = zmq.curve_keypair()
    evacuations = Evacuations(
        clock=clock,
        evacuation_s=options.evacuation_s,
        known_domains=frozenset(options.failure_domains),
    )
    directory = Directory(
        key_value=for_purpose(key_value, "origins"),
        adapter=adapter,
        clock=clock,
        evacuations=evacuations,
    )
    topology = FleetTopology(own_id=options.vm_id)
    hub = PeerHub(
        vm_id=options.vm_id,
        boot_epoch_ms=time.time_ns() // 1_000_000,
        keys=CurveKeys(public_key, secret_key),
        clock=clock,
    )
    relays = RelayMembers(clock=clock, rng=rng)
    own = Member(
        vm_id=options.vm_id,
        peer_address=options.peers_address,
        failure_domain=options.failure_domain,
        curve_public_key=public_key.decode("ascii"),
        relay_address=options.relay_address,
        relay_key=relays.own_key,
    )
    recent_members = RecentMembers(clock=clock)
    shares = RateShares(own_id=options.vm_id, clock=clock)
    budget = RetryBudget(
        ratio=options.repeat_ratio,
        extra=options.repeat_extra,
        window_s=options.repeat_window_s,
        clock=clock,
    )
    loads = LoadView(clock=clock)
    health = TargetHealth(clock=clock)
    pools = make_target_pools(memory=options.memory, clock=clock)
    replicas = Replicas(directory=directory, clock=clock)
    reach = TargetReach(directory=directory, pools=pools, clock=clock, rng=rng)
    replica_demand = DemandAverage(clock=clock, window_s=REPLICA_DEMAND_WINDOW_S)
    forecasts = LoadForecasts(clock=clock)
    notices = HubNotices(
        peers=hub.peer_network(), clock=clock, takes_part=topology.takes_part
    )
    peers = notices.peer_network()
    digests = FleetDigests(
        peers=peers,
        topology=topology,
        loads=loads,
        relays=relays,
        replica_demand=replica_demand,
        cut_off_services=reach.cut_off_services,
        leader_id=lambda: placement.leader_id(),
        boot_epoch_ms=hub.boot_epoch_ms,
        clock=clock,
        rng=rng,
    )
    notices.use_hubs(digests.active_hubs, digests.reporters)
    follower = make_store_follower(
        options=options,
        adapter=adapter,
        directory=directory,
        key_value=key_value,
        reach=store_reach,
        peers=peers,
        topology=topology,
        metrics=metrics,
        clock=clock,
        rng=rng,
    )
    grants = RateGrants(
        shares=shares,
        peers=peers,
        find_account=directory.find_account,
        clock=clock,
        rng=rng,
    )
    member_messages = MemberMessages(
        peers=peers,
        loads=loads,
        recent_members=recent_members,
        replicas=replicas,
        replica_demand=replica_demand,
        forecasts=forecasts,
        reach=reach,
        relays=relays,
        topology=topology,
        hub_rates=digests.hub_rates,
    )
    crash_guard = CrashGuard(
        clock=clock, notify_peers=member_messages.broadcast_run_end
    )
    part_guard = PromptPartGuard(
        clock=clock,
        notify_peers=member_messages.broadcast_part_evidence,
        on_explained=crash_guard.forget_crash,
    )
    reach.on_cut_off(part_guard.withdraw_breaks)

    members_prefix = adapter.records_prefix + MEMBERS_PREFIX

    def other_members() -> list[Member]:
        members_by_id = decode_members(directory.records_by_key, members_prefix)
        return [m for m in members_by_id.values() if m.vm_id != options.vm_id]

    fencing_base = FencingBase(
        own_id=options.vm_id,
        key=adapter.records_prefix + FENCING_BASE_KEY,
        directory=directory,
        other_members=other_members,
        era_start=adapter.era_start,
        key_value=for_purpose(key_value, "fencing_base"),
        clock=clock,
    )
    placement = PlacementController(
        options=options,
        key_value=for_purpose(lease_key_value, "placement"),
        adapter=adapter,
        directory=directory,
        member_messages=member_messages,
        loads=loads,
        health=health,
        metrics=metrics,
        fencing_base=fencing_base,
        clock=clock,
    )
    member_messages.subscribe(crash_guard, part_guard, placement.add_replica_request)
    control = build_send_control(
        options, directory=directory, peers=peers, loads=loads, clock=clock
    )
    backoff = TargetBackoff(clock=clock)
    departures = DepartureNotices(peers=peers, directory=directory)
    RouteTableNotices(peers=peers, directory=directory, follower=follower)
    versions = SoftwareVersions(directory=directory, clock=clock)
    origins = StreamOrigins(
        peers=peers, directory=directory, versions=versions, clock=clock
    )
    directory.on_change(origins.update)
    version_check = TableVersionCheck(
        directory=directory,
        other_members=other_members,
        may_be_outdated=lambda: adapter.era_start(directory.revision) > 0,
        ask=ask_table_version,
        clock=clock,
    )
    lifecycle = Lifecycle()
    admission = Admission(
        directory=directory,
        lifecycle=lifecycle,
        grants=grants,
        max_table_age_s=max_copy_age_s(options),
        is_table_confirmed=version_check.is_confirmed,
    )
    speeds = EngineSpeeds()
    chooser = TargetChooser(
        failure_domain=options.failure_domain,
        loads=loads,
        health=health,
        speeds=speeds,
        has_connection=lambda target: pools.has_idle(target.target_id, target.address),
        rng=rng,
        extra_cost_ms=control.extra_cost_ms,
    )
    services = RequestServices(
        vm_id=options.vm_id,
        adapter=adapter,
        lifecycle=lifecycle,
        admission=admission,
        search=TargetSearch(
            replicas=replicas,
            chooser=chooser,
            request_replica=placement.request_replica,
            permits=control.permits,
            backoff=backoff,
            speeds=speeds,
            forecasts=forecasts,
            member_count=lambda: len(member_messages.member_ids()),
            lifecycle=lifecycle,
            rng=rng,
            clock=clock,
        ),
        shares=shares,
        budget=budget,
        loads=loads,
        health=health,
        pools=pools,
        crash_guard=crash_guard,
        part_guard=part_guard,
        limits=control.limits,
        backoff=backoff,
        brittle=control.brittle,
        cold=control.cold,
        pace=control.pace,
        permits=control.permits,
        departures=departures,
        reach=reach,
        relays=relays,
        replica_demand=replica_demand,
        speeds=speeds,
        origins=origins,
        log=RequestLog(metrics=metrics),
        clock=clock,
        rng=rng,
    )

    def leased_records(prefix: str, kinds: dict[str, RecordKind]) -> LeasedRecords:
        return LeasedRecords(
            kinds_by_name=kinds,
            directory=directory,
            prefix=adapter.records_prefix + prefix,
            own_id=options.vm_id,
            member_ids=lambda: recent_members.ids,
            key_value=for_purpose(key_value, prefix.rstrip("/")),
            clock=clock,
        )

    member_updates = make_member_updates(
        own=own,
        other_members=other_members,
        directory=directory,
        hub=hub,
        topology=topology,
        relays=relays,
        recent_members=recent_members,
        shares=shares,
        budget=budget,
    )
    subsystems = Subsystems(
        lifecycle=lifecycle,
        directory=directory,
        follower=follower,
        membership=Membership(
            own=own,
            prefix=members_prefix,
            key_value=for_purpose(key_value, "member"),
            reach=store_reach,
        ),
        member_updates=member_updates,
        hub=hub,
        shares=shares,
        grants=grants,
        replicas=replicas,
        health=health,
        pools=pools,
        member_messages=member_messages,
        digests=digests,
        placement=placement,
        fencing_base=fencing_base,
        version_check=version_check,
        quarantine_records=make_quarantine_records(
            part_guard, crash_guard, leased_records
        ),
        software_version_records=make_software_version_records(
            versions, leased_records
        ),
        metrics=metrics,
        store_calls=store_calls,
        services=services,
    )
    directory.on_change(member_updates.apply)
    directory.on_change(control.update)
    return subsystems
