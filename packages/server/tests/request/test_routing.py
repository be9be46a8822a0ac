"""Tests of the router: targets avoided and preferred, requests refused."""

from random import Random

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.document.model import (
    Adapter,
    Document,
    Model,
    Target,
    TrafficClass,
    empty_document,
)
from jaytray_core.errors import Execution, JaytrayError
from jaytray_core.targets import LoadReport, Resident, ResidentState
from jaytray_server.ports import RoutingRequest
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.decision_log import DecisionLog
from jaytray_server.process.target_table import TargetTable
from jaytray_server.request.routing import make_router

SLOTS = 8
REQUEST = RoutingRequest(
    "r1", "m", "a1", TrafficClass.INTERACTIVE, 10, 100, (), frozenset(), 101.0
)


def make_document(drained: str) -> Document:
    return empty_document("trial")._replace(
        models_by_name={"m": Model("m", "v1", 10, 1, 3, 100, 1.0, 0.05)},
        adapters_by_name={"ad": Adapter("ad", "m", "v1", 1)},
        targets_by_name={
            name: Target(name, "", "domain", 1, 100, True, SLOTS, name == drained)
            for name in ("t1", "t2", "t3")
        },
    )


class RoutingTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        self.document = make_document(drained="")
        self.table = TargetTable(clock=self.clock)
        self.cache_index = CacheIndex(clock=self.clock)
        self.decisions = DecisionLog(max_decisions=3)
        self.router = make_router(
            table=self.table,
            cache_index=self.cache_index,
            current_document=lambda: self.document,
            clock=self.clock,
            random=Random(7),
            vm_failure_domain="domain",
            decisions=self.decisions,
        )
        for target in ("t1", "t2"):
            self.report(target)

    def clock(self) -> float:
        return self.now_s

    def report(
        self,
        target: str,
        *,
        running: int = 0,
        names: tuple[str, ...] = ("m",),
        version: str = "v1",
    ) -> None:
        residents = [
            Resident(n, "m", version, 0, 1, ResidentState.READY) for n in names
        ]
        self.table.record_report(
            LoadReport(
                target,
                "b",
                self.now_s,
                residents,
                [],
                0,
                running,
                0,
                100 * running,
                False,
            )
        )

    def choices(self, request: RoutingRequest = REQUEST) -> set[str]:
        return {self.router.choose(request).target for _ in range(30)}

    def code_of_refusal(self, request: RoutingRequest) -> str:
        error = self.assertRaises(JaytrayError, self.router.choose, request)
        self.assertEqual(Execution.NOT_RUN, error.execution)
        return str(error.code)

    @parameterized.expand(["drained", "leaving", "suspected", "slow", "busy", "tried"])
    def test_a_worse_replica_is_avoided(self, why: str) -> None:
        request = REQUEST
        if why == "drained":
            self.document = make_document(drained="t1")
        elif why == "leaving":
            report = self.table.report_of("t1")
            assert report is not None
            self.table.record_report(
                report._replace(taken_at_s=self.now_s + 1, is_leaving=True)
            )
        elif why == "suspected":
            self.router.record_failure("t1")
        elif why == "slow":
            self.table.mark_slow("t1")
        elif why == "busy":
            for number in range(4):
                self.router.record_start("t1", f"own-{number}", 100)
        else:
            request = REQUEST._replace(excluded_targets=frozenset({"t1"}))
        self.assertEqual({"t2"}, self.choices(request))

    def test_a_suspected_replica_is_better_than_none(self) -> None:
        self.router.record_failure("t1")
        request = REQUEST._replace(excluded_targets=frozenset({"t2"}))
        self.assertEqual({"t1"}, self.choices(request))

    def test_cached_prefix_is_preferred_until_the_load_is_too_high(self) -> None:
        request = REQUEST._replace(prefix_digests=("p1", "p2"))
        self.cache_index.record_dispatch("t2", ("p1", "p2"))
        self.assertEqual("t2", self.router.choose(request).target)
        for number in range(4):
            self.router.record_start("t2", f"own-{number}", 100)
        self.assertEqual("t1", self.router.choose(request).target)

    def test_loaded_adapter_is_preferred_and_a_missing_one_is_reported(self) -> None:
        request = REQUEST._replace(name="ad")
        self.assertTrue(self.router.choose(request).needs_adapter_load)
        self.now_s += 1
        self.report("t2", names=("m", "ad"))
        self.assertEqual({"t2"}, self.choices(request))
        self.assertFalse(self.router.choose(request).needs_adapter_load)

    def test_a_stream_goes_on_at_its_model_version_only(self) -> None:
        self.now_s += 1
        self.report("t2", names=("m", "ad"), version="v2")
        for name in ("m", "ad"):
            for version, target in (("v1", "t1"), ("v2", "t2")):
                request = REQUEST._replace(name=name, model_version=version)
                self.assertEqual({target}, self.choices(request))
                self.assertEqual(version, self.router.choose(request).model_version)
        self.assertEqual(
            "no_replica", self.code_of_refusal(REQUEST._replace(model_version="v3"))
        )

    def test_a_late_piece_marks_the_target_as_slow(self) -> None:
        self.router.record_start("t1", "own", 100)
        self.now_s += 1.5
        self.router.record_progress("t1", "own", 99)
        self.assertTrue(self.table.is_slow("t1"))

    def test_refusals(self) -> None:
        self.assertEqual(
            "model_unknown", self.code_of_refusal(REQUEST._replace(name="x"))
        )
        self.now_s += 0.5
        for target in ("t1", "t2"):
            self.report(target, running=3 * SLOTS)
        self.assertEqual("deadline_unreachable", self.code_of_refusal(REQUEST))
        deferred = REQUEST._replace(traffic_class=TrafficClass.DEFERRED)
        self.assertIn(self.router.choose(deferred).target, ("t1", "t2"))
        everywhere = frozenset({"t1", "t2", "t3"})
        request = REQUEST._replace(excluded_targets=everywhere)
        self.assertEqual("no_replica", self.code_of_refusal(request))

    @parameterized.expand([("short", 0.05, True), ("long", 5.0, False)])
    def test_deadline_refusal_follows_measured_run_times(
        self, _name: str, run_s: float, is_admitted: bool
    ) -> None:
        for target in ("t1", "t2"):
            self.router.record_start(target, "own", 100)
        self.now_s += run_s
        for target in ("t1", "t2"):
            self.router.record_finish(target, "own")
            self.report(target, running=3 * SLOTS)
        request = REQUEST._replace(deadline_s=self.now_s + 1.0)
        if is_admitted:
            self.assertIn(self.router.choose(request).target, ("t1", "t2"))
        else:
            self.assertEqual("deadline_unreachable", self.code_of_refusal(request))

    def test_decisions_are_found_by_request_id_in_a_bounded_ring(self) -> None:
        target = self.router.choose(REQUEST).target
        self.assertEqual([target], [r.target for r in self.decisions.find("r1")])
        for number in range(3):
            self.router.choose(REQUEST._replace(request_id=f"other-{number}"))
        self.assertEqual([], self.decisions.find("r1"))
