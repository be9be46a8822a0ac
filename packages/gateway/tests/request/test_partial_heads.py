"""Tests of targets that stop within the head of a response and close the connection."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import (
    IDEMPOTENT,
    OK,
    RESUMABLE,
    STREAM,
    STREAM_HEAD,
)
from packages.gateway.tests.request.harness import ROUTE, GatewayHarness
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import run_with_harness


class PartOfHeadTests(TestCase):
    @parameterized.expand(
        [
            ("non_idempotent", ROUTE),
            ("idempotent", IDEMPOTENT._replace(max_attempts=1)),
            ("stream", STREAM),
            ("resumable", RESUMABLE._replace(max_attempts=1)),
        ]
    )
    def test_is_no_success_wherever_it_ends(self, _name: str, route: Route) -> None:
        async def check(harness: GatewayHarness) -> None:
            for _ in range(len(STREAM_HEAD) - 1):
                received = await harness.send_request()
                self.assertEqual((502, True), (received.status, received.is_whole))

        parts = [
            ScriptedResponse(raw=STREAM_HEAD[:length])
            for length in range(1, len(STREAM_HEAD))
        ]
        # The time limit plays no part here; a pause of the machine must not reach it.
        run_with_harness(check, parts, route=route._replace(timeout_s=30.0))

    def test_is_no_success_on_a_kept_connection(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            statuses = [(await harness.send_request()).status for _ in range(6)]
            self.assertEqual([200, 502, 200, 502, 200, 502], statuses)

        part = ScriptedResponse(raw=STREAM_HEAD[:30])
        run_with_harness(check, [OK, part, OK, part, OK, part])
