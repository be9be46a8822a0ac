"""Tests of request handling: responses to the caller and requests to targets."""

import asyncio
from typing import NamedTuple

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.process.crash_guard import COMMON_CAUSE_S
from jaytray_gateway.version.route_table import RequestKind, Route
from packages.gateway.tests.request.scripted_target import (
    Answer,
    ScriptedTarget,
    field,
)
from packages.gateway.tests.request.support import (
    ACCOUNT,
    KEY,
    ROUTE,
    Received,
    Site,
    default_headers,
    run_site,
)

IDEMPOTENT = ROUTE._replace(kind=RequestKind.IDEMPOTENT)
STREAM = ROUTE._replace(kind=RequestKind.STREAM, max_attempts=1)
RESUMABLE = STREAM._replace(is_resumable=True, max_attempts=2)

OK = Answer()
CUT = Answer(body=None)
TURNED_AWAY = Answer(status=503, is_sealed=False, is_not_run=True, body=b"")
OTHER_INSTANCE = Answer(status=421, is_sealed=False, body=b"")
ERROR = Answer(status=500, body=b"bad")
UNSEALED = Answer(is_sealed=False)
SHORT = Answer(body=b"ok", is_stream=True, ends_well=False)
SLOW = Answer(delay_s=5.0)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
REST = b"id: 3\ndata: c\n\n"


class Case(NamedTuple):
    """Responses of two targets, in the order in which the targets are chosen."""

    route: Route
    first: Answer
    second: Answer
    status: int
    execution: str
    sends: tuple[int, int]
    unreachable: int = 0


ONCE = ROUTE._replace(max_attempts=1)
CASES = {
    "answered": Case(ROUTE, OK, OK, 200, "", (1, 0)),
    "cut_after_it_was_sent": Case(ROUTE, CUT, OK, 502, "may_have_run", (1, 0)),
    "unsealed_success": Case(ROUTE, UNSEALED, OK, 502, "may_have_run", (1, 0)),
    "short_answer": Case(ROUTE, SHORT, OK, 502, "may_have_run", (1, 0)),
    "turned_away": Case(ROUTE, TURNED_AWAY, OK, 200, "", (1, 1)),
    "other_instance": Case(ROUTE, OTHER_INSTANCE, OK, 200, "", (1, 1)),
    "turned_away_twice": Case(ROUTE, TURNED_AWAY, TURNED_AWAY, 503, "not_run", (1, 1)),
    "turned_away_then_cut": Case(ROUTE, TURNED_AWAY, CUT, 502, "may_have_run", (1, 1)),
    "error_passes": Case(ROUTE, ERROR, OK, 500, "", (1, 0)),
    "unreachable_first": Case(ROUTE, OK, OK, 200, "", (1, 0), unreachable=1),
    "slow": Case(ROUTE, SLOW, OK, 504, "may_have_run", (1, 0)),
    "repeated_after_cut": Case(IDEMPOTENT, CUT, OK, 200, "", (1, 1)),
    "repeated_after_error": Case(IDEMPOTENT, ERROR, OK, 200, "", (1, 1)),
    "repeated_after_slow": Case(IDEMPOTENT, SLOW, OK, 200, "", (1, 1)),
    "error_twice_passes": Case(IDEMPOTENT, ERROR, ERROR, 500, "", (1, 1)),
    "cut_twice": Case(IDEMPOTENT, CUT, CUT, 502, "may_have_run", (1, 1)),
    "one_attempt_only": Case(
        ONCE._replace(kind=RequestKind.IDEMPOTENT), CUT, OK, 502, "may_have_run", (1, 0)
    ),
    "stream_cut_before_it_began": Case(STREAM, CUT, OK, 502, "may_have_run", (1, 0)),
}


class OutcomeTests(TestCase):
    @parameterized.expand(list(CASES.items()))
    def test_case(self, _name: str, case: Case) -> None:
        async def check(site: Site) -> None:
            begun_s = monotonic_clock()
            received = await site.ask()
            self.assertEqual(case.status, received.status)
            if case.execution:
                self.assertEqual(case.execution.encode(), received.body)
            if case.execution == "not_run":
                self.assertIn(b"retry-after", received.headers)
            self.assertTrue(received.is_whole)
            reachable = site.targets[case.unreachable :]
            self.assertEqual(case.sends, tuple(len(t.heads) for t in reachable))
            self.assertLess(monotonic_clock() - begun_s, case.route.timeout_s + 0.25)

        run_site(
            check,
            [case.first],
            [case.second],
            route=case.route,
            unreachable=case.unreachable,
        )


class StreamTests(TestCase):
    def test_passes_unchanged(self) -> None:
        async def check(site: Site) -> None:
            received = await site.ask()
            self.assertEqual((EVENTS, True), (received.body, received.is_whole))

        run_site(check, [Answer(body=EVENTS, is_stream=True)], route=STREAM)

    def test_cut_stream_does_not_look_whole(self) -> None:
        async def check(site: Site) -> None:
            received = await site.ask()
            self.assertEqual((200, False), (received.status, received.is_whole))

        cut = Answer(body=EVENTS, is_stream=True, ends_well=False)
        run_site(check, [cut], [OK], route=STREAM)

    def test_is_resumed_after_the_last_whole_event(self) -> None:
        async def check(site: Site) -> None:
            received = await site.ask()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))
            self.assertEqual(b"2", field(site.targets[1].heads[0], b"x-last"))

        cut = Answer(body=EVENTS + REST[:9], is_stream=True, ends_well=False)
        rest = Answer(body=REST, is_stream=True)
        run_site(check, [cut], [rest], route=RESUMABLE)

    def test_is_not_resumed_more_often_than_the_route_allows(self) -> None:
        async def check(site: Site) -> None:
            received = await site.ask()
            self.assertEqual((EVENTS, False), (received.body, received.is_whole))

        cut = Answer(body=EVENTS, is_stream=True, ends_well=False)
        none = Answer(body=b"", is_stream=True, ends_well=False)
        run_site(check, [cut], [none], [OK], route=RESUMABLE)


class RefusalTests(TestCase):
    def test_refusals_before_anything_is_sent(self) -> None:
        async def check(site: Site) -> None:
            unknown_key = [(b"x-id", b"r"), (b"x-key", b"other")]
            no_key = [(b"x-id", b"r")]
            self.assertEqual(401, (await site.ask(headers=unknown_key)).status)
            self.assertEqual(401, (await site.ask(headers=no_key)).status)
            self.assertEqual(404, (await site.ask(target="/other/")).status)
            self.assertEqual(413, (await site.ask(body=b"x" * 70_000)).status)
            long = [(b"x-id", b"r"), (b"x-long", b"y" * 20_000)]
            self.assertEqual(431, (await site.ask(headers=long)).status)
            self.assertEqual([], site.targets[0].heads)

        run_site(check, [OK])

    def test_public_route_needs_no_key(self) -> None:
        async def check(site: Site) -> None:
            received = await site.ask(headers=[(b"x-id", b"r")])
            self.assertEqual(200, received.status)
            self.assertEqual(b"", field(site.targets[0].heads[0], b"x-account"))

        run_site(check, [OK], route=ROUTE._replace(is_public=True))

    def test_target_gets_the_account_and_no_key(self) -> None:
        async def check(site: Site) -> None:
            await site.ask()
            head = site.targets[0].heads[0]
            self.assertEqual(b"barns", field(head, b"x-account"))
            self.assertNotIn(KEY, head)

        run_site(check, [OK])

    def test_old_copy_of_the_keys_serves_nothing(self) -> None:
        async def check(site: Site) -> None:
            site.directory.known_at_s -= 4.5
            received = await site.ask()
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            site.directory.route_table = None
            self.assertEqual(503, (await site.ask()).status)
            self.assertEqual([], site.targets[0].heads)

        run_site(check, [OK])

    def test_copy_that_grows_old_during_a_repeat_stops_it(self) -> None:
        async def check(site: Site) -> None:
            asking = asyncio.ensure_future(site.ask())
            while not site.targets[0].heads:
                await asyncio.sleep(0.005)
            site.directory.known_at_s -= 4.5
            received: Received = await asking
            self.assertEqual((502, b"may_have_run"), (received.status, received.body))
            self.assertEqual([], site.targets[1].heads)

        run_site(check, [SLOW], [OK], route=IDEMPOTENT)

    @parameterized.expand(
        [("cut", CUT, 502, b"may_have_run"), ("error", ERROR, 500, b"bad")]
    )
    def test_no_second_target_does_not_hide_the_first_run(
        self, _name: str, answer: Answer, status: int, body: bytes
    ) -> None:
        async def check(site: Site) -> None:
            received = await site.ask()
            self.assertEqual((status, body), (received.status, received.body))

        run_site(check, [answer], route=IDEMPOTENT)

    def test_tokens_of_a_request_that_is_not_sent_are_given_back(self) -> None:
        async def check(site: Site) -> None:
            account = ACCOUNT._replace(rate_per_s=100.0, burst=1000.0)
            site.shares.set_members(frozenset(("vm", "other")))
            site.set_account(account)
            site.directory.targets_by_id = {}
            before = site.shares.level(account)
            self.assertEqual(503, (await site.ask()).status)
            site.remove_services()
            self.assertEqual(503, (await site.ask()).status)
            after = site.shares.level(account)
            self.assertGreaterEqual(after, before)

        run_site(check, [OK])

    def test_no_target_is_refused_at_once(self) -> None:
        async def check(site: Site) -> None:
            site.directory.targets_by_id = {}
            begun_s = monotonic_clock()
            self.assertEqual(503, (await site.ask()).status)
            self.assertLess(monotonic_clock() - begun_s, 0.2)

        run_site(check, [OK])


class LeavingCallerTests(TestCase):
    @parameterized.expand([("plain", ROUTE), ("stream", STREAM)])
    def test_target_is_told(self, _name: str, route: Route) -> None:
        async def check(site: Site) -> None:
            received = await site.ask(leaves_after_s=0.1)
            self.assertEqual(0, received.status)
            await asyncio.sleep(0.1)
            target: ScriptedTarget = site.targets[0]
            self.assertEqual((1, 0), (len(target.heads), target.open_connections))

        run_site(check, [SLOW], [OK], route=route)


class StoppingTests(TestCase):
    def test_answers_close_their_connections_while_stopping(self) -> None:
        async def check(site: Site) -> None:
            site.lifecycle.is_stopping = True
            received = await site.ask()
            self.assertEqual(200, received.status)
            self.assertEqual(b"close", received.headers[b"connection"])
            site.lifecycle.is_refusing = True
            self.assertEqual(503, (await site.ask()).status)

        run_site(check, [OK])

    def test_request_that_waits_for_a_model_is_refused_before_the_end(self) -> None:
        # The process used to exit while the request was still waiting for the model
        # (Hoofline trouble-2, seed 942565361552).
        async def check(site: Site) -> None:
            site.ask_for_absent_model()
            headers = [*default_headers(), (b"x-model", b"m")]
            asking = asyncio.ensure_future(site.ask(headers=headers))
            await asyncio.sleep(0.1)
            self.assertFalse(asking.done())
            site.lifecycle.is_refusing = True
            async with asyncio.timeout(0.5):
                received = await asking
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertIn(b"retry-after", received.headers)

        run_site(check, [OK], route=ROUTE._replace(timeout_s=10.0))


class CrashingRequestTests(TestCase):
    def test_is_refused_after_it_broke_several_targets(self) -> None:
        async def check(site: Site) -> None:
            for _ in range(3):
                site.list_targets()
                await site.ask()
                await asyncio.sleep(COMMON_CAUSE_S + 0.05)
            received = await site.ask()
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            other = await site.ask(body=b"another")
            self.assertEqual(502, other.status)

        run_site(check, [CUT], [CUT], [CUT], [CUT], route=IDEMPOTENT)
