"""Tests for the choice of the target of an adapter load and of the evicted adapter."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.load_view import LoadView
from jaytray_gateway.process.placement.adapter_choice import (
    are_adapter_slots_full,
    choose_target,
    choose_victim,
)
from jaytray_gateway.process.placement.target_plan import TargetPlan
from packages.gateway.tests.process.placement.test_planner import ENGINE, plan


def loads() -> LoadView:
    return LoadView(clock=lambda: 10.0)


def plan_with_adapters(target_id: str, count: int) -> TargetPlan:
    target_plan = plan(target_id, "a")
    target_plan.used_at_s_by_adapter = {("a", f"a{n}"): 1.0 for n in range(count)}
    return target_plan


def choose(plans: list[TargetPlan], view: LoadView | None = None) -> str | None:
    return choose_target(
        ENGINE, plans, "a", "x", rates={}, loads=view or loads(), now_s=10.0
    )


class AdapterChoiceTests(TestCase):
    def test_target_that_has_the_adapter_is_chosen(self) -> None:
        has = plan_with_adapters("t2", 2)
        has.used_at_s_by_adapter[("a", "x")] = 1.0
        self.assertEqual("t2", choose([plan_with_adapters("t1", 0), has]))

    def test_least_loaded_target_is_chosen(self) -> None:
        view = loads()
        view.start("t1", 100, "a", priority=0)
        self.assertEqual("t2", choose([plan("t1", "a"), plan("t2", "a")], view))

    def test_slots_are_left_to_a_model_with_fewer_replicas(self) -> None:
        plans = [plan("t1", "ab"), plan("t2", "ac"), plan("t3", "d")]
        found = choose_target(
            ENGINE,
            plans,
            "a",
            "x",
            rates={"a/x": 5.0, "b/a1": 5.0, "c": 50.0},
            loads=loads(),
            now_s=10.0,
        )
        self.assertEqual("t2", found)

    @parameterized.expand([("step",), ("avoided",), ("without_the_model",)])
    def test_unable_target_is_left_out(self, reason: str) -> None:
        target_plan = plan("t1", "b" if reason == "without_the_model" else "a")
        target_plan.has_model_step = reason == "step"
        target_plan.avoided_until_s = 11.0 if reason == "avoided" else 0.0
        self.assertIsNone(choose([target_plan]))

    def test_adapter_in_use_is_not_evicted(self) -> None:
        full = plan_with_adapters("t1", 4)
        view = loads()
        for number in range(3):
            view.start("t1", 10, f"a/a{number}", priority=0)
        self.assertTrue(are_adapter_slots_full(ENGINE, full))
        victim = choose_victim(full, rates={}, loads=view, now_s=10.0)
        self.assertEqual(("a", "a3"), victim)
        view.start("t1", 10, "a/a3", priority=0)
        self.assertIsNone(choose([full], view))

    def test_adapter_with_least_demand_is_evicted(self) -> None:
        rates = {"a/a0": 5.0, "a/a1": 1.0, "a/a2": 7.0, "a/a3": 2.0}
        victim = choose_victim(
            plan_with_adapters("t1", 4), rates=rates, loads=loads(), now_s=10.0
        )
        self.assertEqual(("a", "a1"), victim)
