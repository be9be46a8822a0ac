"""Runs VMs before the same scripted targets, alone or as a fleet."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

from jaytray_core.tasks import cancel_all
from jaytray_gateway.process.membership import Member
from jaytray_gateway.request.relayed_request import make_relay_app
from jaytray_gateway.version.route_table import Route
from jaytray_server.connection.callers import (
    bound_address,
    make_caller_server,
    open_caller_socket,
)
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.request.harness import ROUTE, GatewayHarness
from packages.gateway.tests.request.scripted_target import (
    ScriptedResponse,
    ScriptedTarget,
)


class Fleet(NamedTuple):
    """VMs before the same targets, and the network between them."""

    network: MemberNetwork
    vms: list[GatewayHarness]


@asynccontextmanager
async def _connected_by_relays(vms: list[GatewayHarness]) -> AsyncIterator[None]:
    """Let the VMs check their links, report them, and forward requests."""
    async with AsyncExitStack() as stack:
        members = []
        for vm in vms:
            app = make_relay_app(vm.services, lifecycle=vm.lifecycle)
            server = make_caller_server(app)
            listener = stack.enter_context(open_caller_socket("127.0.0.1:0"))
            tasks = [
                asyncio.create_task(server.serve(sockets=[listener])),
                asyncio.create_task(vm.reach.run()),
            ]
            stack.push_async_callback(cancel_all, tasks)
            address = bound_address(listener)
            members.append(Member(vm.vm_id, "", "a", "", address, vm.relays.own_key))
        for vm in vms:
            vm.relays.update([m for m in members if m.vm_id != vm.vm_id])
        stack.push_async_callback(cancel_all, [asyncio.create_task(_report_links(vms))])
        yield


async def _report_links(vms: list[GatewayHarness]) -> None:
    while True:
        for vm in vms:
            for other in vms:
                other.relays.record_report(vm.vm_id, set(vm.reach.cut_off_services()))
        await asyncio.sleep(0.1)


@asynccontextmanager
async def open_harness(
    *responses: list[ScriptedResponse], route: Route = ROUTE, unreachable: int = 0
) -> AsyncIterator[GatewayHarness]:
    """Yield a harness of one VM with one target for each list of responses.

    Targets are chosen in order, after `unreachable` further ones that are down.
    """
    async with open_fleet(*responses, route=route, unreachable=unreachable) as fleet:
        yield fleet.vms[0]


@asynccontextmanager
async def open_fleet(
    *responses: list[ScriptedResponse],
    route: Route = ROUTE,
    unreachable: int = 0,
    vms: int = 1,
) -> AsyncIterator[Fleet]:
    """Yield several VMs before the same targets; the targets are as in one harness."""
    vm_ids = ["vm", *(f"vm{number}" for number in range(1, vms))]
    network = MemberNetwork(vm_ids, random.Random(1))
    targets = [
        ScriptedTarget(target_id=f"t{number + unreachable}", responses=list(scripted))
        for number, scripted in enumerate(responses)
    ]
    async with AsyncExitStack() as stack:
        for target in targets:
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            target.address = f"{host}:{port}"
            stack.callback(server.close)
        unreachable_targets = [
            ScriptedTarget(target_id=f"t{number}", responses=[])
            for number in range(unreachable)
        ]
        fleet = Fleet(network=network, vms=[])
        for vm_id in vm_ids:
            harness = GatewayHarness(
                route=route,
                targets=[*unreachable_targets, *targets],
                peers=network.peers_of(vm_id),
            )
            fleet.vms.append(harness)
            harness.register_targets()
            stack.callback(harness.pools.close)
            # Give each further target more load, so that they are chosen in order.
            for number, target in enumerate(harness.targets):
                for _ in range(number * 4):
                    harness.loads.start(target.target_id, 0, "", priority=0)
        await stack.enter_async_context(_connected_by_relays(fleet.vms))
        yield fleet


def run_with_harness(
    check: Callable[[GatewayHarness], Awaitable[None]],
    *responses: list[ScriptedResponse],
    route: Route = ROUTE,
    unreachable: int = 0,
) -> None:
    """Run `check` with a new harness."""

    async def run() -> None:
        async with open_harness(
            *responses, route=route, unreachable=unreachable
        ) as harness:
            await check(harness)

    asyncio.run(run())
