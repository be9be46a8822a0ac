"""Tests of relaying responses: streams, resumption, and responses without a length."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.process.prompt_part_guard import CRASH_WINDOW_S, SETTLE_S
from packages.gateway.tests.request.cases import (
    EVENTS,
    IDEMPOTENT,
    OK,
    REST,
    RESUMABLE,
    STREAM,
    with_parts,
)
from packages.gateway.tests.request.harness import (
    ROUTE,
    GatewayHarness,
    ReceivedResponse,
)
from packages.gateway.tests.request.scripted_target import (
    ScriptedResponse,
    header_value,
)
from packages.gateway.tests.request.support import run_with_harness


class StreamTests(TestCase):
    def test_stream_is_relayed_unchanged(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((EVENTS, True), (received.body, received.is_whole))

        run_with_harness(
            check, [ScriptedResponse(body=EVENTS, is_stream=True)], route=STREAM
        )

    def test_truncated_stream_does_not_look_complete(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((200, False), (received.status, received.is_whole))

        cut = ScriptedResponse(body=EVENTS, is_stream=True, is_complete=False)
        run_with_harness(check, [cut], [OK], route=STREAM)

    @parameterized.expand([("with_chunks", True), ("with_a_length", False)])
    def test_framed_stream_that_ends_inside_an_event_is_not_whole(
        self, _name: str, is_stream: bool
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((200, False), (received.status, received.is_whole))

        cut = ScriptedResponse(body=EVENTS + b"id: 3\nda", is_stream=is_stream)
        run_with_harness(check, [cut], route=STREAM)

    def test_stream_is_resumed_after_the_last_complete_event(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))
            self.assertEqual(b"2", header_value(harness.targets[1].heads[0], b"x-last"))

        cut = ScriptedResponse(
            body=EVENTS + REST[:9], is_stream=True, is_complete=False
        )
        rest = ScriptedResponse(body=REST, is_stream=True)
        run_with_harness(check, [cut], [rest], route=RESUMABLE)

    def test_stream_is_not_resumed_more_often_than_the_route_allows(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((EVENTS, False), (received.body, received.is_whole))

        cut = ScriptedResponse(body=EVENTS, is_stream=True, is_complete=False)
        none = ScriptedResponse(body=b"", is_stream=True, is_complete=False)
        run_with_harness(check, [cut], [none], [OK], route=RESUMABLE)


ENDLESS = ScriptedResponse(body=b"x" * 50, is_unframed=True, is_endless=True)


class EndlessResponseTests(TestCase):
    """Targets in trouble that send bytes until their connection is closed."""

    async def send(self, harness: GatewayHarness, most_s: float) -> ReceivedResponse:
        """Send a request; the response comes and the target is left in time."""
        begun_s = monotonic_clock()
        received = await harness.send_request()
        self.assertLess(monotonic_clock() - begun_s, most_s)
        async with asyncio.timeout(1.0):
            while harness.targets[0].open_connections:
                await asyncio.sleep(0.01)
        return received

    def test_request_that_was_not_run_goes_to_another_target_at_once(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await self.send(harness, 2.0)
            self.assertEqual((200, b"ok"), (received.status, received.body))

        not_run = ENDLESS._replace(status=503, is_signed=False, is_not_run=True)
        route = ROUTE._replace(timeout_s=10.0)
        run_with_harness(check, [not_run], [OK], route=route)

    def test_event_without_end_is_cut_off_and_the_stream_resumed(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await self.send(harness, 5.0)
            self.assertEqual((EVENTS, True), (received.body, received.is_whole))

        events = ScriptedResponse(body=EVENTS, is_stream=True)
        route = RESUMABLE._replace(timeout_s=10.0)
        run_with_harness(check, [ENDLESS], [events], route=route)

    def test_event_without_end_ends_a_stream_that_cannot_be_resumed(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await self.send(harness, 5.0)
            self.assertFalse(received.is_whole)
            self.assertLess(len(received.body), 10_000_000)

        run_with_harness(check, [ENDLESS], route=STREAM._replace(timeout_s=10.0))

    def test_endless_response_to_another_request_is_given_up(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await self.send(harness, 5.0)
            self.assertEqual((200, b"ok"), (received.status, received.body))

        foreign = ENDLESS._replace(request_id=b"other")
        route = IDEMPOTENT._replace(timeout_s=20.0, objective_s=5.0)
        run_with_harness(check, [foreign], [OK], route=route)

    def test_endless_body_is_given_up(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await self.send(harness, 5.0)
            self.assertEqual((200, b"ok"), (received.status, received.body))

        route = IDEMPOTENT._replace(timeout_s=20.0, objective_s=5.0)
        run_with_harness(check, [ENDLESS], [OK], route=route)


class StalledStreamTests(TestCase):
    def test_stream_that_sends_a_byte_now_and_then_is_resumed(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            begun_s = monotonic_clock()
            received = await harness.send_request()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))
            # Callers abandon a stream that has no event for two seconds.
            self.assertLess(monotonic_clock() - begun_s, 2.0)
            # It would answer the next stream the same way.
            self.assertTrue(harness.services.health.is_avoided("t0"))

        trickle = ScriptedResponse(
            body=EVENTS,
            is_stream=True,
            pieces=tuple(REST[n : n + 1] for n in range(6)),
            piece_pause_s=0.7,
        )
        rest = ScriptedResponse(body=REST, is_stream=True)
        route = RESUMABLE._replace(timeout_s=10.0)
        run_with_harness(check, [trickle], [rest], route=route)

    def test_target_that_is_silent_within_an_event_is_not_avoided(self) -> None:
        # Sound targets may be silent for more than a second.
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))
            self.assertFalse(harness.services.health.is_avoided("t0"))

        silent = ScriptedResponse(
            body=EVENTS + REST[:6],
            is_stream=True,
            pieces=(REST[6:],),
            piece_pause_s=5.0,
        )
        rest = ScriptedResponse(body=REST, is_stream=True)
        route = RESUMABLE._replace(timeout_s=10.0)
        run_with_harness(check, [silent], [rest], route=route)

    def test_slow_stream_is_not_cut_within_the_pauses_of_its_route(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))
            self.assertEqual([], harness.targets[1].heads)

        slow = ScriptedResponse(
            body=EVENTS, is_stream=True, pieces=(REST,), piece_pause_s=1.8
        )
        route = RESUMABLE._replace(timeout_s=10.0, max_pause_s=2.0)
        run_with_harness(check, [slow], [OK], route=route)


class UnframedResponseTests(TestCase):
    """Responses without length or chunks, which end with their connection."""

    def test_whole_responses_are_relayed(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((200, EVENTS), (received.status, received.body))
            self.assertTrue(received.is_whole)

        for route in (ROUTE, IDEMPOTENT, STREAM, RESUMABLE):
            run_with_harness(
                check, [ScriptedResponse(body=EVENTS, is_unframed=True)], route=route
            )

    @parameterized.expand(
        [
            ("inside_an_event", EVENTS + b"id: 3\ndata: "),
            ("inside_a_line_end", EVENTS + b"id: 3\ndata: c\n"),
            ("before_the_first_event", b""),
        ]
    )
    def test_stream_that_ends_inside_an_event_is_not_whole(
        self, _name: str, body: bytes
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertFalse(received.status == 200 and received.is_whole)

        run_with_harness(
            check, [ScriptedResponse(body=body, is_unframed=True)], route=STREAM
        )

    def test_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))

        run_with_harness(
            check,
            [ScriptedResponse(body=EVENTS + b"id: 3\nda", is_unframed=True)],
            [ScriptedResponse(body=REST, is_unframed=True)],
            route=RESUMABLE,
        )

    def test_crash_before_the_first_event_counts_as_a_crash(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            for number in range(4):
                harness.restart_targets()
                await harness.send_request(**with_parts(f"shared,deadly,{number}"))
                await asyncio.sleep(CRASH_WINDOW_S + 0.05)
            await asyncio.sleep(SETTLE_S)
            received = await harness.send_request(**with_parts("shared,deadly,x"))
            self.assertEqual((503, b"not_run"), (received.status, received.body))

        run_with_harness(
            check, [ScriptedResponse(body=b"", is_unframed=True)], route=STREAM
        )
