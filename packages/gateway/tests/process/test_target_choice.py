"""Tests for the choice between targets that could all run a request."""

import random

from testtools import TestCase

from jaytray_gateway.process.engine_speed import EngineSpeeds
from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.target_choice import Candidate, TargetChooser
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_health import TargetHealth
from jaytray_gateway.request.overload import may_queue
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import Engine, Service
from packages.gateway.tests.request.cases import STREAM

ENGINE = Service("svc", Engine(12, 230.0, 8, 9.0, {}))
PLAIN = Service("svc", None)
REQUEST = RoutedRequest(
    request_id="r1",
    method=b"POST",
    request_target=b"/",
    host="h",
    path="/",
    headers=(),
    body=b"",
    deadline_s=None,
    key_digest=None,
    model="m",
    adapter="",
    has_token_counts=True,
    prompt_tokens=1000,
    output_tokens=100,
    prompt_parts=(),
    last_event_id="",
    original_request_id="",
    received_at_s=0.0,
)


def make_target(target_id: str) -> TargetEntry:
    return TargetEntry(
        target_id,
        "1",
        "svc",
        "v1",
        "ip:1",
        "a",
        False,
        12,
        {},
        frozenset(),
        frozenset(),
    )


TARGETS = [make_target("t1"), make_target("t2")]


class TargetChoiceTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.loads = LoadView(clock=lambda: 0.0)
        self.speeds = EngineSpeeds()
        self.connected = {"t1", "t2"}

    def choose(self, service: Service, targets: list[TargetEntry]) -> Candidate:
        chooser = TargetChooser(
            failure_domain="a",
            loads=self.loads,
            health=TargetHealth(clock=lambda: 0.0),
            speeds=self.speeds,
            has_connection=lambda target: target.target_id in self.connected,
            rng=random.Random(1),
        )
        chosen = chooser.choose(REQUEST, service, targets, 1)
        assert chosen is not None
        return chosen

    def run_requests(self, target_id: str, count: int) -> None:
        for _ in range(count):
            self.loads.start(target_id, 0, "m", priority=1)

    def test_wait_at_full_engine_follows_the_length_of_streams(self) -> None:
        # With few slots and long streams the wait was taken for a few of 60 ms, and
        # requests that could not begin in time were sent.
        for _ in range(100):
            self.speeds.record_generation("svc", output_tokens=400, generation_s=3.0)
        self.run_requests("t1", 16)
        chosen = self.choose(ENGINE, TARGETS[:1])
        self.assertAlmostEqual(4 * 3.0 / 12, chosen.wait_s, places=2)
        route = STREAM._replace(objective_s=0.8)
        self.assertFalse(
            may_queue(route, queue_s=chosen.wait_s, first_piece_s=chosen.wait_s)
        )

    def test_open_connection_is_preferred_to_a_new_one(self) -> None:
        self.connected = {"t2"}
        for service in (ENGINE, PLAIN):
            self.assertEqual("t2", self.choose(service, TARGETS).target.target_id)

    def test_load_goes_before_open_connections(self) -> None:
        self.connected = {"t2"}
        self.run_requests("t2", 8)
        for service in (ENGINE, PLAIN):
            self.assertEqual("t1", self.choose(service, TARGETS).target.target_id)
