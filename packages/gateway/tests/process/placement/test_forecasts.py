"""Tests for the leader's forecasts of when models will be loaded."""

from testtools import TestCase

from jaytray_gateway.process.placement.forecasts import NOTICE_S, forecast_ready_s
from jaytray_gateway.process.placement.target_plan import RUNS_FINISH_S, TargetPlan
from packages.gateway.tests.process.placement.test_planner import ENGINE, order, plan

LOAD_S = ENGINE.models_by_name["d"].load_s


def loading(target_plan: TargetPlan, model: str) -> TargetPlan:
    """Return the plan with a load that was ordered at second 1."""
    target_plan.record_accepted(order(True, model, listed=False), is_done=False)
    return target_plan


class ForecastTests(TestCase):
    def test_pending_load_is_ready_at_its_end(self) -> None:
        plans = [loading(plan("t1", "ab"), "d"), plan("t2", "abc")]
        found = forecast_ready_s(ENGINE, plans, ["d"], 2.0)
        self.assertEqual({"d": round(LOAD_S - 1.0 + NOTICE_S, 2)}, found)

    def test_load_after_an_unload_waits_for_it(self) -> None:
        swapped = plan("t1", "abc")
        swapped.reserved_model, swapped.reserved_at_s = "d", 2.0
        found = forecast_ready_s(ENGINE, [swapped], [], 2.0)
        self.assertEqual({"d": round(RUNS_FINISH_S + LOAD_S + NOTICE_S, 2)}, found)

    def test_awaited_models_queue_for_the_targets(self) -> None:
        plans = [loading(plan("t1", "abc"), "d"), plan("t2", "abc")]
        found = forecast_ready_s(ENGINE, plans, ["e", "f", "g"], 1.0)
        self.assertLess(found["e"], found["f"])
        self.assertLess(found["f"], found["g"])
        self.assertLess(found["d"], found["f"])

    def test_loaded_and_unknown_models_have_no_forecast(self) -> None:
        found = forecast_ready_s(ENGINE, [plan("t1", "abc")], ["a", "unknown"], 1.0)
        self.assertEqual({}, found)

    def test_without_targets_nothing_is_forecast(self) -> None:
        self.assertEqual({}, forecast_ready_s(ENGINE, [], ["d"], 1.0))
