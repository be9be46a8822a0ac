"""Tests of the changes that the planner returns in given situations."""

from typing import NamedTuple

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.document.model import (
    Adapter,
    Document,
    Model,
    Target,
    empty_document,
)
from jaytray_core.targets import OrderKind, Resident, ResidentState
from jaytray_server.process.demand import Demand
from jaytray_server.process.placement.changes import PlannedChange
from jaytray_server.process.placement.planner import plan
from jaytray_server.process.placement.state import TargetState

READY = ResidentState.READY
LOAD, UNLOAD = OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL
# Two targets in different failure domains, with one accelerator of 30 MiB each.
TARGETS = {
    name: Target(name, "", domain, 1, 30, True, 10, False)
    for name, domain in (("t1", "d1"), ("t2", "d2"))
}


def model(name: str, size: int, *, version: str = "v1", min_replicas: int = 1) -> Model:
    return Model(name, version, size, min_replicas, 2, 100, 1.0, 0.1)


def make_document(*models: Model, adapters: tuple[Adapter, ...] = ()) -> Document:
    return empty_document("trial")._replace(
        models_by_name={each.name: each for each in models},
        adapters_by_name={each.name: each for each in adapters},
        targets_by_name=TARGETS,
    )


class Held(NamedTuple):
    target: str
    name: str
    memory_mib: int
    version: str = "v1"
    model: str = ""


def states(*held: Held, lost: str = "") -> list[TargetState]:
    return [
        TargetState(
            target=target,
            is_usable=name != lost,
            may_take_orders=True,
            residents=tuple(
                Resident(h.name, h.model or h.name, h.version, 0, h.memory_mib, READY)
                for h in held
                if h.target == name
            ),
            orders=(),
            unsettled_order_ids=frozenset(),
        )
        for name, target in TARGETS.items()
    ]


def summarise(changes: list[PlannedChange]) -> list[tuple[OrderKind, str, str]]:
    return [(change.kind, change.name, change.target) for change in changes]


class PlannerTests(TestCase):
    @parameterized.expand(
        [
            (
                "unreachable_first",
                make_document(model("a", 8), model("b", 8)),
                states(Held("t1", "a", 8), lost="t2"),
                {},
                [(LOAD, "b", "t1")],
            ),
            (
                "second_domain_where_memory_allows",
                make_document(model("a", 8)),
                states(Held("t1", "a", 8)),
                {},
                [(LOAD, "a", "t2")],
            ),
            (
                "surplus_replica_makes_room",
                make_document(model("a", 16), model("b", 20)),
                states(Held("t1", "a", 16), Held("t2", "a", 16)),
                {},
                [(UNLOAD, "a", "t1")],
            ),
            (
                "last_replica_never_leaves",
                make_document(model("a", 16), model("b", 20)),
                states(Held("t1", "a", 16), lost="t2"),
                {},
                [],
            ),
            (
                "blocking_last_replica_is_first_loaded_elsewhere",
                make_document(model("a", 10), model("b", 25), model("c", 15)),
                states(Held("t1", "a", 10), Held("t2", "c", 15)),
                {},
                [(LOAD, "a", "t2")],
            ),
            (
                "new_version_loads_before_the_old_leaves",
                make_document(model("a", 8, version="v2")),
                states(Held("t1", "a", 8)),
                {},
                [(LOAD, "a", "t2")],
            ),
            (
                "old_version_leaves_when_the_new_one_is_ready",
                make_document(model("a", 8, version="v2")),
                states(Held("t1", "a", 8), Held("t2", "a", 8, "v2")),
                {},
                [(UNLOAD, "a", "t1")],
            ),
            (
                "undeclared_model_leaves",
                make_document(model("a", 8)),
                states(Held("t1", "a", 8), Held("t2", "a", 8), Held("t1", "x", 8)),
                {},
                [(UNLOAD, "x", "t1")],
            ),
            (
                "demand_takes_no_replica_from_a_model_in_two_domains",
                make_document(model("a", 16), model("b", 20)),
                states(Held("t1", "a", 16), Held("t2", "b", 20)),
                {"b": Demand(900.0, 900.0)},
                [],
            ),
        ]
    )
    def test_models(
        self,
        _name: str,
        document: Document,
        targets: list[TargetState],
        demand: dict[str, Demand],
        expected: list[tuple[OrderKind, str, str]],
    ) -> None:
        changes = plan(document=document, states=targets, demand_by_name=demand)
        self.assertEqual(expected, summarise(changes))

    def test_requested_adapter_is_loaded_on_its_requested_target(self) -> None:
        adapter = Adapter("ad", "a", "v1", 2)
        document = make_document(model("a", 8), adapters=(adapter,))
        for requested in ("t1", "t2"):
            changes = plan(
                document=document,
                states=states(Held("t1", "a", 8), Held("t2", "a", 8)),
                demand_by_name={},
                requested_targets_by_adapter={"ad": requested},
            )
            self.assertEqual(
                [(OrderKind.LOAD_ADAPTER, "ad", requested)], summarise(changes)
            )

    def test_idle_adapter_is_evicted_for_one_with_demand(self) -> None:
        adapters = (Adapter("idle", "a", "v1", 20), Adapter("ad", "a", "v1", 20))
        changes = plan(
            document=make_document(model("a", 8), adapters=adapters),
            states=states(
                Held("t1", "a", 8), Held("t1", "idle", 20, model="a"), lost="t2"
            ),
            demand_by_name={"ad": Demand(5.0, 5.0)},
        )
        self.assertEqual([(OrderKind.UNLOAD_ADAPTER, "idle", "t1")], summarise(changes))

    def test_adapters_do_not_use_memory_that_is_being_freed(self) -> None:
        adapters = (Adapter("ad1", "a", "v1", 11), Adapter("ad2", "a", "v1", 11))
        held = (Held("t1", "a", 8), Held("t1", "ad1", 11, model="a"))
        changes = plan(
            document=make_document(model("a", 8), model("b", 20), adapters=adapters),
            states=states(*held, lost="t2"),
            demand_by_name={"ad2": Demand(9.0, 9.0)},
        )
        self.assertEqual([(OrderKind.UNLOAD_ADAPTER, "ad1", "t1")], summarise(changes))
