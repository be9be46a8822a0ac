"""Tests of the assignment of targets and models to groups, and of load pacing."""

from hypothesis import given, settings, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.document.model import Document, Model, Target, empty_document
from jaytray_core.targets import OrderKind
from jaytray_server.process.placement.changes import PlannedChange, Urgency
from jaytray_server.process.placement.groups import (
    CANDIDATES_PER_GROUP,
    MAX_TARGETS_PER_GROUP,
    lease_candidates,
    make_groups,
)
from jaytray_server.process.placement.pacing import LoadLimits, LoadPacer


def make_document(targets: int, models: int) -> Document:
    return empty_document("trial")._replace(
        models_by_name={
            f"m{n}": Model(f"m{n}", "v1", 10 + n % 7, 1, 2, 10, 1.0, 0.1)
            for n in range(models)
        },
        targets_by_name={
            f"t{n}": Target(f"t{n}", "", f"d{n % 7}", 2, 100, True, 8, False)
            for n in range(targets)
        },
    )


class GroupsTests(TestCase):
    @settings(max_examples=25)
    @given(st.integers(0, 200), st.integers(0, 60))
    def test_each_target_and_model_has_one_group(
        self, targets: int, models: int
    ) -> None:
        document = make_document(targets, models)
        groups = make_groups(document).values()
        self.assertEqual(targets, sum(len(group.targets) for group in groups))
        self.assertEqual(models, sum(len(group.models) for group in groups))
        self.assertEqual(
            set(document.targets_by_name), set().union(*(g.targets for g in groups))
        )

    def test_groups_at_the_design_size_span_domains(self) -> None:
        document = make_document(1_400, 480)
        for group in make_groups(document).values():
            domains = {
                document.targets_by_name[t].failure_domain for t in group.targets
            }
            self.assertGreaterEqual(len(domains), 2)
            self.assertLess(len(group.targets), 2 * MAX_TARGETS_PER_GROUP)

    def test_candidates_lose_only_the_vm_that_is_gone(self) -> None:
        vms = [f"vm-{n}" for n in range(20)]
        before = lease_candidates("group-0", vms)
        after = lease_candidates("group-0", [vm for vm in vms if vm != before[0]])
        self.assertEqual(CANDIDATES_PER_GROUP, len(before))
        self.assertEqual(before[1:], after[:2])


class LoadPacerTests(TestCase):
    @parameterized.expand(
        [
            ("free", Urgency.DEMAND, 0, 10.0, True),
            ("last_place_for_demand", Urgency.DEMAND, 1, 10.0, True),
            ("last_place_not_for_spread", Urgency.SPREAD, 1, 10.0, False),
            ("all_places_taken", Urgency.UNREACHABLE, 2, 10.0, False),
            ("too_soon", Urgency.UNREACHABLE, 0, 0.5, False),
        ]
    )
    def test_loads(
        self, _name: str, urgency: Urgency, loading: int, later_s: float, expected: bool
    ) -> None:
        now_s = 0.0
        pacer = LoadPacer(clock=lambda: now_s, limits=LoadLimits(1.0, 2))
        pacer.note_load()
        now_s = later_s
        change = PlannedChange(
            OrderKind.LOAD_MODEL, "t", 0, "m", "m", "v1", 1, urgency, ""
        )
        is_allowed = pacer.allows(change, models_loading=loading, adapters_loading=0)
        self.assertEqual(expected, is_allowed)
