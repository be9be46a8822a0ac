"""Runs the server process until a planned stop.

`run_server` opens the connections, builds the subsystems, starts one supervised task
per background job and serves callers. On the first stop signal it drains and returns.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from jaytray_core.clock import monotonic_clock
from jaytray_core.logs import get_logger
from jaytray_core.tasks import cancel_all
from jaytray_core.vm_list import VmEntry
from jaytray_server.connection.callers import (
    bound_address,
    make_caller_server,
    open_caller_socket,
)
from jaytray_server.connection.peer_link import CurveKeys
from jaytray_server.connection.peer_network import PeerHub
from jaytray_server.options import Options
from jaytray_server.ports import Metrics
from jaytray_server.process.environment_members import (
    EnvironmentMembers,
    environment_vm_list,
)
from jaytray_server.process.isolation import watch_isolation
from jaytray_server.process.membership import follow_vm_list
from jaytray_server.process.metrics import make_null_metrics, make_statsd_metrics
from jaytray_server.process.platform import PlatformServices, connect_platform
from jaytray_server.process.shutdown import drain
from jaytray_server.process.stop_signals import install_stop_signals
from jaytray_server.process.subsystems import (
    Subsystems,
    build_subsystems,
    make_caller_app,
)
from jaytray_server.process.supervision import supervise
from jaytray_server.request.services import Phase


async def run_server(options: Options) -> None:
    """Serve until a planned stop is complete."""
    stop = install_stop_signals()
    metrics = _make_metrics(options)
    hub = PeerHub(
        vm_id=options.vm_id,
        boot_epoch_ms=time.time_ns() // 1_000_000,
        keys=CurveKeys(options.curve_public_key, options.curve_secret_key),
        clock=monotonic_clock,
    )
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            connect_platform(options, hub, metrics)
        )
        peers_address = await stack.enter_async_context(
            hub.listen(options.peers_address)
        )
        subsystems = build_subsystems(
            options, platform=platform, hub=hub, metrics=metrics
        )
        stack.push_async_callback(subsystems.pools.close)
        listener = stack.enter_context(open_caller_socket(options.callers_address))
        server = make_caller_server(make_caller_app(options, subsystems))
        tasks = _start_tasks(options, platform, subsystems)
        serving = asyncio.create_task(server.serve(sockets=[listener]))
        get_logger().info(
            "listening",
            vm=options.vm_id,
            callers_address=bound_address(listener),
            peers_address=peers_address,
        )
        subsystems.lifecycle.phase = Phase.READY
        await stop.wait()
        await drain(
            subsystems.lifecycle,
            balancer_delay_s=options.balancer_delay_s,
            hand_off=lambda: _hand_off(subsystems, tasks),
        )
        server.should_exit = True
        await serving


def _start_tasks(
    options: Options, platform: PlatformServices, subsystems: Subsystems
) -> dict[str, asyncio.Task[None]]:
    """Start one supervised task per background job; return them by name."""

    def on_vm_list(vms: list[VmEntry], chosen: frozenset[str]) -> None:
        subsystems.hub.update_vms(vms, chosen=chosen)
        subsystems.limits.handle_listed_vms(vms)

    def set_isolated(value: bool) -> None:
        subsystems.lifecycle.is_isolated = value

    members = EnvironmentMembers(
        vm_id=options.vm_id,
        environment=options.environment,
        key_value=platform.key_value,
        clock=monotonic_clock,
    )
    runs_by_name: dict[str, Callable[[], Awaitable[None]]] = {
        "vm_list": lambda: follow_vm_list(
            environment_vm_list(platform.vm_list, members),
            vm_id=options.vm_id,
            on_change=on_vm_list,
            poll_interval_s=options.vm_list_poll_s,
        ),
        "isolation": lambda: watch_isolation(
            clock=monotonic_clock,
            contact_s=subsystems.hub.key_value_contact_s,
            chosen_count=lambda: len(subsystems.hub.chosen_neighbours()),
            heard_count=lambda: len(subsystems.hub.neighbours()),
            set_isolated=set_isolated,
        ),
        "document": subsystems.follower.run,
        "limits": subsystems.limits.run,
        "observer": subsystems.observer.run,
        "placement": subsystems.placement.run,
        "deferred": subsystems.deferred_runner.run,
        **subsystems.request_state.background_tasks_by_name(),
    }
    return {
        name: asyncio.create_task(supervise(name, run))
        for name, run in runs_by_name.items()
    }


async def _hand_off(
    subsystems: Subsystems, tasks: dict[str, asyncio.Task[None]]
) -> None:
    """Release leases, transfer shares to other VMs, and cancel the remaining tasks."""
    await subsystems.deferred_runner.stop()
    await subsystems.request_state.close()
    await cancel_all([tasks.pop("placement")])
    await cancel_all([tasks.pop("limits")])
    await subsystems.limits.leave()
    for task in tasks.values():
        await cancel_all([task])


def _make_metrics(options: Options) -> Metrics:
    if not options.statsd_address:
        return make_null_metrics()
    host, _, port = options.statsd_address.rpartition(":")
    return make_statsd_metrics(
        host=host, port=int(port), prefix=f"{options.statsd_prefix}.{options.vm_id}"
    )
