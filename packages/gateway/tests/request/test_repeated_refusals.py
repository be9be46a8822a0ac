"""Tests of targets that send a refusal once more where another response is due."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.ports import HeaderList
from packages.gateway.tests.request.cases import NOT_RUN, OK, OTHER_INSTANCE
from packages.gateway.tests.request.harness import KEY, GatewayHarness
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import run_with_harness

MANY_REQUESTS = NOT_RUN._replace(status=429)


def headers_of(request_id: bytes) -> HeaderList:
    return [(b"x-id", request_id), (b"x-key", KEY)]


class RepeatedRefusalTests(TestCase):
    @parameterized.expand(
        [
            ("503", NOT_RUN, False),
            ("429", MANY_REQUESTS, False),
            ("421", OTHER_INSTANCE, False),
            ("503_without_id", NOT_RUN, True),
            ("429_without_id", MANY_REQUESTS, True),
            ("421_without_id", OTHER_INSTANCE, True),
        ]
    )
    def test_repeated_refusal_is_not_taken_for_that_of_the_next_request(
        self, _name: str, refusal: ScriptedResponse, loses_id: bool
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            refusing, other = harness.targets
            refusing.repeats_refusals = True
            refusing.repeated_without_id = loses_id
            await harness.send_request(headers=headers_of(b"first"))
            self.assertEqual(1, len(other.heads))
            received = await harness.send_request(headers=headers_of(b"second"))
            self.assertEqual(2, len(refusing.heads))
            # The request ran at the first target, so it must not run at the other.
            self.assertEqual(1, len(other.heads))
            self.assertNotIn(received.status, (408, 421, 429, 503))

        run_with_harness(check, [refusal, OK], [OK])

    def test_refusal_without_id_is_believed_on_a_new_connection(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((200, b"ok"), (received.status, received.body))

        run_with_harness(check, [NOT_RUN._replace(has_id=False)], [OK])
