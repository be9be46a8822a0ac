"""Tests of the crash evidence about requests."""

from hypothesis import given, strategies as st
from testtools import TestCase

from jaytray_server.process.quarantine.evidence import (
    QUARANTINE_S,
    SUSPICION_S,
    CrashReport,
    Evidence,
)


class Clock:
    """A wall clock that tests set manually."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


class EvidenceTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.evidence = Evidence(wall_clock=self.clock)

    def quarantined(self) -> list[str]:
        """Return the digests of quarantined requests."""
        found = self.evidence.list_suspects()
        return [s.digest for s in found if s.is_quarantined]

    def test_second_crash_quarantines_the_suspect_only(self) -> None:
        self.evidence.report_crash("t1/1", ["bad", "innocent"])
        self.assertEqual([], self.quarantined())
        report = self.evidence.report_crash("t2/1", ["bad", "bystander"])
        self.assertEqual(["bystander"], report.exonerated)
        self.assertEqual(["bad"], self.quarantined())
        self.assertIsNone(self.evidence.find("bystander"))

    def test_one_crash_seen_by_two_vms_counts_once(self) -> None:
        for _ in range(2):
            self.evidence.report_crash("t1/1", ["bad"])
        self.assertEqual([], self.quarantined())

    def test_crash_explained_by_another_vm_clears_bystanders(self) -> None:
        self.evidence.report_crash("t1/1", ["bad"])
        self.evidence.report_crash("t2/1", ["bystander"])
        self.evidence.apply(CrashReport("t2/1", ["bad"], [], self.clock()))
        self.assertEqual(["bad"], self.quarantined())
        self.assertIsNone(self.evidence.find("bystander"))

    def test_evidence_expires(self) -> None:
        self.evidence.report_crash("t1/1", ["bad", "once"])
        self.evidence.report_crash("t2/1", ["bad"])
        self.clock.now_s += SUSPICION_S + 1
        self.assertIsNone(self.evidence.find("once"))
        self.assertEqual(["bad"], self.quarantined())
        self.clock.now_s += QUARANTINE_S
        self.assertEqual([], self.quarantined())

    def test_cleared_request_has_no_earlier_crash(self) -> None:
        self.evidence.report_crash("t1/1", ["a"])
        self.evidence.clear("a", ("t1/1",))
        self.evidence.report_crash("t2/1", ["a"])
        self.assertEqual([], self.quarantined())

    def test_late_clearing_does_not_hide_a_newer_crash(self) -> None:
        self.evidence.report_crash("t1/1", ["a"])
        self.evidence.clear("a", ("t1/1",))
        self.evidence.report_crash("t2/1", ["a"])
        self.evidence.clear("a", ("t1/1",))
        found = self.evidence.find("a")
        self.assertEqual(("t2/1",), found.crash_ids if found else ())

    @given(order=st.permutations(range(3)))
    def test_reports_in_any_order_quarantine_the_culprit(
        self, order: list[int]
    ) -> None:
        reports = [
            CrashReport("t1/1", ["bad", "x"], [], 1000.0),
            CrashReport("t2/1", ["bad"], ["y"], 1000.0),
            CrashReport("t1/1", ["bad", "x"], [], 1000.0),
        ]
        evidence = Evidence(wall_clock=Clock())
        for position in order:
            evidence.apply(reports[position])
        found = {s.digest: s.is_quarantined for s in evidence.list_suspects()}
        self.assertTrue(found["bad"])
        self.assertFalse(found.get("x", False))
