"""Measures key-value calls per VM and hour, idle and at 6,000 changes per day.

`python -m tools.measure_key_value_calls` runs fleets of document followers against the
stand-in for an hour of virtual time. The calls of the VMs are the stand-in's counts
less those of the operator, which are counted separately. Bytes are those of values and
messages, without framing.
"""

import asyncio
import collections
import logging
import pathlib
import random
import sys
from typing import NamedTuple

import structlog

from jaytray_core.document.parser import parse_document
from jaytray_core.document.sections import Section
from jaytray_core.keyvalue import (
    KeyValueRecord,
    KeyValueService,
    SwapResult,
    WatchBatch,
)
from jaytray_server.ports import PeerNetwork
from jaytray_server.version.follower import DocumentFollower
from jaytray_standins.virtual_loop import run_virtual
from tools.document_fleet import ENVIRONMENT, Fleet, account_section, default_follower

HOUR_S = 3600.0
CHANGES_PER_DAY = 6000
CHANGE_PERIOD_S = 24 * HOUR_S / CHANGES_PER_DAY
DESIGN_MODELS = 480
DESIGN_ADAPTERS = 2000
DESIGN_TARGETS = 1400
_SETTLE_S = 30.0
_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class Measurement(NamedTuple):
    """Results per VM over one hour, and the operator's calls per change."""

    name: str
    watches_per_hour: float
    gets_per_hour: float
    service_bytes_per_s: float
    peer_bytes_per_s: float
    operator_calls_per_change: float
    highest_lag_s: float


class TrafficCounts:
    """Bytes that VMs got from the key-value service, and the operator's calls to it."""

    def __init__(self) -> None:
        self.vm_bytes = 0
        self.operator_calls: collections.Counter[str] = collections.Counter()


def main() -> None:
    """Print one line of key=value pairs for each measurement."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    lakeshore = (_EXAMPLES / "lakeshore.ini").read_text()
    small = parse_document(lakeshore, environment=ENVIRONMENT).sections
    for name, vms, sections in (
        ("lakeshore", 8, small),
        ("design_body", 20, design_sections()),
    ):
        for load, period_s in (("idle", None), ("6000_a_day", CHANGE_PERIOD_S)):
            measurement = run_virtual(
                measure(f"{name}_{load}", vms=vms, sections=sections, period_s=period_s)
            )
            sys.stdout.write(f"vms={vms} {format_measurement(measurement)}\n")


async def measure(
    name: str, *, vms: int, sections: list[Section], period_s: float | None
) -> Measurement:
    """Run a fleet for an hour with a change every `period_s`, or without changes."""
    counters = TrafficCounts()
    fleet = Fleet(
        vms=vms,
        make_follower=lambda key_value, peers, rng: _counted_follower(
            key_value, peers, rng, counters
        ),
    )
    fleet.operator = _count_calls(fleet.operator, counters)
    fleet.start(fleet.vm_ids)
    await fleet.apply(sections)
    await asyncio.sleep(_SETTLE_S)
    counters.vm_bytes = fleet.network.sent_bytes = 0
    counters.operator_calls.clear()
    calls_before = fleet.store.calls_by_function.copy()
    changes, highest_lag_s = await _run_hour(fleet, sections, period_s)
    calls = fleet.store.calls_by_function - calls_before - counters.operator_calls
    await fleet.stop(fleet.vm_ids)
    return Measurement(
        name=name,
        watches_per_hour=calls["watch"] / vms,
        gets_per_hour=calls["get"] / vms,
        service_bytes_per_s=counters.vm_bytes / HOUR_S / vms,
        peer_bytes_per_s=fleet.network.sent_bytes / HOUR_S / vms,
        operator_calls_per_change=counters.operator_calls.total() / max(changes, 1),
        highest_lag_s=highest_lag_s,
    )


def design_sections() -> list[Section]:
    """Return the sections of a document of the design size."""
    targets = [
        Section(
            f"target t{i}",
            {
                "address": f"10.{i // 250}.0.{i % 250}:8000",
                "failure_domain": f"domain-{i % 7}",
                "accelerators": "2",
                "accelerator_memory_mib": "81920",
            },
        )
        for i in range(DESIGN_TARGETS)
    ]
    models = [
        Section(f"model m{i}", {"memory_mib": "24576", "max_replicas": "8"})
        for i in range(DESIGN_MODELS)
    ]
    adapters = [
        Section(f"adapter a{i}", {"model": f"m{i % 480}", "memory_mib": "256"})
        for i in range(DESIGN_ADAPTERS)
    ]
    return targets + models + adapters


def format_measurement(measurement: Measurement) -> str:
    """Return the results as key=value pairs."""
    return " ".join(
        f"{name}={value:.1f}" if isinstance(value, float) else f"{name}={value}"
        for name, value in measurement._asdict().items()
    )


async def _run_hour(
    fleet: Fleet, sections: list[Section], period_s: float | None
) -> tuple[int, float]:
    """Return the number of changes and the longest time until all VMs ran a change."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + HOUR_S
    changes, highest_lag_s = 0, 0.0
    while period_s is not None and loop.time() + period_s < end_s:
        changes += 1
        accepted_at_s = loop.time()
        changed = account_section(f"changing-{changes % 50}", changes)
        head = await fleet.apply([*sections, changed])
        while set(fleet.versions().values()) != {head.version}:
            await asyncio.sleep(0.01)
        highest_lag_s = max(highest_lag_s, loop.time() - accepted_at_s)
        await asyncio.sleep(accepted_at_s + period_s - loop.time())
    await asyncio.sleep(end_s - loop.time())
    return changes, highest_lag_s


def _counted_follower(
    key_value: KeyValueService,
    peers: PeerNetwork,
    rng: random.Random,
    counters: TrafficCounts,
) -> DocumentFollower:
    async def get(key: str) -> KeyValueRecord | None:
        record = await key_value.get(key)
        counters.vm_bytes += len(record.value) if record else 0
        return record

    async def watch(prefix: str, after: int, wait_s: float) -> WatchBatch:
        batch = await key_value.watch(prefix, after, wait_s)
        counters.vm_bytes += sum(len(record.value) for record in batch.records)
        return batch

    counted = key_value._replace(get=get, watch=watch)
    return default_follower(counted, peers, rng)


def _count_calls(
    key_value: KeyValueService, counters: TrafficCounts
) -> KeyValueService:
    async def get(key: str) -> KeyValueRecord | None:
        counters.operator_calls["get"] += 1
        return await key_value.get(key)

    async def swap(
        key: str, revision: int, value: bytes | None, lease_id: str
    ) -> SwapResult:
        counters.operator_calls["compare_and_swap"] += 1
        return await key_value.compare_and_swap(key, revision, value, lease_id)

    return key_value._replace(get=get, compare_and_swap=swap)


if __name__ == "__main__":
    main()
