"""Tests of requests before targets that want nothing for a stated time."""

import asyncio

from testtools import TestCase

from packages.gateway.tests.request.cases import NOT_RUN, OK
from packages.gateway.tests.request.harness import GatewayHarness
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import open_fleet, run_with_harness

BACKOFF_S = 0.6
BUSY = NOT_RUN._replace(retry_after=str(BACKOFF_S))


class BackingOffTargetTests(TestCase):
    def test_target_gets_nothing_for_the_stated_time(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = [await harness.send_request() for _ in range(10)]
            self.assertEqual({200}, {response.status for response in received})
            self.assertEqual([1, 10], [len(t.heads) for t in harness.targets])
            await asyncio.sleep(BACKOFF_S)
            await harness.send_request()
            self.assertEqual(2, len(harness.targets[0].heads))

        run_with_harness(check, [BUSY, OK], [OK])

    def test_request_that_no_target_wants_is_refused_at_once(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            await harness.send_request()
            async with asyncio.timeout(0.2):
                received = [await harness.send_request() for _ in range(5)]
            for response in received:
                self.assertEqual((503, b"not_run"), (response.status, response.body))
                retry_after_s = float(response.headers[b"retry-after"])
                self.assertLessEqual(retry_after_s, BACKOFF_S)
                self.assertGreater(retry_after_s, BACKOFF_S / 2)
            self.assertEqual([1], [len(t.heads) for t in harness.targets])

        run_with_harness(check, [BUSY])

    def test_requests_under_way_to_a_target_that_backs_off_are_not_sent(self) -> None:
        # They wait for their turns at a target that limits its rate.
        async def check(harness: GatewayHarness) -> None:
            await harness.send_request()
            pending = [asyncio.ensure_future(harness.send_request()) for _ in range(8)]
            await asyncio.gather(*pending)
            self.assertEqual(2, len(harness.targets[0].heads))

        limited = ScriptedResponse(limit="20")
        run_with_harness(check, [limited, BUSY._replace(limit="20")])

    def test_other_members_may_send(self) -> None:
        async def check() -> None:
            async with open_fleet([BUSY, OK], vms=2) as fleet:
                self.assertEqual(503, (await fleet.vms[0].send_request()).status)
                self.assertEqual(503, (await fleet.vms[0].send_request()).status)
                self.assertEqual(200, (await fleet.vms[1].send_request()).status)

        asyncio.run(check())
