"""Tests of streams whose target falls silent and then goes on."""

from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from packages.gateway.tests.request.cases import (
    CUT,
    EVENTS,
    IDEMPOTENT,
    OK,
    REST,
    RESUMABLE,
)
from packages.gateway.tests.request.harness import GatewayHarness
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import run_with_harness

# Callers wait 2 s for an event by their fixed time, and longer by the objective.
CALLER_WAITS_S = 2.0
SILENCE_S = 1.8
ROUTE = RESUMABLE._replace(timeout_s=10.0)
PATIENT = ROUTE._replace(objective_s=1.0)
SILENT = ScriptedResponse(
    body=EVENTS, is_stream=True, pieces=(REST,), piece_pause_s=SILENCE_S
)
RESUMED = ScriptedResponse(body=REST, is_stream=True)


class SlowHeadTests(TestCase):
    """Requests that may be repeated were given up at half of their time."""

    LATE = ScriptedResponse(body=b"late", delay_s=SILENCE_S)
    HALF_S = SILENCE_S - 0.3
    LIMIT_S = 2 * HALF_S

    def check(self, expected: bytes, *others: list[ScriptedResponse]) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((200, expected), (received.status, received.body))

        route = IDEMPOTENT._replace(timeout_s=self.LIMIT_S)
        run_with_harness(check, [self.LATE], *others, route=route)

    def test_late_response_is_awaited_if_there_is_no_other_target(self) -> None:
        self.check(b"late")

    def test_request_goes_to_another_target_at_half_of_its_time(self) -> None:
        self.check(b"ok", [OK])


class SilentTargetTests(TestCase):
    """Streams ended in the middle although their targets went on a moment later."""

    async def check_whole(self, harness: GatewayHarness, sends: list[int]) -> None:
        """Send a request that has to be answered in full after these sends."""
        received = await harness.send_request()
        self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))
        self.assertEqual(sends, [len(target.heads) for target in harness.targets])

    def test_stream_stays_as_long_as_its_caller_waits(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            await self.check_whole(harness, [1, 0])

        run_with_harness(check, [SILENT], [RESUMED], route=PATIENT)

    def test_stream_stays_if_there_is_no_other_target(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            await self.check_whole(harness, [1])

        run_with_harness(check, [SILENT, CUT], route=ROUTE)

    def test_stream_stays_if_no_attempt_is_left(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            await self.check_whole(harness, [1, 1, 0])

        silent = ScriptedResponse(
            body=b"", is_stream=True, pieces=(REST,), piece_pause_s=SILENCE_S
        )
        begun = silent._replace(body=REST[:6], pieces=(REST[6:],))
        run_with_harness(check, [CUT], [begun], [OK], route=ROUTE)

    def test_stream_stays_if_there_is_no_budget_for_retries(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            # A share so small that it earns no token while the test runs.
            harness.services.budget.member_count = 10_000
            await self.check_whole(harness, [1, 0])

        run_with_harness(check, [SILENT], [RESUMED], route=ROUTE)

    def test_stream_stays_if_other_targets_take_no_requests(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            other = harness.directory.targets_by_id["t1"]
            harness.services.backoff.record(other, 5.0)
            await self.check_whole(harness, [1, 0])

        run_with_harness(check, [SILENT], [RESUMED], route=ROUTE)

    def test_stream_whose_target_stays_silent_goes_on_at_another(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            begun_s = monotonic_clock()
            await self.check_whole(harness, [1, 1])
            self.assertLess(monotonic_clock() - begun_s, CALLER_WAITS_S)

        silent = SILENT._replace(piece_pause_s=9.0)
        run_with_harness(check, [silent], [RESUMED], route=ROUTE)

    def test_pause_of_the_process_is_no_silence_of_its_targets(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            await self.check_whole(harness, [1, 0])

        sends_before_pause = SILENT._replace(piece_pause_s=0.8, process_pause_s=1.2)
        run_with_harness(check, [sends_before_pause], [RESUMED], route=ROUTE)
