"""Builds the subsystems and connects them through the interfaces in `ports.py`."""

import random
from typing import Any, NamedTuple

from jaytray_core.adapters.target_http import connect_target
from jaytray_core.clock import monotonic_clock, wall_clock
from jaytray_core.prefix_digests import prefix_digests
from jaytray_server.connection.peer_network import PeerHub
from jaytray_server.connection.scoped_key_value import scope_key_value
from jaytray_server.connection.target_pool import TargetPools
from jaytray_server.options import Options
from jaytray_server.ports import Metrics
from jaytray_server.process.admin_api import make_admin_routes, make_operator_check
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.decision_log import DecisionLog
from jaytray_server.process.deferred.runner import DeferredRunner
from jaytray_server.process.demand import DemandMeter
from jaytray_server.process.limits.account_limits import AccountLimits
from jaytray_server.process.limits.slots import TargetSlots
from jaytray_server.process.placement.adapter_loader import make_adapter_loader
from jaytray_server.process.placement.manager import PlacementManager
from jaytray_server.process.platform import PlatformServices
from jaytray_server.process.quarantine.admin_routes import make_quarantine_routes
from jaytray_server.process.target_observer import TargetObserver
from jaytray_server.process.target_table import TargetTable
from jaytray_server.request.http_api import make_app
from jaytray_server.request.retry import RetryBudget
from jaytray_server.request.routing import make_router
from jaytray_server.request.service_routing import AddressHealth
from jaytray_server.request.services import (
    Lifecycle,
    RequestServices,
    SizeLimits,
    Timeouts,
)
from jaytray_server.request.state import RequestState, make_request_state
from jaytray_server.version.follower import DocumentFollower
from jaytray_server.version.running_streams import RunningStreams


class Subsystems(NamedTuple):
    """All subsystems of the process."""

    lifecycle: Lifecycle
    hub: PeerHub
    follower: DocumentFollower
    limits: AccountLimits
    observer: TargetObserver
    placement: PlacementManager
    table: TargetTable
    decisions: DecisionLog
    pools: TargetPools
    services: RequestServices
    request_state: RequestState
    deferred_runner: DeferredRunner


def build_subsystems(
    options: Options, *, platform: PlatformServices, hub: PeerHub, metrics: Metrics
) -> Subsystems:
    """Build all subsystems without starting their background tasks."""
    peers = hub.peer_network()
    key_value = scope_key_value(
        platform.key_value, prefix=f"environments/{options.environment}/"
    )
    rng = random.Random(f"{options.vm_id}-{hub.boot_epoch_ms}")
    decisions = DecisionLog()
    follower = DocumentFollower(
        environment=options.environment,
        key_value=platform.key_value,
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
        key_value=key_value,
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
        connection_to=pools.pool_for_target,
        current_document=follower.current,
        table=table,
        cache_index=cache_index,
        demand=demand,
    )
    placement = PlacementManager(
        vm_id=options.vm_id,
        key_value=key_value,
        peers=peers,
        connection_to=pools.pool_for_target,
        current_document=follower.current,
        weight_store=platform.weight_store,
        table=table,
        demand=demand,
        clock=monotonic_clock,
        decisions=decisions,
    )
    slots = TargetSlots(
        current_document=follower.current, clock=monotonic_clock, metrics=metrics
    )
    lifecycle = Lifecycle()
    request_state = make_request_state(
        key_value=key_value,
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
        connection_to=pools.pool_for_target,
        connection_to_address=pools.pool_for_address,
        prefix_digests=prefix_digests,
        load_adapter=make_adapter_loader(
            request_adapter=placement.request_adapter,
            table=table,
            clock=monotonic_clock,
        ),
        metrics=metrics,
        clock=monotonic_clock,
        wall_clock=wall_clock,
        lifecycle=lifecycle,
        retry_budget=RetryBudget(),
        address_health=AddressHealth(clock=monotonic_clock),
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
        placement=placement,
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


def make_caller_app(options: Options, subsystems: Subsystems) -> Any:
    """Return the HTTP application for callers and operators."""
    check_operator = make_operator_check(options.operator_token_digest)
    admin_routes = make_admin_routes(
        check_operator=check_operator,
        status=lambda: _status(options, subsystems),
        decisions=subsystems.decisions,
    )
    quarantine_routes = make_quarantine_routes(
        subsystems.request_state.quarantine, check_operator=check_operator
    )
    return make_app(
        subsystems.services, admin_routes=[*admin_routes, *quarantine_routes]
    )


def _status(options: Options, subsystems: Subsystems) -> dict[str, Any]:
    return {
        **subsystems.follower.status(),
        "failure_domain": options.failure_domain,
        "phase": subsystems.lifecycle.phase,
        "is_isolated": subsystems.lifecycle.is_isolated,
        "running_answers": subsystems.lifecycle.running_responses,
        "neighbours": subsystems.hub.neighbours(),
        "listed_vms": subsystems.hub.listed_vms(),
        "limit_parts": subsystems.limits.limiter.parts,
        "placement_groups": subsystems.placement.held_groups(),
        "unreachable_models": _unreachable_models(subsystems),
        "peer_bytes_sent": subsystems.hub.bytes_sent,
        "peer_messages_sent": subsystems.hub.messages_sent,
    }


def _unreachable_models(subsystems: Subsystems) -> list[str]:
    return [
        name
        for name in sorted(subsystems.follower.current().models_by_name)
        if not subsystems.table.ready_replicas(name)
    ]
