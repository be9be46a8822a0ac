"""Compares fair queueing at one target with first come, first served."""

import random
from functools import partial
from typing import NamedTuple

from jaytray_core.document.model import Target, TrafficClass, empty_document
from jaytray_core.errors import JaytrayError
from jaytray_server.ports import SlotRequest
from jaytray_server.process.limits.slots import TargetSlots
from tools.limits_model.virtual_loop import Schedule, VirtualLoop

SLOTS = 8
END_S = 300.0
FIRST_TOKEN_DEADLINE_S = 0.62
# Requests per second; the last account sends several times its fair share.
ARRIVALS_BY_ACCOUNT = {"one": 2.0, "two": 2.0, "three": 2.0, "heavy": 36.0}
SHORTEST_RUN_S = 0.1
LONGEST_RUN_S = 0.7
TOKENS_PER_S = 100


class SlotsRow(NamedTuple):
    """Fraction of the requests of each account that started before their deadline."""

    policy: str
    started_fraction_by_account: dict[str, float]


def run_slots(policy: str, seed: int) -> SlotsRow:
    """Run one policy; first come, first served uses one queue for all accounts."""
    schedule = Schedule()
    loop = VirtualLoop(schedule=schedule)
    target = Target("t", "127.0.0.1:1", "d", 1, 1, False, SLOTS, False)
    document = empty_document("trial")._replace(targets_by_name={"t": target})
    slots = TargetSlots(current_document=lambda: document, clock=schedule.clock)
    started = dict.fromkeys(ARRIVALS_BY_ACCOUNT, 0)
    offered = dict.fromkeys(ARRIVALS_BY_ACCOUNT, 0)
    rng = random.Random(seed)

    async def serve(account: str, run_s: float) -> None:
        queued_as = account if policy == "fair" else "everyone"
        request = SlotRequest(
            "t",
            queued_as,
            1.0,
            int(run_s * TOKENS_PER_S),
            TrafficClass.INTERACTIVE,
            FIRST_TOKEN_DEADLINE_S,
        )
        try:
            async with slots.acquire(request):
                started[account] += 1
                await sleep(run_s)
        except JaytrayError:
            return

    async def sleep(seconds: float) -> None:
        future = loop.create_future()
        loop.call_later(seconds, future.set_result, None)
        await future

    def offer(account: str, run_s: float) -> None:
        offered[account] += 1
        loop.create_task(serve(account, run_s))

    for account, per_second in ARRIVALS_BY_ACCOUNT.items():
        time_s = rng.expovariate(per_second)
        while time_s < END_S:
            run_s = rng.uniform(SHORTEST_RUN_S, LONGEST_RUN_S)
            schedule.at(time_s, partial(offer, account, run_s))
            time_s += rng.expovariate(per_second)
    schedule.run_until(END_S)
    loop.shut_down()
    return SlotsRow(policy, {a: started[a] / offered[a] for a in ARRIVALS_BY_ACCOUNT})


def print_slots(seed: int) -> None:
    """Print the fraction of each account's requests that started in time."""
    print(f"\none target, {SLOTS} slots: fraction started within the deadline")
    print(f"{'policy':<14}" + "".join(f"{a:>8}" for a in ARRIVALS_BY_ACCOUNT))
    for policy in ("first come", "fair"):
        row = run_slots(policy, seed)
        fractions = (row.started_fraction_by_account[a] for a in ARRIVALS_BY_ACCOUNT)
        print(f"{policy:<14}" + "".join(f"{part:>8.3f}" for part in fractions))
