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
    list_of_environment,
)
from jaytray_server.process.isolation import watch_isolation
from jaytray_server.process.membership import follow_vm_list
from jaytray_server.process.metrics import make_null_metrics, make_statsd_metrics
from jaytray_server.process.platform import Outside, connect_platform
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
        outside = await stack.enter_async_context(
            connect_platform(options, hub, metrics)
        )
        peers_address = await stack.enter_async_context(
            hub.listen(options.peers_address)
        )
        parts = build_subsystems(options, outside=outside, hub=hub, metrics=metrics)
        stack.push_async_callback(parts.pools.close)
        listener = stack.enter_context(open_caller_socket(options.callers_address))
        server = make_caller_server(make_caller_app(options, parts))
        tasks = _start_duties(options, outside, parts)
        serving = asyncio.create_task(server.serve(sockets=[listener]))
        get_logger().info(
            "listening",
            vm=options.vm_id,
            callers_address=bound_address(listener),
            peers_address=peers_address,
        )
        parts.lifecycle.phase = Phase.READY
        await stop.wait()
        await drain(
            parts.lifecycle,
            balancer_delay_s=options.balancer_delay_s,
            hand_off=lambda: _hand_off(parts, tasks),
        )
        server.should_exit = True
        await serving


def _start_duties(
    options: Options, outside: Outside, parts: Subsystems
) -> dict[str, asyncio.Task[None]]:
    """Start one supervised task per background job; return them by name."""

    def on_vm_list(vms: list[VmEntry], chosen: frozenset[str]) -> None:
        parts.hub.update_vms(vms, chosen=chosen)
        parts.limits.handle_listed_vms(vms)

    def set_isolated(value: bool) -> None:
        parts.lifecycle.is_isolated = value

    members = EnvironmentMembers(
        vm_id=options.vm_id,
        environment=options.environment,
        key_value=outside.key_value,
        clock=monotonic_clock,
    )
    duties_by_name: dict[str, Callable[[], Awaitable[None]]] = {
        "vm_list": lambda: follow_vm_list(
            list_of_environment(outside.vm_list, members),
            vm_id=options.vm_id,
            on_change=on_vm_list,
            poll_interval_s=options.vm_list_poll_s,
        ),
        "isolation": lambda: watch_isolation(
            clock=monotonic_clock,
            contact_s=parts.hub.key_value_contact_s,
            chosen_count=lambda: len(parts.hub.chosen_neighbours()),
            heard_count=lambda: len(parts.hub.neighbours()),
            set_isolated=set_isolated,
        ),
        "document": parts.follower.run,
        "limits": parts.limits.run,
        "observer": parts.observer.run,
        "placement": parts.duties.run,
        "deferred": parts.deferred_runner.run,
        **parts.request_state.duties_by_name(),
    }
    return {
        name: asyncio.create_task(supervise(name, run))
        for name, run in duties_by_name.items()
    }


async def _hand_off(parts: Subsystems, tasks: dict[str, asyncio.Task[None]]) -> None:
    """Release leases, transfer shares to other VMs, and cancel the remaining tasks."""
    await parts.deferred_runner.stop()
    await parts.request_state.close()
    await cancel_all([tasks.pop("placement")])
    await cancel_all([tasks.pop("limits")])
    await parts.limits.leave()
    for task in tasks.values():
        await cancel_all([task])


def _make_metrics(options: Options) -> Metrics:
    if not options.statsd_address:
        return make_null_metrics()
    host, _, port = options.statsd_address.rpartition(":")
    return make_statsd_metrics(
        host=host, port=int(port), prefix=f"{options.statsd_prefix}.{options.vm_id}"
    )
