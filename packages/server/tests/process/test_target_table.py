"""Tests of the target table: delayed reports and own requests in flight."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.targets import LoadReport, Resident, ResidentState
from jaytray_server.process.target_table import (
    INITIAL_SUSPICION_S,
    MAX_SUSPICION_S,
    TargetLoad,
    TargetTable,
)
from jaytray_standins.virtual_time import VirtualClock


def make_report(
    *, taken_at_s: float = 0.0, boot_id: str = "b1", running: int = 0, model: str = "m"
) -> LoadReport:
    resident = Resident(model, model, "v1", 0, 10, ResidentState.READY)
    return LoadReport(
        "t", boot_id, taken_at_s, [resident], [], 0, running, 0, running * 100, False
    )


class ManualClock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class TargetTableTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.table = TargetTable(clock=self.clock)

    @parameterized.expand(
        [
            ("sent_after_the_report", 2.0, TargetLoad(4, 350)),
            ("sent_within_the_lag", -0.5, TargetLoad(4, 350)),
            ("long_in_the_report", -5.0, TargetLoad(3, 300)),
        ]
    )
    def test_own_requests_add_to_the_report(
        self, _name: str, sent_after_s: float, expected: TargetLoad
    ) -> None:
        self.clock.now_s = 100.0 + min(0.0, sent_after_s)
        if sent_after_s <= 0:
            self.table.record_start("t", "r", 50)
        self.clock.now_s = 100.0
        self.table.record_report(make_report(running=3))
        self.clock.now_s = 100.0 + max(0.0, sent_after_s)
        if sent_after_s > 0:
            self.table.record_start("t", "r", 50)
        self.assertEqual(expected, self.table.load_of("t"))
        self.table.record_finish("t", "r")
        self.assertEqual(TargetLoad(3, 300), self.table.load_of("t"))

    def test_an_older_report_of_the_same_boot_is_ignored(self) -> None:
        self.assertTrue(self.table.record_report(make_report(taken_at_s=5, running=2)))
        self.assertFalse(self.table.record_report(make_report(taken_at_s=4)))
        self.assertEqual(2, self.table.load_of("t").requests)

    def test_a_restart_empties_the_index_of_replicas(self) -> None:
        self.table.record_report(make_report(taken_at_s=5))
        self.table.record_report(make_report(boot_id="b2", model="other"))
        self.assertEqual({}, self.table.ready_replicas("m"))
        self.assertEqual({"t"}, set(self.table.ready_replicas("other")))

    def test_suspicion_doubles_up_to_its_limit_and_ends(self) -> None:
        self.table.record_report(make_report())
        durations = []
        for _ in range(2_000):
            self.table.record_failure("t")
            started_at_s = self.clock.now_s
            while self.table.is_suspected("t"):
                self.clock.now_s += INITIAL_SUSPICION_S
                self.table.record_report(make_report(taken_at_s=self.clock.now_s))
            durations.append(self.clock.now_s - started_at_s)
        self.assertEqual([1.0, 2.0, 4.0], durations[:3])
        self.assertEqual(MAX_SUSPICION_S, durations[-1])

    def test_a_silent_target_is_suspected(self) -> None:
        clock = VirtualClock()
        self.assertTrue(TargetTable(clock=clock).is_suspected("t"))
        self.table.record_report(make_report())
        self.clock.now_s += self.table.report_stale_s + 1
        self.assertTrue(self.table.is_suspected("t"))
