"""Tests of relaying responses: streams, resumption, and responses without a length."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.crash_guard import COMMON_CAUSE_S
from jaytray_gateway.process.prompt_part_guard import SETTLE_S
from packages.gateway.tests.request.cases import (
    EVENTS,
    IDEMPOTENT,
    OK,
    REST,
    RESUMABLE,
    STREAM,
    with_parts,
)
from packages.gateway.tests.request.scripted_target import (
    ScriptedResponse,
    header_value,
)
from packages.gateway.tests.request.support import (
    ROUTE,
    GatewayHarness,
    run_with_harness,
)


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
                await asyncio.sleep(COMMON_CAUSE_S + 0.05)
            await asyncio.sleep(SETTLE_S)
            received = await harness.send_request(**with_parts("shared,deadly,x"))
            self.assertEqual((503, b"not_run"), (received.status, received.body))

        run_with_harness(
            check, [ScriptedResponse(body=b"", is_unframed=True)], route=STREAM
        )
