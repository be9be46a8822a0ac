"""Tests of a VM that reaches no target, while its callers and other VMs reach it."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_core.tasks import cancel_all
from jaytray_gateway.process.target_health import INITIAL_AVOID_S
from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import EVENTS, IDEMPOTENT, REST, RESUMABLE
from packages.gateway.tests.request.harness import (
    ROUTE,
    GatewayHarness,
    TargetLink,
    default_headers,
)
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import open_fleet

# Stated time within which the VM must serve its callers all the same.
CONTACT_S = 3.0
SERVED_FRACTION = 0.95
# Intervals of requests before and during the cut. The connections opened before it,
# which may live on, are too few for the later ones.
INTERVAL_S = 0.1
CUT_INTERVAL_S = 0.04
RESPONSE_DELAY_S = 0.15
NUMBERS = itertools.count()
REST_ONLY = ScriptedResponse(body=REST, is_stream=True)
# A route whose streams the forwarding member may not resume itself.
ONE_RUN = RESUMABLE._replace(max_attempts=1)


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

    def test_streams_and_refusals_of_the_other_member_reach_the_caller(self) -> None:
        async def check() -> None:
            events = ScriptedResponse(body=EVENTS, is_stream=True)
            async with open_fleet([events], route=RESUMABLE, vms=2) as fleet:
                cut_off, other = fleet.vms
                cut_off.set_link(TargetLink.RESET)
                await cut_off.send_request()
                received = await cut_off.send_request()
                self.assertEqual((EVENTS, True), (received.body, received.is_whole))
                other.directory.targets_by_id = {}
                received = await cut_off.send_request()
                self.assertEqual((503, b"not_run"), (received.status, received.body))
                self.assertIn(b"retry-after", received.headers)

        asyncio.run(check())

    def test_stream_that_breaks_on_its_way_through_a_member_is_not_joined(self) -> None:
        # The VM does not know the software version at which another member began it.
        async def check() -> None:
            cut = ScriptedResponse(body=EVENTS, is_stream=True, is_complete=False)
            async with open_fleet([cut], [REST_ONLY], route=ONE_RUN, vms=3) as fleet:
                cut_off, *_ = fleet.vms
                cut_off.set_link(TargetLink.RESET)
                await cut_off.send_request()
                bodies = []
                for _ in range(4):
                    bodies.append((await cut_off.send_request()).body)
                    await asyncio.sleep(INITIAL_AVOID_S)
                self.assertNotIn(EVENTS + REST, bodies)
                self.assertIn(EVENTS, bodies)

        asyncio.run(check())

    def test_requests_with_another_key_are_not_forwarded(self) -> None:
        async def check() -> None:
            async with open_fleet([ScriptedResponse()], vms=2) as fleet:
                cut_off, other = fleet.vms
                cut_off.set_link(TargetLink.RESET)
                await cut_off.send_request()
                sends = len(other.targets[0].heads)
                other.relays.own_key = "changed"
                received = await cut_off.send_request()
                self.assertNotEqual(200, received.status)
                self.assertEqual(sends, len(other.targets[0].heads))

        asyncio.run(check())
