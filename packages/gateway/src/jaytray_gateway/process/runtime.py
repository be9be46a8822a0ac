"""Runs a gateway process from its options to a planned stop."""

import asyncio
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

import zmq

from jaytray_core.addresses import parse_address
from jaytray_core.clock import MonotonicClock, monotonic_clock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_gateway.connection.caller_app import make_caller_app, make_probe_app
from jaytray_gateway.connection.target_pool import TargetPools
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.crash_guard import CrashGuard
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.gossip import Gossip
from jaytray_gateway.process.lifecycle import Lifecycle
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.membership import Member, Membership, decode_members
from jaytray_gateway.process.metrics import GatewayMetrics, serve_metrics
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.placement.duty import PlacementDuty
from jaytray_gateway.process.rate_gifts import RateGifts
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.repeat_budget import RepeatBudget
from jaytray_gateway.process.replicas import Replicas
from jaytray_gateway.process.request_log import RequestLog
from jaytray_gateway.process.target_choice import TargetChooser
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.request.admission import Admission
from jaytray_gateway.request.request_path import RequestServices
from jaytray_gateway.request.target_search import TargetSearch
from jaytray_gateway.version.route_table import DEFAULT_LIMITS, CallerLimits
from jaytray_server.connection.caller_protocol import CallerTimeouts
from jaytray_server.connection.callers import (
    DEFAULT_TIMEOUTS,
    make_caller_server,
    open_caller_socket,
)
from jaytray_server.connection.peer_link import CurveKeys
from jaytray_server.connection.peer_network import PeerHub
from jaytray_server.process.stop_signals import install_stop_signals
from jaytray_server.process.supervision import supervise

# Part of the revocation bound up to which the own copy of the keys may be old; the
# rest covers the way from the check to the target.
PROOF_PORTION = 0.85
# Age of the copy above which the balancer should send callers elsewhere: a few
# failed reads.
READY_AGE_S = 3.0
# Time after the stop signal for which new requests are served: the balancer needs
# two failed probes, one second apart, and its clients' connections stay open.
LEAVE_BALANCER_S = 2.6
# Part of the grace time after which answers still running are broken off.
GRACE_PORTION = 0.95
# Time before that end in which requests that still wait for a model are refused: they
# look at it four times a second.
LAST_REFUSALS_S = 0.7
HOUSEKEEPING_INTERVAL_S = 1.0
# Time constant of the demand for models: rare ones are asked for every few seconds.
REPLICA_DEMAND_WINDOW_S = 6.0
# Below the adapter's own prefix: one leased record for each member.
MEMBERS = "members/"


class _Parts(NamedTuple):
    """What lives as long as the process."""

    lifecycle: Lifecycle
    directory: Directory
    membership: Membership
    hub: PeerHub
    shares: RateShares
    gifts: RateGifts
    budget: RepeatBudget
    replicas: Replicas
    health: TargetHealth
    pools: TargetPools
    gossip: Gossip
    placement: PlacementDuty
    metrics: GatewayMetrics
    services: RequestServices


async def run_gateway(
    options: GatewayOptions,
    *,
    adapter: PlatformAdapter,
    key_value: KeyValueService,
    lease_key_value: KeyValueService,
    metrics: GatewayMetrics,
    read_options: Callable[[], GatewayOptions],
    clock: MonotonicClock = monotonic_clock,
) -> None:
    """Serve until a planned stop has finished.

    `read_options` reads the settings again, on SIGHUP; it may raise `JaytrayError`.
    `lease_key_value` is a connection that gives calls up sooner, for a lease that is
    renewed several times a second.
    """
    stop = install_stop_signals()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, lambda: _log_reload(options, read_options)
    )
    parts = _build(options, adapter, key_value, lease_key_value, metrics, clock)
    async with AsyncExitStack() as stack:
        if options.metrics_address:
            host, port = parse_address(options.metrics_address)
            stack.enter_context(serve_metrics(metrics, host=host, port=port))
        await stack.enter_async_context(parts.hub.listen(options.peers_address))
        stack.callback(parts.pools.close)
        probe_app = make_probe_app(lambda: _is_ready(parts))
        caller_app = make_caller_app(
            parts.services,
            lifecycle=parts.lifecycle,
            current_limits=lambda: _caller_limits(parts),
            clock=clock,
        )
        await stack.enter_async_context(_serving(probe_app, options.probe_address))
        await stack.enter_async_context(_supervised(_duties(parts, options)))
        async with _serving(
            caller_app,
            options.callers_address,
            current_timeouts=lambda: _caller_timeouts(parts),
        ) as end_callers:
            get_logger().info("gateway_started", members=len(parts.shares.member_ids))
            await stop.wait()
            await _drain(parts, options, clock, end_callers)
    get_logger().info("gateway_stopped")


def _log_reload(
    options: GatewayOptions, read_options: Callable[[], GatewayOptions]
) -> None:
    """Check the settings and tell what the next start will take from them.

    Addresses and bounds are fixed for the life of a process.
    """
    try:
        fresh = read_options()._asdict()
    except JaytrayError as err:
        get_logger().error("settings_unusable", error=str(err))
        return
    in_force = options._asdict()
    changed = sorted(name for name in fresh if fresh[name] != in_force[name])
    get_logger().info("settings_reread", changed=",".join(changed) or "-")


def _build(
    options: GatewayOptions,
    adapter: PlatformAdapter,
    key_value: KeyValueService,
    lease_key_value: KeyValueService,
    metrics: GatewayMetrics,
    clock: MonotonicClock,
) -> _Parts:
    rng = random.Random()
    public_key, secret_key = zmq.curve_keypair()
    directory = Directory(
        key_value=key_value, adapter=adapter, clock=clock, bound_s=options.change_s
    )
    hub = PeerHub(
        vm_id=options.vm_id,
        boot_epoch_ms=time.time_ns() // 1_000_000,
        keys=CurveKeys(public_key, secret_key),
        clock=clock,
    )
    own = Member(
        vm_id=options.vm_id,
        peer_address=options.peers_address,
        failure_domain=options.failure_domain,
        curve_public_key=public_key.decode("ascii"),
    )
    shares = RateShares(own_id=options.vm_id, clock=clock)
    budget = RepeatBudget(
        ratio=options.repeat_ratio,
        extra=options.repeat_extra,
        window_s=options.repeat_window_s,
        clock=clock,
    )
    loads = LoadView(clock=clock)
    health = TargetHealth(clock=clock)
    pools = TargetPools(clock=clock)
    replicas = Replicas(directory=directory, clock=clock)
    replica_demand = DemandAverage(clock=clock, window_s=REPLICA_DEMAND_WINDOW_S)
    peers = hub.functions()
    gifts = RateGifts(
        shares=shares,
        peers=peers,
        current_table=lambda: directory.route_table,
        clock=clock,
        rng=rng,
    )
    gossip = Gossip(
        peers=peers,
        loads=loads,
        shares=shares,
        replicas=replicas,
        replica_demand=replica_demand,
    )
    crash_guard = CrashGuard(clock=clock, tell_peers=gossip.tell_run_end)
    placement = PlacementDuty(
        options=options,
        key_value=lease_key_value,
        adapter=adapter,
        directory=directory,
        gossip=gossip,
        loads=loads,
        health=health,
        metrics=metrics,
        clock=clock,
    )
    gossip.subscribe(crash_guard, placement.take_replica_request)
    lifecycle = Lifecycle()
    admission = Admission(
        directory=directory,
        lifecycle=lifecycle,
        gifts=gifts,
        max_proof_age_s=options.revocation_s * PROOF_PORTION,
    )
    chooser = TargetChooser(
        failure_domain=options.failure_domain, loads=loads, health=health, rng=rng
    )
    services = RequestServices(
        adapter=adapter,
        admission=admission,
        search=TargetSearch(
            replicas=replicas,
            chooser=chooser,
            ask_for_replica=placement.ask,
            lifecycle=lifecycle,
            clock=clock,
        ),
        shares=shares,
        budget=budget,
        loads=loads,
        health=health,
        pools=pools,
        crash_guard=crash_guard,
        replica_demand=replica_demand,
        log=RequestLog(metrics=metrics),
        clock=clock,
        rng=rng,
    )
    parts = _Parts(
        lifecycle=lifecycle,
        directory=directory,
        membership=Membership(
            own=own,
            prefix=adapter.own_prefix + MEMBERS,
            key_value=key_value,
        ),
        hub=hub,
        shares=shares,
        gifts=gifts,
        budget=budget,
        replicas=replicas,
        health=health,
        pools=pools,
        gossip=gossip,
        placement=placement,
        metrics=metrics,
        services=services,
    )
    directory.on_change(lambda: _take_members(parts, adapter.own_prefix + MEMBERS))
    return parts


def _take_members(parts: _Parts, prefix: str) -> None:
    """Pass the members on to all that divide something among them."""
    members_by_id = decode_members(parts.directory.members_by_key, prefix)
    own = parts.membership.own
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
    parts.hub.update_vms(vms, chosen=others)
    if frozenset(members_by_id) != parts.shares.member_ids:
        get_logger().info("members_changed", members=",".join(sorted(members_by_id)))
    parts.shares.set_members(frozenset(members_by_id))
    parts.budget.member_count = len(members_by_id)
    parts.directory.member_count = len(members_by_id)


def _is_ready(parts: _Parts) -> bool:
    """Return whether the balancer should send callers here."""
    return (
        not parts.lifecycle.is_stopping
        and parts.directory.route_table is not None
        and parts.directory.age_s() < READY_AGE_S
    )


def _caller_limits(parts: _Parts) -> CallerLimits:
    table = parts.directory.route_table
    return DEFAULT_LIMITS if table is None else table.limits


def _caller_timeouts(parts: _Parts) -> CallerTimeouts:
    limits = _caller_limits(parts)
    return CallerTimeouts(limits.header_timeout_s, limits.idle_timeout_s)


def _duties(
    parts: _Parts, options: GatewayOptions
) -> dict[str, Callable[[], Awaitable[None]]]:
    return {
        "directory_reads": parts.directory.run_reads,
        "directory_watch": parts.directory.run_watch,
        "membership": parts.membership.run,
        "gossip": parts.gossip.run,
        "placement": parts.placement.run,
        "housekeeping": lambda: _keep_house(parts),
    }


async def _keep_house(parts: _Parts) -> None:
    """Drop what is no longer of use and refresh gauges, once a second."""
    while True:
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        parts.pools.close_stale()
        parts.replicas.drop_old_notices()
        parts.health.keep(frozenset(parts.directory.targets_by_id))
        table = parts.directory.route_table
        if table is not None:
            parts.shares.keep_accounts(table)
            parts.gifts.forget_levels(table)
            parts.metrics.set_gauge("route_table_version", table.version)
        parts.metrics.set_gauge("directory_age_seconds", parts.directory.age_s())
        parts.metrics.set_gauge("members", len(parts.shares.member_ids))
        parts.metrics.set_gauge("targets", len(parts.directory.targets_by_id))
        parts.metrics.set_gauge("connections_opened", parts.pools.opened)


async def _drain(
    parts: _Parts,
    options: GatewayOptions,
    clock: MonotonicClock,
    end_callers: Callable[[], None],
) -> None:
    """Leave the balancer, close idle connections, let running answers finish."""
    signalled_s = clock()
    parts.lifecycle.is_stopping = True
    parts.placement.stop()
    get_logger().info("drain_started", running=parts.lifecycle.running_requests)
    await asyncio.sleep(LEAVE_BALANCER_S)
    end_callers()
    ends_s = signalled_s + options.grace_s * GRACE_PORTION
    while parts.lifecycle.running_requests and clock() < ends_s:
        parts.lifecycle.is_refusing = clock() > ends_s - LAST_REFUSALS_S
        await asyncio.sleep(0.05)
    parts.lifecycle.is_refusing = True
    await parts.membership.leave()
    get_logger().info("drain_finished", running=parts.lifecycle.running_requests)


@asynccontextmanager
async def _supervised(
    duties_by_name: dict[str, Callable[[], Awaitable[None]]],
) -> AsyncIterator[None]:
    tasks = [
        asyncio.create_task(supervise(name, run))
        for name, run in duties_by_name.items()
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def _serving(
    app: object,
    address: str,
    current_timeouts: Callable[[], CallerTimeouts] = lambda: DEFAULT_TIMEOUTS,
) -> AsyncIterator[Callable[[], None]]:
    """Serve HTTP on `address`; gives a function that begins the server's end.

    After it was called, no connection is accepted, idle ones are closed, and each
    of the others closes with its answer.
    """
    with open_caller_socket(address) as listener:
        server = make_caller_server(app, current_timeouts=current_timeouts)
        serving = asyncio.create_task(server.serve(sockets=[listener]))

        def end() -> None:
            server.should_exit = True

        try:
            yield end
        finally:
            server.should_exit = True
            server.force_exit = True
            await asyncio.gather(serving, return_exceptions=True)
