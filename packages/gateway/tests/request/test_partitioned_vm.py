"""Tests of a VM that reaches no target, while its callers and other VMs reach it."""

import asyncio
import itertools

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import IDEMPOTENT, OK
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
INTERVAL_S = 0.1
NUMBERS = itertools.count()


async def send_steadily(vm: GatewayHarness, duration_s: float) -> list[int]:
    """Send requests at a steady rate; returns the statuses of their responses."""
    until_s = monotonic_clock() + duration_s
    pending = []
    while monotonic_clock() < until_s:
        headers = [(b"x-id", b"r%d" % next(NUMBERS)), default_headers()[1]]
        pending.append(asyncio.ensure_future(vm.send_request(headers=headers)))
        await asyncio.sleep(INTERVAL_S)
    return [response.status for response in await asyncio.gather(*pending)]


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
            slow = ScriptedResponse(delay_s=0.02)
            async with open_fleet([slow], [OK], route=route, vms=3) as fleet:
                cut_off, *_ = fleet.vms
                await send_steadily(cut_off, 0.5)
                cut_off.set_link(link)
                await send_steadily(cut_off, CONTACT_S)
                statuses = await send_steadily(cut_off, 2.0)
                served = sum(status == 200 for status in statuses)
                self.assertGreaterEqual(served, SERVED_FRACTION * len(statuses))
                cut_off.set_link(TargetLink.GOOD)
                await asyncio.sleep(1.0)
                self.assertEqual({200}, set(await send_steadily(cut_off, 0.5)))

        asyncio.run(check())
