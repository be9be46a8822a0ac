"""Compares policies that limit the rate of client accounts over all VMs.

Runs the server's own limits in a simulation on a virtual clock, with the same seed for
all policies, and prints one row for each case and policy.
"""

import asyncio
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from absl import app, flags
from structlog.testing import capture_logs

from jaytray_core.document.model import ClientAccount, empty_document
from jaytray_server.process.limits.account_limits import AccountLimits
from jaytray_server.process.limits.limiter import AccountLimiter, limiter_functions
from jaytray_server.process.limits.message_budget import MessageBudget
from jaytray_server.process.limits.share_table import TOTAL_PARTS
from jaytray_server.process.limits.shares import SHARES_KEY
from tools.limits_model.baselines import (
    Baseline,
    CentralLimiter,
    HomeVms,
    VmLimits,
    shared_queue,
    static_split,
)
from tools.limits_model.fleet import Fleet, LimitsSetup, Outcome, make_limits
from tools.limits_model.metering import Charge, ContractPeriod, worst_excess
from tools.limits_model.slots_trial import print_slots
from tools.limits_model.workload import (
    ACCOUNTS,
    MAX_WAIT_S,
    OfferedRequest,
    offered_requests,
)

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the requests and the faults.")
flags.DEFINE_multi_integer("vms", [8, 64], "Numbers of VMs.")

flags.DEFINE_multi_integer(
    "table_vms", [8, 64], "Numbers of VMs for the costs of the share table."
)

START_S = 40.0
IDLE_S = 120.0
WARM_UP_S = 40.0
END_S = 160.0
FAULT_S = 70.0
DROP_DELAY_S = 10.0
PARTITION_S = 40.0
OUTAGE_S = 60.0
POLICIES = ("static split", "first come", "home VM", "shares and gifts")

InjectFaults = Callable[[Fleet], None]


class Case(NamedTuple):
    """A simulated situation: load and faults."""

    name: str
    skew: float
    overload: dict[str, float]
    inject_faults: InjectFaults


class Row(NamedTuple):
    """Results of one case under one policy."""

    case: str
    policy: str
    within_rate: int
    refused: int
    excess_tokens: float
    worst_attainment: float
    bytes_per_s: float
    messages_per_s: float
    max_bytes_per_s: float
    kv_calls_per_s: float


def two_vms_die(fleet: Fleet) -> None:
    """Kill two VMs; the platform removes them from its list some time later."""
    for vm_id in list(fleet.processes_by_vm)[:2]:
        fleet.schedule.at(FAULT_S, partial(fleet.kill, vm_id))
        fleet.schedule.at(
            FAULT_S + DROP_DELAY_S, partial(fleet.remove_from_vm_list, vm_id)
        )


def partition(fleet: Fleet) -> None:
    """Partition three eighths of the VMs from the others for a while."""
    vms = list(fleet.processes_by_vm)
    island = frozenset(vms[: len(vms) * 3 // 8])
    fleet.schedule.at(FAULT_S, lambda: fleet.links.partition(island))
    fleet.schedule.at(FAULT_S + PARTITION_S, lambda: fleet.links.partition(frozenset()))


def key_value_outage(fleet: Fleet) -> None:
    """Stop the key-value service for a while; one process restarts during that time."""

    def set_down(is_down: bool) -> None:
        fleet.is_key_value_down = is_down
        for process in fleet.processes_by_vm.values():
            process.link.is_down = is_down

    def restart() -> None:
        vm_id = next(iter(fleet.processes_by_vm))
        fleet.kill(vm_id)
        fleet.start(vm_id)

    fleet.schedule.at(FAULT_S, lambda: set_down(True))
    fleet.schedule.at(FAULT_S + 1, restart)
    fleet.schedule.at(FAULT_S + OUTAGE_S, lambda: set_down(False))


CASES = [
    Case("balanced callers", 0.0, {}, lambda _fleet: None),
    Case("skewed callers", 0.8, {}, lambda _fleet: None),
    Case("one at six times", 0.0, {"large-1": 6.0}, lambda _fleet: None),
    Case("two VMs die", 0.5, {}, two_vms_die),
    Case("partition", 0.5, {}, partition),
    Case("outage, restart", 0.5, {}, key_value_outage),
]


def run_case(case: Case, policy: str, vms: int, seed: int) -> Row:
    """Run a case under a policy; compare it with one bucket per account for all VMs."""
    offered = offered_requests(
        rng=random.Random(seed), end_s=END_S, skew=case.skew, overload=case.overload
    )
    ideal = run_ideal(offered, seed)
    fleet = make_fleet(policy, vms, seed)
    excess = ExcessMeter(fleet)
    for number in range(vms):
        fleet.start(f"vm-{number:03}")
    case.inject_faults(fleet)
    for request in offered:
        fleet.schedule.at(request.time_s, partial(send_request, fleet, request))
    fleet.schedule.run_until(WARM_UP_S)
    budgets = [process.limits.budget for process in fleet.processes_by_vm.values()]
    before = [(budget.sent_bytes, budget.sent_messages) for budget in budgets]
    calls_before = sum(fleet.store.calls_by_function.values())
    fleet.schedule.run_until(END_S + MAX_WAIT_S)
    excess.measure()
    seconds = END_S - WARM_UP_S
    sent = [
        ((b.sent_bytes - old[0]) / seconds, (b.sent_messages - old[1]) / seconds)
        for b, old in zip(budgets, before, strict=True)
    ]
    calls = sum(fleet.store.calls_by_function.values()) - calls_before
    fleet.close()
    served, wanted = count_admitted(fleet.outcomes), count_admitted(ideal)
    refused = sum(max(0, wanted[a.name][0] - served[a.name][0]) for a in ACCOUNTS)
    return Row(
        case=case.name,
        policy=policy,
        within_rate=sum(wanted[account.name][0] for account in ACCOUNTS),
        refused=refused,
        excess_tokens=max(0.0, excess.worst),
        worst_attainment=min(
            min(1.0, served[a.name][1] / wanted[a.name][1]) for a in ACCOUNTS
        ),
        bytes_per_s=sum(rate for rate, _ in sent) / vms,
        messages_per_s=sum(rate for _, rate in sent) / vms,
        max_bytes_per_s=max(rate for rate, _ in sent),
        kv_calls_per_s=calls / seconds,
    )


def send_request(fleet: Fleet, request: OfferedRequest) -> None:
    """Send a request: a sticky one to its preferred VM if that is alive."""
    vms = list(fleet.processes_by_vm)
    preferred_vm = f"vm-{[a.name for a in ACCOUNTS].index(request.account):03}"
    vm_id = vms[int(request.vm_selector * len(vms))]
    if request.is_sticky and preferred_vm in fleet.processes_by_vm:
        vm_id = preferred_vm
    fleet.request(
        vm_id,
        request.account,
        request.tokens,
        used=request.used,
        run_s=request.run_s,
        wait_s=MAX_WAIT_S,
    )


def run_ideal(offered: list[OfferedRequest], seed: int) -> list[Outcome]:
    """Return the outcomes with one bucket per account, the ideal limits."""
    fleet = Fleet(accounts=ACCOUNTS, seed=seed)

    def make(_setup: LimitsSetup) -> VmLimits:
        central = CentralLimiter(accounts=ACCOUNTS, schedule=fleet.schedule)
        functions = limiter_functions(central.limiter)
        return Baseline(functions=functions, schedule=fleet.schedule)

    fleet.limits_factory = make
    fleet.start("vm-000")
    for request in offered:
        fleet.schedule.at(request.time_s, partial(send_request, fleet, request))
    fleet.schedule.run_until(END_S + MAX_WAIT_S)
    fleet.close()
    return fleet.outcomes


def make_fleet(policy: str, vms: int, seed: int) -> Fleet:
    """Return a fleet whose VMs follow `policy`."""
    fleet = Fleet(accounts=ACCOUNTS, seed=seed)
    schedule = fleet.schedule
    homes = HomeVms(accounts=ACCOUNTS, schedule=schedule, links=fleet.links)
    homes.is_alive = lambda vm: vm in fleet.processes_by_vm
    queue = shared_queue(accounts=ACCOUNTS, schedule=schedule)

    def make(setup: LimitsSetup) -> VmLimits:
        if policy == "shares and gifts":
            return make_limits(setup)
        if policy == "first come":
            return Baseline(functions=queue, schedule=schedule)
        if policy == "static split":
            split = static_split(accounts=ACCOUNTS, vms=vms, schedule=schedule)
            return Baseline(functions=split, schedule=schedule)
        baseline = Baseline(
            functions=homes.functions(setup.vm_id, MessageBudget(clock=setup.clock)),
            schedule=schedule,
        )
        baseline.functions = homes.functions(setup.vm_id, baseline.budget)
        baseline.on_vm_list = homes.handle_listed_vms
        return baseline

    fleet.limits_factory = make
    return fleet


class ExcessMeter:
    """Largest excess of an account over its contract, measured repeatedly."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.worst = float("-inf")
        self._sample()

    def measure(self) -> None:
        """Update `worst` with the charges of all accounts up to now."""
        for account in ACCOUNTS:
            charges = [
                Charge(outcome.admitted_at, outcome.used)
                for outcome in self._fleet.outcomes
                if outcome.account == account.name and outcome.admitted_at is not None
            ]
            period = ContractPeriod(
                0.0, account.rate_tokens_per_s, account.burst_tokens
            )
            self.worst = max(self.worst, worst_excess(charges, [period]))

    def _sample(self) -> None:
        self.measure()
        self._fleet.schedule.after(20.0, self._sample)


def count_admitted(outcomes: list[Outcome]) -> dict[str, tuple[int, int]]:
    """Return admitted requests and used tokens after the warm-up, by account."""
    requests: Counter[str] = Counter()
    tokens: Counter[str] = Counter()
    for outcome in outcomes:
        if outcome.admitted_at is not None and outcome.offered_at >= WARM_UP_S:
            requests[outcome.account] += 1
            tokens[outcome.account] += outcome.used
    return {a.name: (requests[a.name], tokens[a.name]) for a in ACCOUNTS}


def print_rows(rows: list[Row], vms: int) -> None:
    """Print the table of results."""
    print(f"\n{vms} VMs, {END_S - WARM_UP_S:.0f} s after {WARM_UP_S:.0f} s of warm-up")
    print(
        f"{'case':<18}{'policy':<18}{'within':>8}{'refused':>9}{'over-adm.':>10}"
        f"{'worst':>8}{'B/s/VM':>8}{'msg/s/VM':>9}{'max B/s':>8}{'kv/s':>7}"
    )
    for row in rows:
        print(
            f"{row.case:<18}{row.policy:<18}{row.within_rate:>8}{row.refused:>9}"
            f"{row.excess_tokens:>10.0f}{row.worst_attainment:>8.3f}"
            f"{row.bytes_per_s:>8.0f}{row.messages_per_s:>9.1f}"
            f"{row.max_bytes_per_s:>8.0f}{row.kv_calls_per_s:>7.1f}"
        )


def print_costs() -> None:
    """Print the processor time per decision and the memory per account."""
    names = [f"account-{number}" for number in range(5000)]
    accounts_by_name = {name: ClientAccount(name, 1e7, 10**6, 1.0) for name in names}
    document = empty_document("trial")._replace(accounts_by_name=accounts_by_name)
    limiter = AccountLimiter(current_document=lambda: document, clock=time.monotonic)
    limiter.set_parts(TOTAL_PARTS)

    async def decide(rounds: int) -> float:
        await asyncio.sleep(1.0)
        started = time.process_time()
        for number in range(rounds):
            reservation = await limiter.reserve(names[number % 100], 100, 0.0)
            limiter.settle(reservation, 60)
        return (time.process_time() - started) / max(1, rounds)

    asyncio.run(decide(0))
    limiter.evict_idle()
    idle_accounts = limiter.accounts_in_memory
    tracemalloc.start()
    for name in names:
        limiter.state_of(name)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"\nprocessor time: {1e6 * asyncio.run(decide(50_000)):.1f} us a decision")
    print(f"memory: {memory / len(names):.0f} bytes an account in use")
    print(f"accounts kept in memory when all are idle: {idle_accounts}")


def print_table_costs(vms: int, seed: int) -> None:
    """Print the key-value calls of a fleet at its start, idle, and replacing a VM."""
    fleet = Fleet(accounts=ACCOUNTS, seed=seed)
    calls = fleet.store.calls_by_function
    for number in range(vms):
        fleet.start(f"vm-{number:03}")
    fleet.schedule.run_until(START_S)
    started = calls.total()
    fleet.schedule.run_until(START_S + IDLE_S)
    idle = calls.total() - started
    idle_bytes = sum(process.link.bytes for process in fleet.processes_by_vm.values())
    fleet.kill("vm-001")
    fleet.remove_from_vm_list("vm-001")
    fleet.start("vm-new")
    fleet.schedule.run_until(START_S + 2 * IDLE_S)
    swaps = calls["compare_and_swap"]
    total_parts = sum(
        process.limits.share.parts
        for process in fleet.processes_by_vm.values()
        if isinstance(process.limits, AccountLimits)
    )
    record = fleet.store.get(SHARES_KEY)
    size = len(record.value) if record else 0
    print(
        f"{vms:>5}{size:>10}{started:>12}{idle / IDLE_S:>11.2f}"
        f"{idle_bytes / vms / (START_S + IDLE_S):>12.0f}"
        f"{calls.total() - started - 2 * idle:>12}{swaps:>8}"
        f"{total_parts / TOTAL_PARTS:>9.4f}"
    )
    fleet.close()


def main(_argv: list[str]) -> None:
    """Run all cases and print the tables."""
    for vms in FLAGS.vms:
        with capture_logs():
            rows = [
                run_case(case, policy, vms, FLAGS.seed)
                for case in CASES
                for policy in POLICIES
            ]
        print_rows(rows, vms)
    print(
        f"\ntable of shares; {START_S:.0f} s start, {IDLE_S:.0f} s idle, 1 VM replaced"
    )
    print(
        f"{'VMs':>5}{'bytes':>10}{'start calls':>12}{'idle kv/s':>11}{'B/s/VM':>12}"
        f"{'replacement':>12}{'swaps':>8}{'in use':>9}"
    )
    for vms in FLAGS.table_vms:
        with capture_logs():
            print_table_costs(vms, FLAGS.seed)
    print_slots(FLAGS.seed)
    print_costs()


if __name__ == "__main__":
    app.run(main)
