"""Runs a gateway process from startup to a planned stop."""

import asyncio
import itertools
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from jaytray_core.clock import MonotonicClock, monotonic_clock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import cancel_all
from jaytray_gateway.connection.caller_app import (
    make_caller_app,
    make_metrics_app,
    make_probe_app,
)
from jaytray_gateway.connection.caller_servers import CallerServers, limit_buffers
from jaytray_gateway.ports import PlatformAdapter
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.options import GatewayOptions
from jaytray_gateway.process.pause_watch import PauseWatch
from jaytray_gateway.process.peer_traffic import PeerTraffic
from jaytray_gateway.process.store_calls import StoreCalls
from jaytray_gateway.process.subsystems import Subsystems, build_subsystems
from jaytray_gateway.request.relayed_request import make_relay_app
from jaytray_gateway.version.route_table import DEFAULT_CALLER_LIMITS, CallerLimits
from jaytray_server.connection.callers import (
    CallerServer,
    open_caller_socket,
)
from jaytray_server.process.stop_signals import install_stop_signals
from jaytray_server.process.supervision import supervise

# Age of the directory's copy above which the readiness probe fails: a few failed reads.
MAX_READY_AGE_S = 3.0
# Time after the stop signal for which new requests are still served: the load balancer
# needs two failed probes, one second apart, and its clients' connections stay open.
BALANCER_DRAIN_S = 2.6
# End of the grace time in which the process ends. Requests that still run are ended
# before it: those whose response has begun are cut off.
END_S = 0.9
# Fraction of the grace time that requests have from the time at which the signal is
# noticed, which a pause of the process delays.
LEAST_GRACE_FRACTION = 0.85
# Longest time for the final responses of the others.
FINAL_RESPONSES_S = 0.1
DRAIN_CHECK_INTERVAL_S = 0.05
# Time before that deadline at which requests that wait for a model are refused; they
# check for it four times per second.
FINAL_REFUSALS_S = 0.7
HOUSEKEEPING_INTERVAL_S = 1.0
# Interval of the log lines on calls to the key-value service and on peer traffic.
ROUNDS_PER_COUNTS_LINE = 10


async def run_gateway(
    options: GatewayOptions,
    *,
    adapter: PlatformAdapter,
    key_value: KeyValueService,
    lease_key_value: KeyValueService,
    metrics: GatewayMetrics,
    store_calls: StoreCalls,
    read_options: Callable[[], GatewayOptions],
    clock: MonotonicClock = monotonic_clock,
) -> None:
    """Serve until a planned stop is complete.

    `read_options` reads the settings again on SIGHUP; it may raise `JaytrayError`.
    `lease_key_value` is a connection with shorter time limits, for a lease that is
    renewed several times per second.
    """
    stop = install_stop_signals(grace_s=options.grace_s)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, lambda: _log_reload(options, read_options)
    )
    subsystems = build_subsystems(
        options, adapter, key_value, lease_key_value, metrics, store_calls, clock
    )
    pause_watch = PauseWatch(clock=clock, metrics=metrics)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(subsystems.hub.listen(options.peers_address))
        stack.callback(subsystems.pools.close)
        probe_app = make_probe_app(lambda: _is_ready(subsystems))
        caller_app = make_caller_app(
            subsystems.services,
            lifecycle=subsystems.lifecycle,
            current_limits=lambda: _caller_limits(subsystems),
            clock=clock,
        )
        servers = CallerServers(
            memory=options.memory,
            current_limits=lambda: _caller_limits(subsystems),
            metrics=metrics,
            clock=clock,
        )
        probe_server = servers.make_small(probe_app)
        caller_server = servers.make(caller_app)
        open_servers = [probe_server, caller_server]
        await stack.enter_async_context(_serving(probe_server, options.probe_address))
        if options.metrics_address:
            metrics_server = servers.make_small(make_metrics_app(metrics.registry))
            open_servers.append(metrics_server)
            await stack.enter_async_context(
                _serving(metrics_server, options.metrics_address)
            )
        await stack.enter_async_context(
            _supervised(
                {
                    **_background_tasks(subsystems),
                    "caller_sweeps": servers.run_sweeps,
                    "pause_watch": pause_watch.run,
                }
            )
        )
        if options.relay_address:
            relay_app = make_relay_app(
                subsystems.services, lifecycle=subsystems.lifecycle
            )
            relay_server = servers.make_relay(relay_app)
            open_servers.append(relay_server)
            await stack.enter_async_context(
                _serving(
                    relay_server,
                    options.relay_address,
                    limits_buffers=bool(options.memory),
                )
            )
        async with _serving(
            caller_server, options.callers_address, limits_buffers=bool(options.memory)
        ) as caller_port:
            get_logger().info(
                "gateway_started", members=len(subsystems.shares.member_ids)
            )
            await stop.wait()
            signalled_s = clock()
            earliest_s = signalled_s - pause_watch.current_pause_s()
            await _drain(
                subsystems, options, clock, caller_port, earliest_signal_s=earliest_s
            )
            # Each takes a moment to end, so they end at the same time.
            for server in open_servers:
                _end_server(server)
    store_calls.log()
    get_logger().info(
        "gateway_stopped", after_signal_ms=round((clock() - signalled_s) * 1000)
    )


def _log_reload(
    options: GatewayOptions, read_options: Callable[[], GatewayOptions]
) -> None:
    """Check the settings and log which options the next start will change.

    Addresses and bounds are fixed for the lifetime of a process.
    """
    try:
        fresh = read_options()._asdict()
    except JaytrayError as err:
        get_logger().error("settings_unusable", error=str(err))
        return
    in_force = options._asdict()
    changed = sorted(name for name in fresh if fresh[name] != in_force[name])
    get_logger().info("settings_reread", changed=",".join(changed) or "-")


def _is_ready(subsystems: Subsystems) -> bool:
    """Return whether the load balancer should send callers to this process."""
    return (
        not subsystems.lifecycle.is_stopping
        and subsystems.directory.route_table is not None
        and subsystems.directory.age_s() < MAX_READY_AGE_S
        and subsystems.version_check.is_confirmed()
    )


def _caller_limits(subsystems: Subsystems) -> CallerLimits:
    table = subsystems.directory.route_table
    return DEFAULT_CALLER_LIMITS if table is None else table.limits


def _background_tasks(
    subsystems: Subsystems,
) -> dict[str, Callable[[], Awaitable[None]]]:
    return {
        "directory_reads": subsystems.follower.run_reads,
        "directory_watch": subsystems.follower.run_watch,
        "membership": subsystems.membership.run,
        "gossip": subsystems.member_messages.run,
        "digests": subsystems.digests.run,
        "placement": subsystems.placement.run,
        "fencing_base": subsystems.fencing_base.run,
        "version_check": subsystems.version_check.run,
        "target_reach": subsystems.services.reach.run,
        "quarantine_records": subsystems.quarantine_records.run,
        "software_version_records": subsystems.software_version_records.run,
        "housekeeping": lambda: _run_housekeeping(subsystems),
    }


async def _run_housekeeping(subsystems: Subsystems) -> None:
    """Drop stale state and update the gauges once per second."""
    traffic = PeerTraffic(sent_by_topic=subsystems.hub.bytes_by_topic)
    for housekeeping_round in itertools.count(1):
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        traffic.update()
        if housekeeping_round % ROUNDS_PER_COUNTS_LINE == 0:
            subsystems.store_calls.log()
            traffic.log()
        subsystems.member_updates.update_counted()
        subsystems.pools.close_stale()
        subsystems.replicas.drop_expired_notices()
        target_ids = frozenset(subsystems.directory.targets_by_id)
        subsystems.health.retain_targets(target_ids)
        subsystems.services.limits.retain_targets(target_ids)
        subsystems.services.backoff.retain_targets(target_ids)
        subsystems.services.brittle.retain_targets(target_ids)
        subsystems.services.cold.retain_targets(target_ids)
        subsystems.services.pace.retain_targets(target_ids)
        subsystems.services.permits.retain_targets(target_ids)
        table = subsystems.directory.route_table
        if table is not None:
            subsystems.shares.sync_accounts(table)
            subsystems.grants.drop_stale_levels(table)
            subsystems.metrics.set_gauge("route_table_version", table.version)
        subsystems.metrics.set_gauge(
            "directory_age_seconds", subsystems.directory.age_s()
        )
        subsystems.metrics.set_gauge("members", len(subsystems.shares.member_ids))
        subsystems.metrics.set_gauge("targets", len(target_ids))
        subsystems.metrics.set_gauge(
            "targets_limited", subsystems.services.limits.limited_targets()
        )
        subsystems.metrics.set_gauge(
            "targets_brittle", subsystems.services.brittle.count()
        )
        subsystems.metrics.set_gauge(
            "targets_recovering", subsystems.services.pace.count()
        )
        subsystems.metrics.set_gauge("targets_cold", subsystems.services.cold.count())
        evacuations = subsystems.directory.evacuations
        evacuations.update()
        subsystems.metrics.set_gauge("domains_evacuated", evacuations.count())
        subsystems.metrics.set_gauge(
            "services_cut_off", len(subsystems.services.reach.cut_off_services())
        )
        subsystems.metrics.set_gauge(
            "connections_opened", subsystems.pools.opened_connections
        )


async def _drain(
    subsystems: Subsystems,
    options: GatewayOptions,
    clock: MonotonicClock,
    caller_port: CallerServer,
    *,
    earliest_signal_s: float,
) -> None:
    """Fail the readiness probe, then close connections as their responses finish.

    A connection stays until its caller has been sent all of the last response. The
    signal came at `earliest_signal_s` or since, if the process was paused.
    """
    lifecycle = subsystems.lifecycle
    signalled_s = clock()
    ends_s = max(
        earliest_signal_s + options.grace_s - END_S,
        signalled_s + options.grace_s * LEAST_GRACE_FRACTION,
    )
    lifecycle.begin_stop(ends_at_s=ends_s)
    subsystems.placement.stop()
    get_logger().info("drain_started", running=lifecycle.running_requests)
    await asyncio.sleep(max(0.0, earliest_signal_s + BALANCER_DRAIN_S - clock()))
    lifecycle.refuses_late = True
    caller_port.should_exit = True
    while (
        lifecycle.running_requests or caller_port.server_state.connections
    ) and clock() < ends_s:
        lifecycle.is_refusing = clock() > ends_s - FINAL_REFUSALS_S
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    running = lifecycle.running_requests
    lifecycle.end_requests()
    leaving = asyncio.create_task(subsystems.membership.leave())
    latest_s = ends_s + FINAL_RESPONSES_S
    while lifecycle.running_requests and clock() < latest_s:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    await asyncio.wait((leaving,), timeout=max(0.0, latest_s - clock()))
    await cancel_all([leaving])
    get_logger().info(
        "drain_finished",
        running=running,
        after_signal_ms=round((clock() - signalled_s) * 1000),
    )


@asynccontextmanager
async def _supervised(
    runs_by_name: dict[str, Callable[[], Awaitable[None]]],
) -> AsyncIterator[None]:
    tasks = [
        asyncio.create_task(supervise(name, run)) for name, run in runs_by_name.items()
    ]
    try:
        yield
    finally:
        await cancel_all(tasks)


@asynccontextmanager
async def _serving(
    server: CallerServer, address: str, *, limits_buffers: bool = False
) -> AsyncIterator[CallerServer]:
    """Serve HTTP on `address`; yields the server.

    Once its `should_exit` is set, no connection is accepted, idle ones are closed, and
    each of the others is closed after its response.
    """
    with open_caller_socket(address) as listener:
        if limits_buffers:
            limit_buffers(listener)
        serving = asyncio.create_task(server.serve(sockets=[listener]))
        try:
            yield server
        finally:
            _end_server(server)
            await asyncio.gather(serving, return_exceptions=True)


def _end_server(server: CallerServer) -> None:
    """Have the server end without waiting for its connections."""
    server.should_exit = True
    server.force_exit = True
