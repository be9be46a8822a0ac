"""Measures the processor time of a routing decision and of a planning pass."""

import time
from random import Random

from jaytray_core.document.model import Document, TrafficClass
from jaytray_core.targets import LoadReport, Resident, ResidentState
from jaytray_server.ports import RoutingRequest
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.demand import Demand
from jaytray_server.process.placement.planner import plan
from jaytray_server.process.placement.state import TargetState
from jaytray_server.process.target_table import TargetTable
from jaytray_server.request.routing import make_router
from tools.policy_model.sites import (
    ACCELERATOR_MEMORY_MIB,
    LAKESHORE,
    Site,
    make_document,
)

DECISIONS = 5_000
PASSES = 3
FAILURE_DOMAINS = tuple(f"domain-{number}" for number in range(7))
DESIGN_SITE = Site("design", FAILURE_DOMAINS, 1_400, 480, 960, 2.0, 4, 2_800.0)
GROUP_SITE = Site("one group", FAILURE_DOMAINS, 32, 11, 22, 2.0, 4, 64.0)


def print_timings() -> None:
    """Print the time per routing decision and per planning pass."""
    print("\nprocessor time")
    for site in (LAKESHORE, DESIGN_SITE):
        microseconds = _routing_us(site)
        print(f"routing decision, {site.servers:5} servers: {microseconds:8.0f} us")
    for site in (LAKESHORE, GROUP_SITE, DESIGN_SITE):
        milliseconds = _planning_ms(site)
        print(
            f"planning pass, {site.models:4} models, {2 * site.servers:5} accelerators:"
            f" {milliseconds:8.1f} ms"
        )


def _routing_us(site: Site) -> float:
    document = make_document(site)
    table = TargetTable(clock=time.monotonic)
    for report in _reports(document):
        table.record_report(report)
    router = make_router(
        table=table,
        cache_index=CacheIndex(clock=time.monotonic),
        current_document=lambda: document,
        clock=time.monotonic,
        random=Random(1),
        vm_failure_domain=site.domains[0],
    )
    models = list(document.models_by_name)
    started = time.process_time()
    for number in range(DECISIONS):
        decision = router.choose(
            RoutingRequest(
                f"request-{number}",
                models[number % len(models)],
                "account-0",
                TrafficClass.INTERACTIVE,
                500,
                100,
                tuple(f"{number % 50}/{block}" for block in range(8)),
                frozenset(),
                float("inf"),
            )
        )
        router.record_start(decision.target, f"request-{number}", 100)
        if number >= 20:
            router.record_finish(decision.target, f"request-{number - 20}")
    return (time.process_time() - started) / DECISIONS * 1e6


def _planning_ms(site: Site) -> float:
    document = make_document(site)
    demand = {name: Demand(200.0, 300.0) for name in document.models_by_name}
    states = [
        TargetState(
            target=document.targets_by_name[report.target],
            is_usable=True,
            may_take_orders=True,
            residents=tuple(report.residents),
            orders=(),
            unsettled_order_ids=frozenset(),
        )
        for report in _reports(document)
    ]
    started = time.process_time()
    for _ in range(PASSES):
        plan(document=document, states=states, demand_by_name=demand)
    return (time.process_time() - started) / PASSES * 1e3


def _reports(document: Document) -> list[LoadReport]:
    """Return reports of targets that hold the models in round-robin order."""
    models = list(document.models_by_name.values())
    reports, position = [], 0
    for target in document.targets_by_name.values():
        residents: list[Resident] = []
        for accelerator in range(target.accelerators):
            free_mib = ACCELERATOR_MEMORY_MIB * 3 // 4
            while (model := models[position % len(models)]).memory_mib <= free_mib:
                free_mib -= model.memory_mib
                position += 1
                residents.append(
                    Resident(
                        model.name,
                        model.name,
                        model.version,
                        accelerator,
                        model.memory_mib,
                        ResidentState.READY,
                    )
                )
        reports.append(
            LoadReport(target.name, "boot", 0.0, residents, [], 0, 5, 0, 500, False)
        )
    return reports
