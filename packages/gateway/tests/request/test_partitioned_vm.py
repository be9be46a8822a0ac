"""Tests of a VM that reaches no target, while its callers and other VMs reach it."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_core.tasks import cancel_all
from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import IDEMPOTENT
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import (
    ROUTE,
    GatewayHarness,
    TargetLink,
    default_headers,
    open_fleet,
)

# Stated time within which the VM must serve its callers all the same.
CONTACT_S = 3.0
SERVED_FRACTION = 0.95
# Intervals of requests before and during the cut. The connections opened before it,
# which may live on, are too few for the later ones.
INTERVAL_S = 0.1
CUT_INTERVAL_S = 0.04
RESPONSE_DELAY_S = 0.15
NUMBERS = itertools.count()


async def send_steadily(
    vm: GatewayHarness, duration_s: float, interval_s: float = CUT_INTERVAL_S
) -> list[int]:
    """Send requests at a steady rate; returns the statuses of their responses."""
    until_s = monotonic_clock() + duration_s
    pending = []
    while monotonic_clock() < until_s:
        headers = [(b"x-id", b"r%d" % next(NUMBERS)), default_headers()[1]]
        pending.append(asyncio.ensure_future(vm.send_request(headers=headers)))
        await asyncio.sleep(interval_s)
    return [response.status for response in await asyncio.gather(*pending)]


@asynccontextmanager
async def current_directories(vms: list[GatewayHarness]) -> AsyncIterator[None]:
    """Let the VMs reach the key-value service all the time."""

    async def keep_current() -> None:
        while True:
            for vm in vms:
                vm.directory.current_as_of_s = monotonic_clock()
            await asyncio.sleep(0.1)

    task = asyncio.create_task(keep_current())
    try:
        yield
    finally:
        await cancel_all([task])


class PartitionedVmTests(TestCase):
    """Incident second1 of issue 26 on hoofline."""

    @parameterized.expand(
        [
            (f"{link.value}_{name}", link, route)
            for link in (TargetLink.SILENT, TargetLink.RESET, TargetLink.REFUSING)
            for name, route in (("plain", ROUTE), ("repeatable", IDEMPOTENT))
        ]
    )
    def test_callers_are_served_by_way_of_other_members(
        self, _name: str, link: TargetLink, route: Route
    ) -> None:
        async def check() -> None:
            slow = ScriptedResponse(delay_s=RESPONSE_DELAY_S)
            async with (
                open_fleet([slow], [slow], route=route, vms=3) as fleet,
                current_directories(fleet.vms),
            ):
                cut_off, *_ = fleet.vms
                await send_steadily(cut_off, 0.5, INTERVAL_S)
                cut_off.set_link(link)
                await send_steadily(cut_off, CONTACT_S)
                statuses = await send_steadily(cut_off, 2.0)
                served = sum(status == 200 for status in statuses)
                self.assertGreaterEqual(served, SERVED_FRACTION * len(statuses))
                cut_off.set_link(TargetLink.GOOD)
                await asyncio.sleep(1.0)
                self.assertEqual({200}, set(await send_steadily(cut_off, 0.5)))

        asyncio.run(check())
