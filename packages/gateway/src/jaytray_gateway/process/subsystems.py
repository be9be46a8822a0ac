"""Builds and connects the subsystems of a gateway process."""

import random
import time
from typing import NamedTuple

import zmq

from jaytray_core.clock import MonotonicClock
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_gateway.connection.target_pool import (
    TargetConnectionPool,
    open_small_connection,
)
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.brittle_targets import BrittleTargets
from jaytray_gateway.process.crash_guard import QUARANTINE_S, CrashGuard
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.departure_notices import DepartureNotices
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.engine_speed import EngineSpeeds
from jaytray_gateway.process.leased_records import LeasedRecords, RecordKind
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.load_forecasts import LoadForecasts
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.member_messages import MemberMessages
from jaytray_gateway.process.membership import (
    Member,
    Membership,
    RecentMembers,
    decode_members,
)
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.placement.controller import PlacementController
from jaytray_gateway.process.prompt_part_guard import (
    PART_QUARANTINE_S,
    PromptPartGuard,
)
from jaytray_gateway.process.rate_grants import RateGrants
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.replicas import Replicas
from jaytray_gateway.process.request_log import RequestLog
from jaytray_gateway.process.retry_budget import RetryBudget
from jaytray_gateway.process.route_table_notices import RouteTableNotices
from jaytray_gateway.process.software_versions import (
    VERSION_MEMORY_S,
    SoftwareVersions,
)
from jaytray_gateway.process.store_follower import StoreFollower
from jaytray_gateway.process.stream_origins import StreamOrigins
from jaytray_gateway.process.target_backoff import TargetBackoff
from jaytray_gateway.process.target_choice import TargetChooser
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.process.target_limits import TargetLimits
from jaytray_gateway.process.target_reach import TargetReach
from jaytray_gateway.request.admission import Admission
from jaytray_gateway.request.services import RequestServices
from jaytray_gateway.request.target_search import TargetSearch
from jaytray_server.connection.peer_link import CurveKeys
from jaytray_server.connection.peer_network import PeerHub

# Maximum age of the local copy of the keys as a fraction of the revocation bound; the
# rest covers the time from the check to the arrival at the target.
KEY_AGE_FRACTION = 0.85
# Time constant of the demand average: rare models are requested every few seconds.
REPLICA_DEMAND_WINDOW_S = 6.0
# Prefix of the members' leased records, relative to the platform adapter's own prefix.
MEMBERS_PREFIX = "members/"
# Prefix of the records of quarantined requests and prompt parts.
QUARANTINE_PREFIX = "quarantine/"
# Prefix of the records of software versions, while a service has several.
SOFTWARE_PREFIX = "software/"


class Subsystems(NamedTuple):
    """The subsystems that live as long as the process."""

    lifecycle: Lifecycle
    directory: Directory
    follower: StoreFollower
    membership: Membership
    recent_members: RecentMembers
    hub: PeerHub
    shares: RateShares
    grants: RateGrants
    budget: RetryBudget
    replicas: Replicas
    health: TargetHealth
    pools: TargetConnectionPool
    member_messages: MemberMessages
    placement: PlacementController
    quarantine_records: LeasedRecords
    software_version_records: LeasedRecords
    metrics: GatewayMetrics
    services: RequestServices


def build_subsystems(
    options: GatewayOptions,
    adapter: PlatformAdapter,
    key_value: KeyValueService,
    lease_key_value: KeyValueService,
    metrics: GatewayMetrics,
    clock: MonotonicClock,
) -> Subsystems:
    """Return the connected subsystems; none of them is started."""
    rng = random.Random()
    public_key, secret_key = zmq.curve_keypair()
    directory = Directory(key_value=key_value, adapter=adapter, clock=clock)
    follower = StoreFollower(
        directory=directory,
        key_value=key_value,
        clock=clock,
        rng=rng,
        bound_s=options.change_s,
    )
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
    pools = _make_pools(options, clock)
    replicas = Replicas(directory=directory, clock=clock)
    reach = TargetReach(directory=directory, pools=pools, clock=clock, rng=rng)
    replica_demand = DemandAverage(clock=clock, window_s=REPLICA_DEMAND_WINDOW_S)
    forecasts = LoadForecasts(clock=clock)
    peers = hub.peer_network()
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
    )
    crash_guard = CrashGuard(
        clock=clock, notify_peers=member_messages.broadcast_run_end
    )
    part_guard = PromptPartGuard(
        clock=clock,
        notify_peers=member_messages.broadcast_part_evidence,
        on_explained=crash_guard.forget_crash,
    )
    placement = PlacementController(
        options=options,
        key_value=lease_key_value,
        adapter=adapter,
        directory=directory,
        member_messages=member_messages,
        loads=loads,
        health=health,
        metrics=metrics,
        clock=clock,
    )
    member_messages.subscribe(crash_guard, part_guard, placement.add_replica_request)
    limits = TargetLimits(peers=peers, clock=clock)
    backoff = TargetBackoff(clock=clock)
    brittle = BrittleTargets(
        peers=peers,
        clock=clock,
        running_at=lambda target_id: loads.load_of(target_id).running,
    )
    departures = DepartureNotices(peers=peers, directory=directory)
    RouteTableNotices(peers=peers, directory=directory, follower=follower)
    versions = SoftwareVersions(directory=directory, clock=clock)
    origins = StreamOrigins(
        peers=peers, directory=directory, versions=versions, clock=clock
    )
    directory.on_change(origins.update)
    lifecycle = Lifecycle()
    admission = Admission(
        directory=directory,
        lifecycle=lifecycle,
        grants=grants,
        max_table_age_s=options.revocation_s * KEY_AGE_FRACTION,
    )
    speeds = EngineSpeeds()
    chooser = TargetChooser(
        failure_domain=options.failure_domain,
        loads=loads,
        health=health,
        speeds=speeds,
        has_connection=lambda target: pools.has_idle(target.target_id, target.address),
        rng=rng,
    )
    services = RequestServices(
        vm_id=options.vm_id,
        adapter=adapter,
        admission=admission,
        search=TargetSearch(
            replicas=replicas,
            chooser=chooser,
            request_replica=placement.request_replica,
            limits=limits,
            backoff=backoff,
            brittle=brittle,
            speeds=speeds,
            forecasts=forecasts,
            member_count=lambda: len(member_messages.member_ids()),
            lifecycle=lifecycle,
            clock=clock,
        ),
        shares=shares,
        budget=budget,
        loads=loads,
        health=health,
        pools=pools,
        crash_guard=crash_guard,
        part_guard=part_guard,
        limits=limits,
        backoff=backoff,
        brittle=brittle,
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
            key_value=key_value,
            clock=clock,
        )

    subsystems = Subsystems(
        lifecycle=lifecycle,
        directory=directory,
        follower=follower,
        membership=Membership(
            own=own,
            prefix=adapter.records_prefix + MEMBERS_PREFIX,
            key_value=key_value,
        ),
        recent_members=recent_members,
        hub=hub,
        shares=shares,
        grants=grants,
        budget=budget,
        replicas=replicas,
        health=health,
        pools=pools,
        member_messages=member_messages,
        placement=placement,
        quarantine_records=leased_records(
            QUARANTINE_PREFIX,
            {
                "part": RecordKind(
                    lease_s=PART_QUARANTINE_S,
                    items=part_guard.quarantined,
                    add=part_guard.quarantine,
                    end=part_guard.end_quarantine,
                ),
                "request": RecordKind(
                    lease_s=QUARANTINE_S,
                    items=crash_guard.quarantined,
                    add=crash_guard.quarantine,
                    end=crash_guard.end_quarantine,
                ),
            },
        ),
        software_version_records=leased_records(
            SOFTWARE_PREFIX,
            {
                "version": RecordKind(
                    lease_s=VERSION_MEMORY_S,
                    items=versions.recordable,
                    add=versions.add_recorded,
                    end=versions.end_recorded,
                )
            },
        ),
        metrics=metrics,
        services=services,
    )
    directory.on_change(lambda: apply_members(subsystems))
    return subsystems


def _make_pools(options: GatewayOptions, clock: MonotonicClock) -> TargetConnectionPool:
    """Return the pools, which hold less on VMs that state their memory."""
    if options.memory is None:
        return TargetConnectionPool(clock=clock)
    return TargetConnectionPool(
        clock=clock,
        open_connection=open_small_connection,
        max_buffered_body_bytes=options.memory.response_bytes,
    )


def apply_members(subsystems: Subsystems) -> None:
    """Pass the registered members to the subsystems that use or count them."""
    prefix = subsystems.services.adapter.records_prefix + MEMBERS_PREFIX
    members_by_id = decode_members(subsystems.directory.records_by_key, prefix)
    own = subsystems.membership.own
    members_by_id[own.vm_id] = own
    vms = [
        VmEntry(
            vm_id=member.vm_id,
            peer_address=member.peer_address,
            http_address="",
            failure_domain=member.failure_domain,
            state=VmState.LIVE,
            curve_public_key=member.curve_public_key,
        )
        for member in members_by_id.values()
    ]
    others = frozenset(members_by_id) - {own.vm_id}
    subsystems.services.relays.update(
        [member for member in members_by_id.values() if member.vm_id != own.vm_id]
    )
    subsystems.hub.update_vms(vms, chosen=others)
    subsystems.directory.member_count = len(members_by_id)
    update_counted_members(subsystems)


def update_counted_members(subsystems: Subsystems) -> None:
    """Update the members among which rates and budgets are divided.

    Called periodically too, as members count for a while after their records are
    removed.
    """
    present = frozenset((subsystems.membership.own.vm_id, *subsystems.hub.listed_vms()))
    subsystems.recent_members.update(present)
    counted = subsystems.recent_members.ids
    if counted != subsystems.shares.member_ids:
        get_logger().info(
            "members_changed",
            members=",".join(sorted(present)),
            departed=",".join(sorted(counted - present)) or "-",
        )
    subsystems.shares.set_members(counted)
    subsystems.budget.member_count = len(counted)
