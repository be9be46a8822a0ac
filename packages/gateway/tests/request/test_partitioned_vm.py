"""Tests of a VM that reaches no target, while its callers and other VMs reach it."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_core.tasks import cancel_all
from jaytray_gateway.process.membership import Member
from jaytray_gateway.process.target_health import INITIAL_AVOID_S
from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import (
    EVENTS,
    IDEMPOTENT,
    REST,
    RESUMABLE,
    STREAM,
)
from packages.gateway.tests.request.harness import (
    ROUTE,
    GatewayHarness,
    TargetLink,
    default_headers,
)
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import Fleet, open_fleet

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


@asynccontextmanager
async def responding(head: bytes) -> AsyncIterator[str]:
    """Yield the address of a server that sends `head` in response to any request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        writer.write(head)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


async def cut_off_first(fleet: Fleet) -> GatewayHarness:
    """Return the first VM once it knows that it reaches no target."""
    vm = fleet.vms[0]
    vm.set_link(TargetLink.RESET)
    await vm.send_request()
    return vm


class RestartedMemberTests(TestCase):
    """Callers got the 403 with which a member refuses the key of its last start."""

    @parameterized.expand(
        [("plain", ROUTE), ("repeatable", IDEMPOTENT), ("stream", STREAM)]
    )
    def test_refusal_by_a_restarted_member_does_not_reach_the_caller(
        self, _name: str, route: Route
    ) -> None:
        async def check() -> None:
            async with open_fleet([ScriptedResponse()], route=route, vms=2) as fleet:
                cut_off = await cut_off_first(fleet)
                fleet.vms[1].relays.own_key = "of a later start"
                received = await cut_off.send_request()
                self.assertEqual((503, b"not_run"), (received.status, received.body))

        asyncio.run(check())

    def test_another_member_forwards_what_a_restarted_one_refused(self) -> None:
        async def check() -> None:
            async with open_fleet([ScriptedResponse()], vms=3) as fleet:
                cut_off = await cut_off_first(fleet)
                fleet.vms[1].relays.own_key = "of a later start"
                statuses = await send_steadily(cut_off, 1.0)
                self.assertEqual({200}, set(statuses))

        asyncio.run(check())

    def test_restarted_member_forwards_again_once_its_key_is_known(self) -> None:
        async def check() -> None:
            async with open_fleet([ScriptedResponse()], vms=2) as fleet:
                cut_off = await cut_off_first(fleet)
                other = fleet.vms[1]
                member = cut_off.relays.choose("svc", set())
                assert member is not None
                other.relays.own_key = "of a later start"
                await cut_off.send_request()
                cut_off.relays.update([member._replace(relay_key=other.relays.own_key)])
                received = await cut_off.send_request()
                self.assertEqual(200, received.status)

        asyncio.run(check())

    @parameterized.expand(
        [
            (f"{status}_{name}", status, route)
            for status in (400, 404, 500)
            for name, route in (("plain", ROUTE), ("stream", STREAM))
        ]
    )
    def test_response_that_names_no_request_is_not_passed_on(
        self, _name: str, status: int, route: Route
    ) -> None:
        # Such as those of the member's HTTP server, or of another program.
        async def check() -> None:
            head = b"HTTP/1.1 %d Other\r\ncontent-length: 0\r\n\r\n" % status
            async with (
                open_fleet([ScriptedResponse()], route=route, vms=2) as fleet,
                responding(head) as address,
            ):
                cut_off = await cut_off_first(fleet)
                cut_off.relays.update([Member("vm1", "", "a", "", address, "key")])
                received = await cut_off.send_request()
                self.assertEqual(502, received.status)

        asyncio.run(check())


def soon_s() -> float:
    """Return a time before which no response is due."""
    return monotonic_clock() + ROUTE.timeout_s / 2


class StoppingMemberTests(TestCase):
    """Requests were forwarded late in the grace time, and ended with it."""

    def test_member_that_is_stopping_forwards_no_further_requests(self) -> None:
        async def check() -> None:
            async with open_fleet([ScriptedResponse()], vms=2) as fleet:
                cut_off = await cut_off_first(fleet)
                fleet.vms[1].lifecycle.begin_stop(ends_at_s=soon_s())
                sends = len(cut_off.targets[0].heads)
                received = await cut_off.send_request()
                self.assertEqual((503, b"not_run"), (received.status, received.body))
                self.assertEqual(sends, len(cut_off.targets[0].heads))

        asyncio.run(check())

    def test_stopping_member_forwards_what_is_due_before_its_end(self) -> None:
        async def check() -> None:
            async with open_fleet([ScriptedResponse()], vms=2) as fleet:
                cut_off = await cut_off_first(fleet)
                ends_s = monotonic_clock() + 2 * ROUTE.timeout_s
                fleet.vms[1].lifecycle.begin_stop(ends_at_s=ends_s)
                received = await cut_off.send_request()
                self.assertEqual(200, received.status)

        asyncio.run(check())

    def test_members_that_go_on_forward_what_stopping_ones_refuse(self) -> None:
        async def check() -> None:
            async with open_fleet([ScriptedResponse()], vms=6) as fleet:
                cut_off = await cut_off_first(fleet)
                for vm in fleet.vms[1:-1]:
                    vm.lifecycle.begin_stop(ends_at_s=soon_s())
                statuses = [await cut_off.send_request() for _ in range(8)]
                self.assertEqual({200}, {answer.status for answer in statuses[4:]})

        asyncio.run(check())
