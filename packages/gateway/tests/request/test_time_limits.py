"""Tests that requests get their final response when their route's time limit passes."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.ports import HeaderList
from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import (
    CUT,
    DISCONNECT,
    EVENTS,
    IDEMPOTENT,
    NOT_RUN,
    OK,
    RESUMABLE,
    SLOW,
    STREAM,
)
from packages.gateway.tests.request.harness import (
    ROUTE,
    GatewayHarness,
    ReceivedResponse,
    TargetLink,
    default_headers,
)
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import open_fleet, run_with_harness

LIMIT_S = 0.3
# The platform allows half a second after the time limit.
LATEST_S = LIMIT_S + 0.3
ROUTES = [
    ("non_idempotent", ROUTE),
    ("idempotent", IDEMPOTENT),
    ("stream", STREAM),
    ("resumable", RESUMABLE),
]


class TimeLimitTests(TestCase):
    async def send(
        self, harness: GatewayHarness, headers: HeaderList | None = None
    ) -> ReceivedResponse:
        """Send a request whose response has to come when its limit passes."""
        begun_s = monotonic_clock()
        received = await harness.send_request(headers=headers)
        self.assertLess(monotonic_clock() - begun_s, LATEST_S)
        return received

    @parameterized.expand(ROUTES)
    def test_targets_that_accept_no_connection(self, _name: str, route: Route) -> None:
        # stc-meals-grown: requests waited for three connections of 1.2 s each.
        async def check(harness: GatewayHarness) -> None:
            harness.set_link(TargetLink.SILENT)
            received = await self.send(harness)
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertEqual(0, sum(len(target.heads) for target in harness.targets))

        route = route._replace(timeout_s=LIMIT_S)
        run_with_harness(check, [OK], [OK], [OK], route=route)

    @parameterized.expand(ROUTES)
    def test_target_that_breaks_off_before_others_accept_no_connection(
        self, _name: str, route: Route
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            sending = asyncio.create_task(self.send(harness))
            await asyncio.sleep(LIMIT_S / 3)
            harness.link = TargetLink.SILENT
            received = await sending
            self.assertIn(received.status, (502, 504))

        breaks = DISCONNECT._replace(delay_s=LIMIT_S / 2)
        route = route._replace(timeout_s=LIMIT_S)
        run_with_harness(check, [breaks], [OK], [OK], route=route)

    @parameterized.expand(ROUTES)
    def test_targets_that_do_not_respond(self, _name: str, route: Route) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await self.send(harness)
            self.assertEqual((504, b"may_have_run"), (received.status, received.body))

        route = route._replace(timeout_s=LIMIT_S)
        run_with_harness(check, [SLOW], [SLOW], route=route)

    @parameterized.expand(ROUTES)
    def test_targets_that_refuse_slowly(self, _name: str, route: Route) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await self.send(harness)
            self.assertIn(received.status, (503, 504))

        slow = NOT_RUN._replace(delay_s=LIMIT_S * 0.7)
        route = route._replace(timeout_s=LIMIT_S)
        run_with_harness(check, [slow], [slow], [slow], route=route)

    def test_stream_that_cannot_be_resumed_in_time_is_cut(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            sending = asyncio.create_task(self.send(harness))
            await asyncio.sleep(LIMIT_S / 3)
            harness.link = TargetLink.SILENT
            received = await sending
            self.assertEqual((200, False), (received.status, received.is_whole))

        late = CUT._replace(pieces=(b"id: 3\n",), piece_pause_s=LIMIT_S / 2)
        route = RESUMABLE._replace(timeout_s=LIMIT_S)
        run_with_harness(check, [late], [OK], [OK], route=route)

    @parameterized.expand([("whole", ROUTE), ("stream", STREAM)])
    def test_response_is_delivered_to_a_caller_that_reads_slowly(
        self, _name: str, route: Route
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request(reads_after_s=LIMIT_S)
            self.assertEqual((200, EVENTS), (received.status, received.body))

        events = ScriptedResponse(body=EVENTS)
        route = route._replace(timeout_s=LIMIT_S)
        run_with_harness(check, [events], route=route)

    def test_stream_that_has_begun_is_not_cut_before_its_limit(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            begun_s = monotonic_clock()
            received = await harness.send_request()
            self.assertEqual((EVENTS, False), (received.body, received.is_whole))
            self.assertGreaterEqual(monotonic_clock() - begun_s, LIMIT_S)

        silent = ScriptedResponse(
            body=EVENTS, is_stream=True, pieces=(b"id: 3\n",), piece_pause_s=5.0
        )
        for route in (STREAM, RESUMABLE):
            run_with_harness(check, [silent], route=route._replace(timeout_s=LIMIT_S))

    def test_stream_of_another_member_is_not_cut_before_its_limit(self) -> None:
        async def run() -> None:
            silent = ScriptedResponse(
                body=EVENTS, is_stream=True, pieces=(b"id: 3\n",), piece_pause_s=5.0
            )
            route = STREAM._replace(timeout_s=1.0)
            async with open_fleet([silent], route=route, vms=2) as fleet:
                cut_off, _ = fleet.vms
                cut_off.set_link(TargetLink.RESET)
                await cut_off.send_request()
                begun_s = monotonic_clock()
                received = await cut_off.send_request()
                self.assertEqual((EVENTS, False), (received.body, received.is_whole))
                self.assertGreaterEqual(monotonic_clock() - begun_s, 1.0)

        asyncio.run(run())

    def test_stream_whose_origin_no_member_states(self) -> None:
        async def run() -> None:
            route = RESUMABLE._replace(timeout_s=LIMIT_S)
            async with open_fleet([OK], route=route, vms=3) as fleet:
                fleet.network.loss = 1.0
                headers = [
                    *default_headers(),
                    (b"x-last", b"2"),
                    (b"x-original", b"r0"),
                ]
                received = await self.send(fleet.vms[0], headers)
                self.assertIn(received.status, (200, 503))

        asyncio.run(run())
