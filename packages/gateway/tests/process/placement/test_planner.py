"""Tests for the planner's decisions, and that its steps never exceed target memory."""

from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.placement.planner import ModelStep, next_steps
from jaytray_gateway.process.placement.replica_demand import (
    Demand,
    VersionedModel,
    desired_replicas,
)
from jaytray_gateway.process.placement.target_plan import PendingOrder, TargetPlan
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.version.route_table import Engine, EngineModel

NAMES = tuple("abcdefgh")


def make_engine(names: tuple[str, ...] = NAMES) -> Engine:
    models = {n: EngineModel(n, 70.0, 2.4, 1.6, 1.2, 1.0) for n in names}
    return Engine(64, 230.0, 4, 2.0, models)


ENGINE = make_engine()


def entry(
    target_id: str, models: str, at_hand: str = "", version: str = "v1"
) -> TargetEntry:
    return TargetEntry(
        target_id,
        "1",
        "svc",
        version,
        "127.0.0.1:1",
        "a",
        False,
        64,
        {name: frozenset() for name in models},
        frozenset(),
        frozenset(at_hand),
    )


def plan(
    target_id: str, models: str, at_hand: str = "", version: str = "v1"
) -> TargetPlan:
    found = entry(target_id, models, at_hand, version)
    return TargetPlan(
        entry=found, adapters_by_model=found.adapters_by_model, order_count=0
    )


def demand(waiting: str = "", **rates: float) -> Demand:
    return Demand(rates, set(waiting), {})


def steps(
    plans: list[TargetPlan], current_demand: Demand, loads: int = 9
) -> list[ModelStep]:
    return next_steps(ENGINE, plans, current_demand, loads_allowed=loads, now_s=1.0)


class DesiredReplicasTests(TestCase):
    def test_follows_engine_time(self) -> None:
        wanted = desired_replicas(demand(a=1950.0, b=100.0), ENGINE, 6)
        self.assertEqual({"a": 3, "b": 1}, wanted)

    def test_never_exceeds_the_targets(self) -> None:
        self.assertEqual({"a": 2}, desired_replicas(demand(a=9000.0), ENGINE, 2))

    def test_has_slots_for_the_adapters_in_demand(self) -> None:
        rates = {"a": 100.0, **{f"a/a{n}": 10.0 for n in range(9)}, "a/old": 0.5}
        current_demand = Demand(rates, set(), {})
        self.assertEqual(3, desired_replicas(current_demand, ENGINE, 6)["a"])


class StepTests(TestCase):
    def test_free_memory_is_used_first(self) -> None:
        found = steps([plan("t1", "abc"), plan("t2", "ab")], demand("d"))
        self.assertEqual([ModelStep("t2", True, "d", "")], found)

    def test_replica_that_adapters_may_need_again_is_retained(self) -> None:
        plans = [plan("t1", "abe"), plan("t2", "acf")]
        rates = {"a": 200.0, "b": 20.0, "c": 20.0, "e": 20.0, "f": 20.0}
        rates |= {f"a/a{n}": 4.0 if n < 3 else 1.5 for n in range(7)}
        current_demand = Demand(rates, {"d"}, {})
        # Three adapters are in demand, which fit on one target; seven were recently.
        self.assertEqual(1, desired_replicas(current_demand, ENGINE, 2)["a"])
        found = steps(plans, current_demand)
        self.assertEqual(["d"], [step.makes_room_for for step in found])
        self.assertNotIn("a", [step.model for step in found])

    def test_model_with_least_demand_is_unloaded(self) -> None:
        found = steps([plan("t1", "abc")], demand("d", a=500.0, b=300.0))
        self.assertEqual([ModelStep("t1", False, "c", "d")], found)

    def test_surplus_replica_is_unloaded_before_a_last_one(self) -> None:
        plans = [plan("t1", "abc"), plan("t2", "abd")]
        current_demand = demand("e", a=100.0, b=900.0, c=30.0, d=30.0)
        (step,) = steps(plans, current_demand)
        self.assertEqual("a", step.model)

    def test_idle_model_is_unloaded_before_one_in_use(self) -> None:
        plans = [plan("t1", "abc"), plan("t2", "abd")]
        current_demand = Demand({}, {"e"}, {"t1": {"a", "b", "c"}})
        (step,) = steps(plans, current_demand)
        self.assertEqual("t2", step.target_id)

    def test_target_with_cached_weights_is_preferred(self) -> None:
        plans = [plan("t1", "ab"), plan("t2", "ab", at_hand="d")]
        (step,) = steps(plans, demand("d"))
        self.assertEqual("t2", step.target_id)

    def test_load_limit_holds_for_the_weight_store_only(self) -> None:
        plans = [plan("t1", "ab"), plan("t2", "ab", at_hand="d")]
        found = steps(plans, demand("de"), loads=0)
        self.assertEqual([ModelStep("t2", True, "d", "")], found)

    def test_model_with_most_demand_is_loaded_first(self) -> None:
        (step,) = steps([plan("t1", "ab")], demand("de", d=20.0, e=900.0))
        self.assertEqual("e", step.model)

    def test_victim_makes_enough_room(self) -> None:
        # The model with least demand is too small to make room for a large one.
        models = {
            "a": EngineModel("a", 70.0, 2.4, 1.6, 1.2, 1.0),
            "s": EngineModel("s", 40.0, 2.4, 1.6, 1.2, 1.0),
            "d": EngineModel("d", 90.0, 2.4, 1.6, 1.2, 1.0),
        }
        engine = Engine(64, 130.0, 4, 2.0, models)
        current_demand = demand("d", a=30.0)
        found = next_steps(
            engine, [plan("t1", "as")], current_demand, loads_allowed=9, now_s=1.0
        )
        self.assertEqual([ModelStep("t1", False, "a", "d")], found)

    def test_several_victims_make_room_together(self) -> None:
        models = {
            name: EngineModel(name, size, 2.4, 1.6, 1.2, 1.0)
            for name, size in (("a", 40.0), ("s", 40.0), ("d", 90.0))
        }
        engine = Engine(64, 100.0, 4, 2.0, models)
        target_plan = plan("t1", "as")
        (step,) = next_steps(
            engine, [target_plan], demand("d", a=10.0), loads_allowed=9, now_s=1.0
        )
        self.assertEqual(ModelStep("t1", False, "s", "d"), step)
        target_plan.reserved_model = "d"
        target_plan.models = {"a"}
        found = next_steps(
            engine, [target_plan], demand("d", a=10.0), loads_allowed=9, now_s=1.0
        )
        self.assertEqual([ModelStep("t1", False, "a", "d")], found)

    def test_surplus_replica_in_use_makes_room(self) -> None:
        plans = [plan("t1", "abc"), plan("t2", "afg")]
        in_use = {"t1": {"a", "b"}, "t2": {"a"}}
        rates = {"a": 300.0, "b": 40.0, "c": 40.0, "f": 40.0, "g": 40.0}
        found = steps(plans, Demand(rates, {"d"}, in_use))
        self.assertEqual(["a"], [step.model for step in found])

    def test_weights_that_are_kept_at_hand_are_unloaded_first(self) -> None:
        plans = [plan("t1", "abc", at_hand="c"), plan("t2", "efg")]
        (step,) = steps(plans, demand("d"))
        self.assertEqual("c", step.model)

    def test_model_is_not_unloaded_just_after_its_load(self) -> None:
        target_plan = plan("t1", "abc")
        target_plan.loaded_at_s_by_model = {"a": 0.9, "b": 0.9, "c": 0.9}
        self.assertEqual([], steps([target_plan], demand("d")))
        target_plan.loaded_at_s_by_model["c"] = -5.0
        (step,) = steps([target_plan], demand("d"))
        self.assertEqual("c", step.model)

    def test_loads_of_rare_models_leave_targets_to_busy_ones(self) -> None:
        plans = [plan(f"t{n}", names) for n, names in enumerate(("abc", "abc", "abe"))]
        rates = {"a": 900.0, "d": 5.0, "f": 5.0, "g": 5.0}
        found = steps(plans, Demand(rates, {"d", "f", "g"}, {}))
        self.assertEqual(1, len(found))
        busy = Demand(rates | {"h": 900.0}, {"d", "f", "g", "h"}, {})
        found = steps(plans, busy)
        self.assertIn("h", [step.makes_room_for for step in found])

    def test_no_swap_without_a_clear_gain(self) -> None:
        rates = dict.fromkeys("abc", 60.0)
        self.assertEqual([], steps([plan("t1", "abc")], demand("d", **rates)))

    def test_model_is_loaded_at_the_version_that_streams_wait_for(self) -> None:
        plans = [
            plan("t1", "abc"),
            plan("t2", "ad", version="v2"),
            plan("t3", "e", version="v2"),
        ]
        at_version = frozenset((VersionedModel("d", "v1"), VersionedModel("d", "v2")))
        found = steps(plans, Demand({}, set(), {}, at_version))
        self.assertEqual(["t1"], [step.target_id for step in found])
        self.assertEqual(["d"], [step.makes_room_for for step in found])

    def test_model_is_not_loaded_for_a_version_without_targets(self) -> None:
        at_version = frozenset((VersionedModel("d", "v3"),))
        current_demand = Demand({}, set(), {}, at_version)
        self.assertEqual([], steps([plan("t1", "a")], current_demand))

    def test_reserved_memory_is_used_for_its_model(self) -> None:
        target_plan = plan("t1", "ab")
        target_plan.reserved_model = "d"
        found = steps([target_plan, plan("t2", "abc")], demand("d"))
        self.assertEqual([ModelStep("t1", True, "d", "")], found)

    @parameterized.expand([("step",), ("avoided",)])
    def test_busy_target_gets_no_step(self, reason: str) -> None:
        busy = plan("t1", "ab")
        busy.has_model_step = reason == "step"
        busy.avoided_until_s = 2.0 if reason == "avoided" else 0.0
        self.assertEqual([], steps([busy], demand("d")))

    def test_last_target_that_can_load_adapters_gets_no_step(self) -> None:
        busy, last = plan("t1", "abc"), plan("t2", "abd")
        busy.has_model_step = True
        rates = {"a": 500.0, "a/a1": 50.0}
        self.assertEqual([], steps([busy, last], Demand(rates, {"e"}, {})))

    @given(
        st.lists(st.sets(st.sampled_from(NAMES), max_size=3), min_size=1, max_size=6),
        st.dictionaries(st.sampled_from(NAMES), st.floats(0, 5000)),
        st.sets(st.sampled_from(NAMES)),
        st.integers(0, 5),
    )
    def test_steps_fit(
        self,
        held: list[set[str]],
        rates: dict[str, float],
        waiting: set[str],
        loads: int,
    ) -> None:
        plans = [plan(f"t{n}", "".join(sorted(m))) for n, m in enumerate(held)]
        found = steps(plans, Demand(rates, waiting, {}), loads)
        by_id = {p.target_id: p for p in plans}
        self.assertEqual(len(found), len({step.target_id for step in found}))
        self.assertLessEqual(sum(step.is_load for step in found), loads)
        for step in found:
            if step.is_load:
                self.assertTrue(by_id[step.target_id].has_room(ENGINE, step.model, ""))
            else:
                self.assertIn(step.model, by_id[step.target_id].models)


def order(
    is_load: bool, model: str, *, listed: bool, adapter: str = ""
) -> PendingOrder:
    return PendingOrder("1", is_load, model, adapter, 0, 1.0, listed)


class TargetPlanTests(TestCase):
    def test_entry_older_than_the_report_frees_no_memory(self) -> None:
        # After an outage, directory entries may be older than the last load.
        target_plan = plan("t1", "abc")
        target_plan.apply_entry(entry("t1", "ab"), 2.0)
        self.assertFalse(target_plan.has_room(ENGINE, "d", ""))

    def test_pending_load_occupies_memory_until_listed(self) -> None:
        target_plan = plan("t1", "ab")
        target_plan.record_accepted(order(True, "c", listed=False), is_done=False)
        self.assertFalse(target_plan.has_room(ENGINE, "d", ""))
        target_plan.apply_entry(entry("t1", "ab"), 2.0)
        self.assertIsNotNone(target_plan.model_order)
        target_plan.apply_entry(entry("t1", "abc"), 3.0)
        self.assertIsNone(target_plan.model_order)
        self.assertEqual({"a", "b", "c"}, target_plan.models)

    def test_unload_frees_memory_only_once_the_entry_shows_it(self) -> None:
        target_plan = plan("t1", "abc")
        target_plan.record_accepted(order(False, "c", listed=True), is_done=False)
        target_plan.apply_entry(entry("t1", "abc"), 2.0)
        self.assertFalse(target_plan.has_room(ENGINE, "d", ""))
        target_plan.apply_entry(entry("t1", "ab"), 3.0)
        self.assertTrue(target_plan.has_room(ENGINE, "d", ""))
        target_plan.apply_entry(entry("t1", "abc"), 3.5)
        self.assertTrue(target_plan.has_room(ENGINE, "d", ""))

    def test_unload_of_a_model_that_was_not_listed_waits_for_a_report(self) -> None:
        target_plan = plan("t1", "abc")
        target_plan.record_accepted(order(False, "c", listed=False), is_done=False)
        target_plan.apply_entry(entry("t1", "ab"), 2.0)
        self.assertFalse(target_plan.has_room(ENGINE, "d", ""))
        self.assertTrue(target_plan.is_overdue(ENGINE, 20.0))

    def test_unacknowledged_order_counts_until_the_order_count_advances(self) -> None:
        target_plan = plan("t1", "ab")
        target_plan.record_unacknowledged(order(True, "c", listed=False))
        self.assertFalse(target_plan.has_room(ENGINE, "d", ""))
        target_plan.record_accepted(order(False, "a", listed=True), is_done=False)
        target_plan.apply_entry(entry("t1", "b"), 2.0)
        self.assertTrue(target_plan.has_room(ENGINE, "d", ""))

    def test_unacknowledged_order_counts_while_it_may_take_effect(self) -> None:
        target_plan = plan("t1", "ab")
        target_plan.record_unacknowledged(order(True, "c", listed=False))
        target_plan.apply_entry(entry("t1", "ab"), 10.0)
        self.assertFalse(target_plan.has_room(ENGINE, "d", ""))
        target_plan.apply_entry(entry("t1", "ab"), 20.0)
        self.assertTrue(target_plan.has_room(ENGINE, "d", ""))

    def test_unload_of_a_model_that_may_load_late_frees_no_memory(self) -> None:
        late = order(True, "c", listed=False)._replace(incarnation="0")
        found = entry("t1", "abc")
        target_plan = TargetPlan(
            entry=found,
            adapters_by_model=found.adapters_by_model,
            order_count=5,
            unacknowledged_orders=[late],
        )
        unload = order(False, "c", listed=True)._replace(expected_order_count=5)
        target_plan.record_accepted(unload, is_done=False)
        self.assertFalse(target_plan.has_room_after_unload(ENGINE, "d"))

    def test_adapters_never_exceed_their_slots(self) -> None:
        target_plan = plan("t1", "a")
        for number in range(4):
            name = f"a{number}"
            self.assertTrue(target_plan.has_room(ENGINE, "a", name))
            load = order(True, "a", listed=True, adapter=name)
            target_plan.record_accepted(load, is_done=False)
        self.assertFalse(target_plan.has_room(ENGINE, "a", "a9"))
        target_plan.record_accepted(
            order(False, "a", listed=True, adapter="a0"), is_done=True
        )
        self.assertTrue(target_plan.has_room(ENGINE, "a", "a9"))

    @parameterized.expand(
        [
            ("accepted", True, "", False, 1),
            ("already_there", True, "x", True, 0),
            ("dropped_at_once", False, "x", True, 1),
        ]
    )
    def test_count_of_orders(
        self, _name: str, is_load: bool, adapter: str, is_done: bool, count: int
    ) -> None:
        target_plan = plan("t1", "a")
        given = order(is_load, "a", listed=True, adapter=adapter)
        target_plan.record_accepted(given, is_done=is_done)
        self.assertEqual(count, target_plan.order_count)
