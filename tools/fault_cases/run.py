"""Runs one case: a fleet, its faults, its callers and the checks of the responses."""

import asyncio
import random

from packages.server.tests.request.virtual_loop import run_virtual
from tools.fault_cases.callers import Call, CallKind, Outcome, make_call
from tools.fault_cases.fleet import Fleet
from tools.fault_cases.judge import Verdict, evaluate
from tools.fault_cases.table import INJECT_BY_NAME

REQUESTS = 60
# Calls start at random times within this period.
ARRIVAL_WINDOW_S = 0.5
# Time for late deliveries after the last response.
SETTLE_S = 5.0
LEAVING_FRACTION = 0.05
SLOW_FRACTION = 0.05


def run_case(
    fault_names: tuple[str, ...], *, seed: int, requests: int = REQUESTS
) -> Verdict:
    """Return the verdict on `requests` calls under the named faults."""
    return run_virtual(_run(fault_names, seed, requests), seed=seed)


async def _run(fault_names: tuple[str, ...], seed: int, requests: int) -> Verdict:
    rng = random.Random(seed)
    fleet = Fleet()
    faults = [
        asyncio.ensure_future(INJECT_BY_NAME[name](fleet)) for name in fault_names
    ]
    outcomes = await asyncio.gather(
        *(_call_after_delay(fleet, call, rng) for call in make_calls(rng, requests))
    )
    await asyncio.gather(*faults)
    await asyncio.sleep(SETTLE_S)
    verdict = evaluate(fleet, list(outcomes))
    await fleet.close()
    return verdict


async def _call_after_delay(fleet: Fleet, call: Call, rng: random.Random) -> Outcome:
    await asyncio.sleep(rng.random() * ARRIVAL_WINDOW_S)
    return await make_call(fleet, call, rng)


def make_calls(rng: random.Random, requests: int) -> list[Call]:
    """Return calls of all kinds; a few callers leave or read slowly."""
    kinds = list(CallKind)
    calls = []
    for number in range(requests):
        leaves = rng.random() < LEAVING_FRACTION
        calls.append(
            Call(
                marker=f"call-{number:04d}",
                kind=kinds[number % len(kinds)],
                leaves_after_s=rng.uniform(0.01, 0.1) if leaves else 0.0,
                is_slow=rng.random() < SLOW_FRACTION,
            )
        )
    return calls
