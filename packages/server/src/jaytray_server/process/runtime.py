"""Puts the subsystems together for the life of the process.

`run_server` opens the connections, wires every subsystem through the interfaces in
`ports.py`, starts one supervised task for each duty, serves callers, and on the
first stop signal drains and returns.
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, NamedTuple

from jaytray_core.adapters.key_value_http import open_key_value
from jaytray_core.adapters.target_http import connect_target
from jaytray_core.adapters.vm_list_http import open_vm_list
from jaytray_core.adapters.weight_store_http import open_weight_store
from jaytray_core.clock import monotonic_clock, wall_clock
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.prefix_digests import prefix_digests
from jaytray_core.vm_list import VmEntry, VmList
from jaytray_core.weight_store import WeightStore
from jaytray_server.connection.callers import (
    bound_address,
    make_caller_server,
    open_caller_socket,
)
from jaytray_server.connection.observed_key_value import observe_key_value
from jaytray_server.connection.peer_link import CurveKeys
from jaytray_server.connection.peer_network import PeerHub
from jaytray_server.connection.target_pool import TargetPools
from jaytray_server.options import Options
from jaytray_server.ports import Metrics
from jaytray_server.process.admin_api import make_admin_routes, make_operator_check
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.decision_log import DecisionLog
from jaytray_server.process.deferred.runner import DeferredRunner
from jaytray_server.process.demand import DemandMeter
from jaytray_server.process.isolation import watch_isolation
from jaytray_server.process.limits.account_limits import AccountLimits
from jaytray_server.process.limits.slots import TargetSlots
from jaytray_server.process.membership import follow_vm_list
from jaytray_server.process.metrics import make_null_metrics, make_statsd_metrics
from jaytray_server.process.placement.adapter_loader import make_adapter_loader
from jaytray_server.process.placement.duties import PlacementDuties
from jaytray_server.process.quarantine.admin_routes import make_quarantine_routes
from jaytray_server.process.shutdown import drain, install_stop_signals
from jaytray_server.process.supervision import supervise
from jaytray_server.process.target_observer import TargetObserver
from jaytray_server.process.target_table import TargetTable
from jaytray_server.request.http_api import make_app
from jaytray_server.request.retry import RetryBudget
from jaytray_server.request.routing import make_router
from jaytray_server.request.service_routing import AddressHealth
from jaytray_server.request.services import (
    Lifecycle,
    Phase,
    RequestServices,
    SizeLimits,
    Timeouts,
)
from jaytray_server.request.state import RequestState, make_request_state
from jaytray_server.version.follower import DocumentFollower
from jaytray_server.version.running_streams import RunningStreams

VM_LIST_TIMEOUT_S = 2.0
WEIGHT_STORE_TIMEOUT_S = 2.0


class Outside(NamedTuple):
    """Connections to the platform."""

    key_value: KeyValueService
    vm_list: VmList
    weight_store: WeightStore


class Subsystems(NamedTuple):
    """Everything that lives as long as the process."""

    lifecycle: Lifecycle
    hub: PeerHub
    follower: DocumentFollower
    limits: AccountLimits
    observer: TargetObserver
    duties: PlacementDuties
    table: TargetTable
    decisions: DecisionLog
    pools: TargetPools
    services: RequestServices
    request_state: RequestState
    deferred_runner: DeferredRunner


async def run_server(options: Options) -> None:
    """Serve until a planned stop has finished."""
    stop = install_stop_signals()
    metrics = _make_metrics(options)
    hub = PeerHub(
        vm_id=options.vm_id,
        boot_epoch_ms=time.time_ns() // 1_000_000,
        keys=CurveKeys(options.curve_public_key, options.curve_secret_key),
        clock=monotonic_clock,
    )
    async with AsyncExitStack() as stack:
        outside = await stack.enter_async_context(_connect(options, hub, metrics))
        peers_address = await stack.enter_async_context(
            hub.listen(options.peers_address)
        )
        parts = build(options, outside=outside, hub=hub, metrics=metrics)
        stack.push_async_callback(parts.pools.close)
        listener = stack.enter_context(open_caller_socket(options.callers_address))
        server = make_caller_server(_make_app(options, parts))
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


def build(
    options: Options, *, outside: Outside, hub: PeerHub, metrics: Metrics
) -> Subsystems:
    """Make all subsystems; nothing runs yet."""
    peers = hub.functions()
    rng = random.Random(f"{options.vm_id}-{hub.boot_epoch_ms}")
    decisions = DecisionLog()
    follower = DocumentFollower(
        environment=options.environment,
        key_value=outside.key_value,
        peers=peers,
        metrics=metrics,
        rng=rng,
    )
    pools = TargetPools(
        current_document=follower.current,
        connect=lambda name, address: connect_target(name=name, address=address),
    )
    streams = RunningStreams(current=follower.current)
    follower.on_change(streams.end_withdrawn)
    follower.on_change(lambda _document: pools.retire_undeclared())
    limits = AccountLimits(
        vm_id=options.vm_id,
        key_value=outside.key_value,
        peers=peers,
        current_document=follower.current,
        clock=monotonic_clock,
        metrics=metrics,
    )
    table = TargetTable(clock=monotonic_clock)
    cache_index = CacheIndex(clock=monotonic_clock)
    demand = DemandMeter(clock=monotonic_clock)
    observer = TargetObserver(
        vm_id=options.vm_id,
        peers=peers,
        connection_to=pools.to_target,
        current_document=follower.current,
        table=table,
        cache_index=cache_index,
        demand=demand,
    )
    duties = PlacementDuties(
        vm_id=options.vm_id,
        key_value=outside.key_value,
        peers=peers,
        connection_to=pools.to_target,
        current_document=follower.current,
        weight_store=outside.weight_store,
        table=table,
        demand=demand,
        clock=monotonic_clock,
        decisions=decisions,
    )
    slots = TargetSlots(current_document=follower.current, clock=monotonic_clock)
    lifecycle = Lifecycle()
    request_state = make_request_state(
        key_value=outside.key_value,
        peers=peers,
        clock=monotonic_clock,
        wall_clock=wall_clock,
        boot_id_of=lambda target: _boot_id(table, target),
    )
    services = RequestServices(
        current_document=follower.current,
        register_stream=streams.register,
        limiter=limits.functions,
        acquire_slot=slots.acquire,
        router=make_router(
            table=table,
            cache_index=cache_index,
            current_document=follower.current,
            clock=monotonic_clock,
            random=rng,
            vm_failure_domain=options.failure_domain,
            decisions=decisions,
            demand=demand,
        ),
        connection_to=pools.to_target,
        connection_to_address=pools.to_address,
        prefix_digests=prefix_digests,
        load_adapter=make_adapter_loader(
            want_adapter=duties.want_adapter, table=table, clock=monotonic_clock
        ),
        metrics=metrics,
        clock=monotonic_clock,
        wall_clock=wall_clock,
        lifecycle=lifecycle,
        retry_budget=RetryBudget(),
        service_health=AddressHealth(clock=monotonic_clock),
        idempotency=request_state.idempotency,
        quarantine=request_state.quarantine,
        deferred=request_state.deferred,
        timeouts=Timeouts(),
        sizes=SizeLimits(body_bytes=options.max_body_bytes),
    )
    return Subsystems(
        lifecycle=lifecycle,
        hub=hub,
        follower=follower,
        limits=limits,
        observer=observer,
        duties=duties,
        table=table,
        decisions=decisions,
        pools=pools,
        services=services,
        request_state=request_state,
        deferred_runner=request_state.make_runner(services),
    )


def _boot_id(table: TargetTable, target: str) -> str:
    report = table.report_of(target)
    return report.boot_id if report is not None else ""


def _make_app(options: Options, parts: Subsystems) -> Any:
    check_operator = make_operator_check(options.operator_token_digest)
    admin_routes = make_admin_routes(
        check_operator=check_operator,
        status=lambda: _status(options, parts),
        decisions=parts.decisions,
    )
    quarantine_routes = make_quarantine_routes(
        parts.request_state.quarantine, check_operator=check_operator
    )
    return make_app(parts.services, admin_routes=[*admin_routes, *quarantine_routes])


def _status(options: Options, parts: Subsystems) -> dict[str, Any]:
    return {
        **parts.follower.status(),
        "failure_domain": options.failure_domain,
        "phase": parts.lifecycle.phase,
        "is_isolated": parts.lifecycle.is_isolated,
        "running_answers": parts.lifecycle.running_answers,
        "neighbours": parts.hub.neighbours(),
        "listed_vms": parts.hub.listed_vms(),
        "limit_parts": parts.limits.limiter.parts,
        "placement_groups": parts.duties.held_groups(),
        "unreachable_models": _unreachable_models(parts),
        "peer_bytes_sent": parts.hub.bytes_sent,
        "peer_messages_sent": parts.hub.messages_sent,
    }


def _unreachable_models(parts: Subsystems) -> list[str]:
    return [
        name
        for name in sorted(parts.follower.current().models_by_name)
        if not parts.table.ready_replicas(name)
    ]


def _start_duties(
    options: Options, outside: Outside, parts: Subsystems
) -> dict[str, asyncio.Task[None]]:
    """Start one supervised task for each duty; return them by name."""

    def on_vm_list(vms: list[VmEntry], chosen: frozenset[str]) -> None:
        parts.hub.update_vms(vms, chosen=chosen)
        parts.limits.handle_listed_vms(vms)

    def set_isolated(value: bool) -> None:
        parts.lifecycle.is_isolated = value

    duties_by_name: dict[str, Callable[[], Awaitable[None]]] = {
        "vm_list": lambda: follow_vm_list(
            outside.vm_list,
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
    """Give leases up and shares away, then end the remaining duties."""
    await parts.deferred_runner.stop()
    await parts.request_state.close()
    await _cancel(tasks.pop("placement"))
    await _cancel(tasks.pop("limits"))
    await parts.limits.leave()
    for task in tasks.values():
        await _cancel(task)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@asynccontextmanager
async def _connect(
    options: Options, hub: PeerHub, metrics: Metrics
) -> AsyncIterator[Outside]:
    key_value = open_key_value(
        address=options.key_value_address, timeout_s=options.key_value_timeout_s
    )
    vm_list = open_vm_list(address=options.vm_list_address, timeout_s=VM_LIST_TIMEOUT_S)
    weight_store = open_weight_store(
        address=options.weight_store_address, timeout_s=WEIGHT_STORE_TIMEOUT_S
    )

    def on_contact() -> None:
        hub.own_key_value_contact_s = monotonic_clock()

    try:
        yield Outside(
            key_value=observe_key_value(
                key_value.service, metrics=metrics, on_contact=on_contact
            ),
            vm_list=vm_list.service,
            weight_store=weight_store.service,
        )
    finally:
        for connection in (key_value, vm_list, weight_store):
            await connection.close()


def _make_metrics(options: Options) -> Metrics:
    if not options.statsd_address:
        return make_null_metrics()
    host, _, port = options.statsd_address.rpartition(":")
    return make_statsd_metrics(
        host=host, port=int(port), prefix=f"{options.statsd_prefix}.{options.vm_id}"
    )
