"""Tests of streams that break off and that the next target answers with an error."""

from parameterized import parameterized
from testtools import TestCase

from packages.gateway.tests.request.cases import (
    CUT,
    DISCONNECT,
    ERROR,
    EVENTS,
    NOT_RUN,
    OTHER_INSTANCE,
    REST,
    RESUMABLE,
    STREAM_HEAD,
    UNSIGNED,
)
from packages.gateway.tests.request.harness import GatewayHarness
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import run_with_harness


class FailedResumptionTests(TestCase):
    @parameterized.expand(
        [
            ("error", ERROR),
            ("error_in_chunks", ERROR._replace(is_stream=True)),
            ("error_unframed", ERROR._replace(is_unframed=True)),
            ("error_like_events", ERROR._replace(body=EVENTS)),
            ("bad_gateway", ERROR._replace(status=502)),
            ("client_error", ERROR._replace(status=404)),
            ("redirect", ERROR._replace(status=302)),
            ("unsigned_success", UNSIGNED._replace(body=EVENTS)),
            ("refused", NOT_RUN),
            ("refused_with_text", NOT_RUN._replace(body=b"busy\n\n")),
            ("other_instance", OTHER_INSTANCE._replace(body=EVENTS)),
            ("head_only", ScriptedResponse(raw=STREAM_HEAD)),
            ("part_of_head", ScriptedResponse(raw=STREAM_HEAD[:-2])),
            ("no_http", ScriptedResponse(raw=b"failed\n\n")),
            ("cut_again", ScriptedResponse(raw=STREAM_HEAD + b"id: 3\n")),
        ]
    )
    def test_caller_sees_a_cut_stream_without_the_error(
        self, _name: str, response: ScriptedResponse
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((200, EVENTS), (received.status, received.body))
            self.assertFalse(received.is_whole)

        # The first target may be asked again, as it may be the best one to go on.
        run_with_harness(check, [CUT, DISCONNECT], [response], route=RESUMABLE)

    def test_stream_goes_on_at_a_third_target_after_an_error(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))

        rest = ScriptedResponse(body=REST, is_stream=True)
        route = RESUMABLE._replace(max_attempts=3)
        run_with_harness(check, [CUT], [ERROR], [rest], route=route)
