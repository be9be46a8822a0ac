"""Measures how long an accepted version takes to be in force during faults.

`python -m tools.measure_document_faults` runs the named faults of the follower's tests
on virtual time. For each it prints the time until all VMs run the new version.
"""

import asyncio
import logging
import sys

import structlog

from jaytray_server.version.service_reader import IN_FORCE_BOUND_S
from jaytray_standins.virtual_loop import run_virtual
from packages.server.tests.version.test_follower import BOUND_CASES, InjectFault, body
from tools.document_fleet import Fleet

SEEDS = 20
VMS = 6
_STEP_S = 0.01


def main() -> None:
    """Print one line of key=value pairs for each fault."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for name, break_site in BOUND_CASES:
        lags = [run_virtual(measure(break_site, seed)) for seed in range(SEEDS)]
        median, highest = sorted(lags)[SEEDS // 2], max(lags)
        sys.stdout.write(
            f"fault={name} runs={SEEDS} median_s={median:.2f} highest_s={highest:.2f}\n"
        )


async def measure(break_site: InjectFault, seed: int) -> float:
    """Return the seconds from acceptance until all VMs run the new version."""
    fleet = Fleet(vms=VMS, seed=seed)
    fleet.start(fleet.vm_ids)
    await fleet.apply(body(1))
    await asyncio.sleep(IN_FORCE_BOUND_S)
    await break_site(fleet)
    accepted_at_s = asyncio.get_running_loop().time()
    head = await fleet.apply(body(2))
    while set(fleet.versions().values()) != {head.version}:
        await asyncio.sleep(_STEP_S)
    lag_s = asyncio.get_running_loop().time() - accepted_at_s
    await fleet.stop(fleet.vm_ids)
    return lag_s


if __name__ == "__main__":
    main()
