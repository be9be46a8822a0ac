"""Tests of requests before targets that say in their responses that they leave."""

import asyncio

from testtools import TestCase

from jaytray_gateway.process.directory import TargetDeparture
from packages.gateway.tests.request.cases import OK
from packages.gateway.tests.request.harness import GatewayHarness
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import open_fleet, run_with_harness

LEAVING = ScriptedResponse(is_leaving=True)
# Several times the delay of a message between members.
NOTICE_S = 0.1


class LeavingTargetTests(TestCase):
    def test_target_that_says_it_leaves_gets_no_more_requests(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            for _ in range(5):
                self.assertEqual(200, (await harness.send_request()).status)
            self.assertEqual([1, 4], [len(t.heads) for t in harness.targets])

        run_with_harness(check, [LEAVING], [OK])

    def test_request_that_only_a_leaving_target_could_serve_is_refused_at_once(
        self,
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            await harness.send_request()
            async with asyncio.timeout(0.2):
                received = await harness.send_request()
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertIn(b"retry-after", received.headers)

        run_with_harness(check, [LEAVING])

    def test_other_members_send_it_nothing_either(self) -> None:
        async def check() -> None:
            async with open_fleet([LEAVING], [OK], vms=3) as fleet:
                await fleet.vms[0].send_request()
                await asyncio.sleep(NOTICE_S)
                for vm in fleet.vms:
                    await vm.send_request()
                self.assertEqual([1, 3], [len(t.heads) for t in fleet.vms[0].targets])

        asyncio.run(check())

    def test_departure_during_the_search_prevents_the_send(self) -> None:
        # The second request waits for its turn at the limited target.
        async def check(harness: GatewayHarness) -> None:
            await harness.send_request()
            await harness.send_request()
            pending = asyncio.ensure_future(harness.send_request())
            await asyncio.sleep(0.02)
            self.assertFalse(pending.done())
            harness.directory.apply_departures([TargetDeparture("t0", "1")])
            received = await pending
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertEqual(2, len(harness.targets[0].heads))

        run_with_harness(check, [ScriptedResponse(limit="20")])
