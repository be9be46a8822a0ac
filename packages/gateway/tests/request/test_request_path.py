"""Tests of request handling: responses to the caller and requests to targets."""

import asyncio
from typing import NamedTuple

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.process.prompt_part_guard import CRASH_WINDOW_S, SETTLE_S
from jaytray_gateway.version.route_table import RequestKind, Route
from packages.gateway.tests.request.cases import (
    DISCONNECT,
    ERROR,
    EVENTS,
    IDEMPOTENT,
    NOT_RUN,
    OK,
    OTHER_INSTANCE,
    SLOW,
    STREAM,
    TRUNCATED,
    UNSIGNED,
    with_parts,
)
from packages.gateway.tests.request.harness import (
    ACCOUNT,
    KEY,
    ROUTE,
    GatewayHarness,
    ReceivedResponse,
    default_headers,
)
from packages.gateway.tests.request.scripted_target import (
    ScriptedResponse,
    ScriptedTarget,
    header_value,
)
from packages.gateway.tests.request.support import run_with_harness


class Case(NamedTuple):
    """Responses of two targets, in the order in which the targets are chosen."""

    route: Route
    first: ScriptedResponse
    second: ScriptedResponse
    status: int
    execution: str
    sends: tuple[int, int]
    unreachable: int = 0


SINGLE_ATTEMPT = ROUTE._replace(max_attempts=1)
CASES = {
    "served": Case(ROUTE, OK, OK, 200, "", (1, 0)),
    "no_response": Case(ROUTE, DISCONNECT, OK, 502, "may_have_run", (1, 0)),
    "unsigned_success": Case(ROUTE, UNSIGNED, OK, 502, "may_have_run", (1, 0)),
    "truncated_response": Case(ROUTE, TRUNCATED, OK, 502, "may_have_run", (1, 0)),
    "not_run": Case(ROUTE, NOT_RUN, OK, 200, "", (1, 1)),
    "other_instance": Case(ROUTE, OTHER_INSTANCE, OK, 200, "", (1, 1)),
    "not_run_twice": Case(ROUTE, NOT_RUN, NOT_RUN, 503, "not_run", (1, 1)),
    "not_run_then_no_response": Case(
        ROUTE, NOT_RUN, DISCONNECT, 502, "may_have_run", (1, 1)
    ),
    "error_is_relayed": Case(ROUTE, ERROR, OK, 500, "", (1, 0)),
    # A target ran a transfer and answered 503 of its own; the caller sent it again.
    **{
        f"{status}_after_a_run": Case(
            ROUTE, ERROR._replace(status=status), OK, 502, "may_have_run", (1, 0)
        )
        for status in (408, 429, 503)
    },
    "stream_503_after_a_run": Case(
        STREAM, ERROR._replace(status=503), OK, 502, "may_have_run", (1, 0)
    ),
    "503_to_a_repeatable_request": Case(
        IDEMPOTENT, ERROR._replace(status=503), OK, 200, "", (1, 1)
    ),
    "unreachable_first": Case(ROUTE, OK, OK, 200, "", (1, 0), unreachable=1),
    "slow": Case(ROUTE, SLOW, OK, 504, "may_have_run", (1, 0)),
    "retried_after_no_response": Case(IDEMPOTENT, DISCONNECT, OK, 200, "", (1, 1)),
    "retried_after_error": Case(IDEMPOTENT, ERROR, OK, 200, "", (1, 1)),
    "retried_after_timeout": Case(IDEMPOTENT, SLOW, OK, 200, "", (1, 1)),
    "second_error_is_relayed": Case(IDEMPOTENT, ERROR, ERROR, 500, "", (1, 1)),
    "no_response_twice": Case(
        IDEMPOTENT, DISCONNECT, DISCONNECT, 502, "may_have_run", (1, 1)
    ),
    "one_attempt_only": Case(
        SINGLE_ATTEMPT._replace(kind=RequestKind.IDEMPOTENT),
        DISCONNECT,
        OK,
        502,
        "may_have_run",
        (1, 0),
    ),
    "stream_without_response": Case(
        STREAM, DISCONNECT, OK, 502, "may_have_run", (1, 0)
    ),
}


class OutcomeTests(TestCase):
    @parameterized.expand(list(CASES.items()))
    def test_case(self, _name: str, case: Case) -> None:
        async def check(harness: GatewayHarness) -> None:
            begun_s = monotonic_clock()
            received = await harness.send_request()
            self.assertEqual(case.status, received.status)
            if case.execution:
                self.assertEqual(case.execution.encode(), received.body)
            if case.execution:
                self.assertNotIn(b"x-seal", received.headers)
            if case.execution == "not_run":
                self.assertIn(b"retry-after", received.headers)
            self.assertTrue(received.is_whole)
            reachable = harness.targets[case.unreachable :]
            self.assertEqual(case.sends, tuple(len(t.heads) for t in reachable))
            self.assertLess(monotonic_clock() - begun_s, case.route.timeout_s + 0.25)

        run_with_harness(
            check,
            [case.first],
            [case.second],
            route=case.route,
            unreachable=case.unreachable,
        )


class RefusalTests(TestCase):
    def test_refusals_before_anything_is_sent(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            unknown_key = [(b"x-id", b"r"), (b"x-key", b"other")]
            no_key = [(b"x-id", b"r")]
            self.assertEqual(
                401, (await harness.send_request(headers=unknown_key)).status
            )
            self.assertEqual(401, (await harness.send_request(headers=no_key)).status)
            self.assertEqual(404, (await harness.send_request(target="/other/")).status)
            self.assertEqual(
                413, (await harness.send_request(body=b"x" * 70_000)).status
            )
            long = [(b"x-id", b"r"), (b"x-long", b"y" * 20_000)]
            self.assertEqual(431, (await harness.send_request(headers=long)).status)
            self.assertEqual([], harness.targets[0].heads)

        run_with_harness(check, [OK])

    def test_without_accounts_a_key_is_needed_unless_none_are_declared(self) -> None:
        # An empty list of accounts opened every route.
        async def check(harness: GatewayHarness) -> None:
            empty = harness.table()._replace(
                accounts_by_name={}, account_by_key_digest={}
            )
            for table, status in ((empty, 401), (empty._replace(needs_key=False), 200)):
                harness.directory.route_table = table
                for headers in (default_headers(), [(b"x-id", b"r")]):
                    received = await harness.send_request(headers=headers)
                    self.assertEqual(status, received.status)

        run_with_harness(check, [OK])

    def test_public_route_needs_no_key(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request(headers=[(b"x-id", b"r")])
            self.assertEqual(200, received.status)
            self.assertEqual(
                b"", header_value(harness.targets[0].heads[0], b"x-account")
            )

        run_with_harness(check, [OK], route=ROUTE._replace(is_public=True))

    def test_target_gets_the_account_and_no_key(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            await harness.send_request()
            head = harness.targets[0].heads[0]
            self.assertEqual(b"barns", header_value(head, b"x-account"))
            self.assertNotIn(KEY, head)

        run_with_harness(check, [OK])

    def test_stale_route_table_serves_nothing(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            harness.directory.current_as_of_s -= 4.5
            received = await harness.send_request()
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            harness.directory.route_table = None
            self.assertEqual(503, (await harness.send_request()).status)
            self.assertEqual([], harness.targets[0].heads)

        run_with_harness(check, [OK])

    def test_route_table_that_becomes_stale_prevents_a_retry(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            pending = asyncio.ensure_future(harness.send_request())
            while not harness.targets[0].heads:
                await asyncio.sleep(0.005)
            harness.directory.current_as_of_s -= 4.5
            received: ReceivedResponse = await pending
            self.assertEqual((502, b"may_have_run"), (received.status, received.body))
            self.assertEqual([], harness.targets[1].heads)

        run_with_harness(check, [SLOW], [OK], route=IDEMPOTENT)

    @parameterized.expand(
        [("cut", DISCONNECT, 502, b"may_have_run"), ("error", ERROR, 500, b"bad")]
    )
    def test_no_second_target_does_not_hide_the_first_run(
        self, _name: str, response: ScriptedResponse, status: int, body: bytes
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((status, body), (received.status, received.body))

        run_with_harness(check, [response], route=IDEMPOTENT)

    def test_tokens_of_a_request_that_is_not_sent_are_refunded(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            account = ACCOUNT._replace(rate_per_s=100.0, burst=1000.0)
            harness.shares.set_members(frozenset(("vm", "other")))
            harness.set_account(account)
            harness.directory.targets_by_id = {}
            before = harness.shares.level(account)
            self.assertEqual(503, (await harness.send_request()).status)
            harness.remove_services()
            self.assertEqual(503, (await harness.send_request()).status)
            after = harness.shares.level(account)
            self.assertGreaterEqual(after, before)

        run_with_harness(check, [OK])

    def test_model_whose_only_holder_is_unreachable_is_refused_at_once(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            harness.offer_unloaded_model()
            harness.load_model("t0")
            begun_s = monotonic_clock()
            received = await harness.send_request(
                headers=[*default_headers(), (b"x-model", b"m")]
            )
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertLess(monotonic_clock() - begun_s, 0.3)

        run_with_harness(check, unreachable=1)

    def test_no_target_is_refused_at_once(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            harness.directory.targets_by_id = {}
            begun_s = monotonic_clock()
            self.assertEqual(503, (await harness.send_request()).status)
            self.assertLess(monotonic_clock() - begun_s, 0.2)

        run_with_harness(check, [OK])


class LeavingCallerTests(TestCase):
    @parameterized.expand([("plain", ROUTE), ("stream", STREAM)])
    def test_connection_to_target_is_closed(self, _name: str, route: Route) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request(leaves_after_s=0.1)
            self.assertEqual(0, received.status)
            await asyncio.sleep(0.1)
            target: ScriptedTarget = harness.targets[0]
            self.assertEqual((1, 0), (len(target.heads), target.open_connections))

        run_with_harness(check, [SLOW], [OK], route=route)


class StoppingTests(TestCase):
    def test_responses_close_their_connections_while_stopping(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            harness.lifecycle.is_stopping = True
            received = await harness.send_request()
            self.assertEqual(200, received.status)
            self.assertEqual(b"close", received.headers[b"connection"])
            harness.lifecycle.is_refusing = True
            self.assertEqual(503, (await harness.send_request()).status)

        run_with_harness(check, [OK])

    def test_request_that_waits_for_a_model_is_refused_on_shutdown(self) -> None:
        # The process used to exit while the request was still waiting for the model
        # (Hoofline trouble-2, seed 942565361552).
        async def check(harness: GatewayHarness) -> None:
            harness.offer_unloaded_model()
            headers = [*default_headers(), (b"x-model", b"m")]
            pending = asyncio.ensure_future(harness.send_request(headers=headers))
            await asyncio.sleep(0.1)
            self.assertFalse(pending.done())
            harness.lifecycle.is_refusing = True
            async with asyncio.timeout(0.5):
                received = await pending
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertIn(b"retry-after", received.headers)

        run_with_harness(check, [OK], route=ROUTE._replace(timeout_s=10.0))


class CrashingRequestTests(TestCase):
    def test_is_refused_after_it_broke_several_targets(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            for _ in range(3):
                harness.register_targets()
                await harness.send_request()
            received = await harness.send_request()
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            other = await harness.send_request(body=b"another")
            self.assertEqual(502, other.status)

        run_with_harness(
            check,
            [DISCONNECT],
            [DISCONNECT],
            [DISCONNECT],
            [DISCONNECT],
            route=IDEMPOTENT,
        )

    def test_prompt_part_that_broke_several_targets_is_refused(self) -> None:
        # hoofline tainted: requests that share one part crash targets, no two alike.
        async def check(harness: GatewayHarness) -> None:
            for target in harness.targets:
                target.crashing_part = b"deadly"
            for number in range(5):
                harness.restart_targets()
                await harness.send_request(**with_parts(f"shared,deadly,{number}"))
                sound = await harness.send_request(**with_parts(f"shared,s,{number}"))
                self.assertEqual((200, True), (sound.status, sound.is_whole))
                await asyncio.sleep(CRASH_WINDOW_S + 0.05)
            harness.restart_targets()
            sends = sum(len(target.heads) for target in harness.targets)
            received = await harness.send_request(**with_parts("other,deadly,x"))
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertIn(b"retry-after", received.headers)
            self.assertEqual(sends, sum(len(t.heads) for t in harness.targets))
            sound = await harness.send_request(**with_parts("shared,s,x"))
            self.assertEqual((200, True), (sound.status, sound.is_whole))

        events = ScriptedResponse(body=EVENTS, is_stream=True)
        run_with_harness(check, [events], [events], route=STREAM)

    def test_error_response_does_not_clear_a_prompt_part(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            (target,) = harness.targets
            for number in range(4):
                harness.restart_targets()
                target.crashing_part = b"deadly"
                await harness.send_request(**with_parts(f"shared,deadly,{number}"))
                target.crashing_part = b""
                failed = await harness.send_request(**with_parts(f"s,deadly,{number}"))
                self.assertEqual(500, failed.status)
                await asyncio.sleep(CRASH_WINDOW_S + 0.05)
            await asyncio.sleep(SETTLE_S)
            received = await harness.send_request(**with_parts("other,deadly,x"))
            self.assertEqual((503, b"not_run"), (received.status, received.body))

        run_with_harness(check, [ERROR], route=STREAM)


class LimitedTargetTests(TestCase):
    """Incident second1 of hoofline: targets got more than their limits allow."""

    def test_target_gets_no_more_requests_than_it_accepts(self) -> None:
        # In 4 s one and a half times what the limit of 1/s allows, and 5 more.
        allowed = 11

        async def check(harness: GatewayHarness) -> None:
            await harness.send_request()
            received = [await harness.send_request() for _ in range(40)]
            (target,) = harness.targets
            self.assertLessEqual(len(target.heads), allowed)
            refused = [response for response in received if response.status != 200]
            self.assertGreaterEqual(len(refused), 40 - allowed)
            for response in refused:
                self.assertEqual((503, b"not_run"), (response.status, response.body))
                self.assertIn(b"retry-after", response.headers)

        run_with_harness(check, [ScriptedResponse(limit="1")])

    def test_requests_beyond_the_limit_go_to_other_targets(self) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = [await harness.send_request() for _ in range(40)]
            self.assertEqual({200}, {response.status for response in received})
            self.assertLessEqual(len(harness.targets[0].heads), 11)

        run_with_harness(check, [ScriptedResponse(limit="1")], [OK])
