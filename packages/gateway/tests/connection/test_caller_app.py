"""Tests of the application for callers' requests."""

from typing import Any

from testtools import TestCase

from packages.gateway.tests.request.harness import ROUTE, GatewayHarness
from packages.gateway.tests.request.support import run_with_harness


class UnexpectedErrorTests(TestCase):
    def test_error_in_the_code_gives_a_response_that_promises_nothing(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            async def fail(*_arguments: Any, **_options: Any) -> None:
                raise RuntimeError("as in a fault of the code")

            setattr(harness.services.search, "find", fail)
            received = await harness.send_request()
            self.assertEqual((502, True), (received.status, received.is_whole))
            self.assertEqual(b"internal_error", received.headers[b"x-code"])
            self.assertEqual(0, harness.lifecycle.running_requests)

        run_with_harness(check, [], route=ROUTE)
