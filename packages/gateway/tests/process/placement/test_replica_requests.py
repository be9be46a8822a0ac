"""Tests for replica requests at the placement leader."""

from testtools import TestCase

from jaytray_gateway.process.member_messages import ReplicaRequest
from jaytray_gateway.process.placement.replica_demand import VersionedModel
from jaytray_gateway.process.placement.replica_requests import (
    REPLICA_REQUEST_TTL_S,
    ReplicaRequests,
)
from packages.gateway.tests.process.placement.test_planner import entry


class ReplicaRequestsTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        self.requests = ReplicaRequests(clock=lambda: self.now_s)
        self.requests.add(ReplicaRequest("svc", "a", ""))
        self.requests.add(ReplicaRequest("svc", "a", "a1"))
        self.requests.add(ReplicaRequest("svc", "b", "", "v2"))
        self.requests.add(ReplicaRequest("other", "a", ""))

    def test_requests_are_listed_by_what_they_need(self) -> None:
        self.assertEqual({"a"}, self.requests.models_of("svc"))
        self.assertEqual(
            {VersionedModel("b", "v2")}, self.requests.versioned_models_of("svc")
        )
        self.assertEqual(
            [ReplicaRequest("svc", "a", "a1")], self.requests.adapters_of("svc")
        )

    def test_load_serves_the_requests_for_its_model(self) -> None:
        self.requests.drop(ReplicaRequest("svc", "a", "a1"))
        self.requests.drop_served(entry("t1", "a"), "a")
        self.assertEqual(set(), self.requests.models_of("svc"))
        self.assertEqual({"a"}, self.requests.models_of("other"))

    def test_load_serves_no_adapter_and_no_other_version(self) -> None:
        self.requests.drop_served(entry("t1", "ab"), "a")
        self.requests.drop_served(entry("t1", "ab"), "b")
        self.assertEqual(1, len(self.requests.adapters_of("svc")))
        self.assertEqual(1, len(self.requests.versioned_models_of("svc")))

    def test_requests_that_are_not_repeated_expire(self) -> None:
        self.now_s += REPLICA_REQUEST_TTL_S - 0.1
        self.requests.add(ReplicaRequest("other", "a", ""))
        self.now_s += 0.2
        self.requests.drop_expired()
        self.assertEqual(set(), self.requests.models_of("svc"))
        self.assertEqual({"a"}, self.requests.models_of("other"))
