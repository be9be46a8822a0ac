"""Tests of the limit on admitted tokens over all VMs under random fault schedules.

Over any time window, the tokens admitted for an account on all VMs together are at
most its burst plus its rate times the window. Deliberately broken variants of the code
must violate this limit, which shows that the schedules can detect such faults.
"""

import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, NamedTuple
from unittest import mock

from hypothesis import given, settings, strategies as st
from parameterized import parameterized
from structlog.testing import capture_logs
from testtools import TestCase

from jaytray_core.document.model import ClientAccount
from jaytray_server.process.limits import account_limits, lending, token_exchange
from jaytray_server.process.limits.account_state import AccountState, Loan
from jaytray_server.process.limits.bucket import TokenBucket
from jaytray_server.process.limits.membership import Membership
from tools.limits_model.fleet import Fleet, document_of
from tools.limits_model.metering import Charge, ContractPeriod, worst_excess

RATE = 100.0
BURST = 1000
WARM_UP_S = 30.0
# Tolerance for rounding errors, in tokens.
ROUNDING = 0.01


class Step(NamedTuple):
    """One step of a schedule.

    `pick` selects the VM; `size`, from 0 to 1, is the intensity of the step.
    """

    kind: str
    pick: int
    size: float
    wait_s: float


KINDS = (
    ("flood", 6),
    ("burst", 3),
    ("request", 4),
    ("long_stream", 2),
    ("pause", 2),
    ("restart", 2),
    ("replace", 1),
    ("leave", 1),
    ("arrive", 1),
    ("lossy_links", 1),
    ("partition", 1),
    ("key_value_down", 1),
    ("key_value_lossy", 2),
    ("contract", 1),
)
STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from([kind for kind, weight in KINDS for _ in range(weight)]),
        st.integers(0, 1000),
        st.floats(0.0, 1.0),
        st.floats(0.0, 8.0),
    ),
    min_size=10,
    max_size=35,
)


class Trial:
    """One run of a schedule on a fleet, measured at each admission."""

    def __init__(self, *, vms: int, seed: int) -> None:
        self.account = ClientAccount("a", RATE, BURST, 1.0)
        self.fleet = Fleet(accounts=[self.account], seed=seed)
        self.rng = random.Random(seed)
        self.names = (f"vm-{number:03}" for number in range(10_000))
        self.contracts = [self.account]
        self.contracts_used_until: dict[str, tuple[ClientAccount, float]] = {}
        self.periods = [ContractPeriod(0.0, RATE, BURST)]
        self.excess = float("-inf")
        self.fleet.on_admission = lambda _account: self.measure()
        for _ in range(vms):
            self.fleet.start(next(self.names))

    def run(self, steps: list[Step]) -> float:
        """Run the steps; return the largest excess over the limit, in tokens."""
        schedule = self.fleet.schedule
        schedule.run_until(WARM_UP_S)
        for step in steps:
            vms = list(self.fleet.processes_by_vm)
            if len(vms) > 2:
                getattr(self, step.kind)(vms[step.pick % len(vms)], step.size)
            schedule.run_until(schedule.now + step.wait_s)
            if self.excess > ROUNDING:
                break
        self.fleet.close()
        return self.excess

    def measure(self) -> None:
        """Update the excess from all windows up to now."""
        charges = [
            Charge(outcome.admitted_at, outcome.used)
            for outcome in self.fleet.outcomes
            if outcome.admitted_at is not None
        ]
        self.excess = max(self.excess, worst_excess(charges, self.periods))

    def flood(self, _vm: str, size: float) -> None:
        vms = list(self.fleet.processes_by_vm)
        tokens = 5 + int(45 * size)
        for vm_id in vms:
            for _ in range(max(1, 2 * BURST // tokens // len(vms))):
                self.offer(vm_id, tokens, used=1.0, run_s=1.0)

    def burst(self, vm_id: str, size: float) -> None:
        for _ in range(10):
            self.offer(vm_id, 1 + int(size * BURST / 10), used=1.0, run_s=1.0)

    def request(self, vm_id: str, size: float) -> None:
        self.offer(vm_id, 1 + int(size * BURST), used=size, run_s=3.0 * size)

    def long_stream(self, vm_id: str, size: float) -> None:
        self.offer(vm_id, 1 + int(size * BURST / 2), used=0.1, run_s=40.0 * size)

    def offer(self, vm_id: str, tokens: int, *, used: float, run_s: float) -> None:
        self.fleet.request(
            vm_id, "a", tokens, used=int(used * tokens), run_s=run_s, wait_s=0.3
        )

    def pause(self, vm_id: str, size: float) -> None:
        loop = self.fleet.processes_by_vm[vm_id].loop
        loop.pause()
        self.fleet.unheard_vms.add(vm_id)

        def resume() -> None:
            self.fleet.unheard_vms.discard(vm_id)
            if not loop.is_closed():
                loop.resume()

        self.fleet.schedule.after(40.0 * size, resume)

    def restart(self, vm_id: str, size: float) -> None:
        self.kill(vm_id)

        def start() -> None:
            if vm_id in self.fleet.listed and vm_id not in self.fleet.processes_by_vm:
                self.fleet.start(vm_id)
                self.note_contracts()

        self.fleet.schedule.after(2.0 * size, start)

    def replace(self, vm_id: str, size: float) -> None:
        self.kill(vm_id)
        self.fleet.schedule.after(
            5.0 * size, lambda: self.fleet.remove_from_vm_list(vm_id)
        )
        self.arrive(vm_id, size)

    def arrive(self, _vm: str, _size: float) -> None:
        self.fleet.start(next(self.names))
        self.note_contracts()

    def leave(self, vm_id: str, size: float) -> None:
        if self.fleet.processes_by_vm[vm_id].is_leaving:
            return
        self.fleet.leave(vm_id)
        self.fleet.schedule.after(3.0 + 10.0 * size, lambda: self.end(vm_id))

    def end(self, vm_id: str) -> None:
        self.kill(vm_id)
        self.fleet.remove_from_vm_list(vm_id)

    def kill(self, vm_id: str) -> None:
        process = self.fleet.processes_by_vm.get(vm_id)
        if process is not None:
            self.keep_contract(process.document.version)
        self.fleet.kill(vm_id)

    def lossy_links(self, _vm: str, size: float) -> None:
        links = self.fleet.links
        links.loss_probability, links.duplicate_probability, links.late_probability = (
            0.4 * size,
            0.5 * size,
            0.3 * size,
        )

    def partition(self, vm_id: str, size: float) -> None:
        vms = list(self.fleet.processes_by_vm)
        island = frozenset({vm_id, *vms[: int(len(vms) * size)]})
        self.fleet.links.partition(island)
        self.fleet.unheard_vms.update(island)

        def heal() -> None:
            self.fleet.links.partition(frozenset())
            self.fleet.unheard_vms.difference_update(island)

        self.fleet.schedule.after(30.0 * size, heal)

    def key_value_down(self, _vm: str, size: float) -> None:
        links = [process.link for process in self.fleet.processes_by_vm.values()]
        for link in links:
            link.is_down = True

        def restore() -> None:
            for link in links:
                link.is_down = False

        self.fleet.schedule.after(40.0 * size, restore)

    def key_value_lossy(self, _vm: str, size: float) -> None:
        for process in self.fleet.processes_by_vm.values():
            process.link.lost_requests = 0.2 * size
            process.link.lost_answers = 0.6 * size
            process.link.late_requests = 0.3 * size

    def contract(self, _vm: str, size: float) -> None:
        contract = ClientAccount(
            "a", RATE * (0.5 + size), int(BURST * (1.4 - size)), 1.0
        )
        self.contracts.append(contract)
        document = document_of([contract], version=len(self.contracts))
        self.fleet.document = document
        for process in self.fleet.processes_by_vm.values():
            delay = 6.0 * self.rng.random()
            self.fleet.schedule.after(delay, self.adoption(process, document.version))

    def adoption(self, process: Any, version: int) -> Callable[[], None]:
        document = self.fleet.document

        def adopt() -> None:
            self.keep_contract(process.document.version)
            process.apply_document(document)
            self.note_contracts()

        def adopt_in_process() -> None:
            if not process.loop.is_closed():
                process.loop.call_soon(adopt)

        assert document.version == version
        return adopt_in_process

    def keep_contract(self, version: int) -> None:
        """Keep counting a contract that a VM drops until its loans have expired."""
        until = self.fleet.schedule.now + lending.SHARE_LOAN_HOLD_S
        self.contracts_used_until[str(version)] = (self.contracts[version - 1], until)
        self.fleet.schedule.at(until, self.note_contracts)

    def note_contracts(self) -> None:
        """Record the largest rate and burst that any VM may use from now on."""
        now = self.fleet.schedule.now
        used = [
            self.contracts[process.document.version - 1]
            for process in self.fleet.processes_by_vm.values()
        ]
        used += [c for c, until in self.contracts_used_until.values() if until > now]
        if used:
            rate = max(contract.rate_tokens_per_s for contract in used)
            burst = max(contract.burst_tokens for contract in used)
            self.periods.append(ContractPeriod(now, rate, burst))


def token_loan_without_deduction() -> Any:
    return mock.patch.object(AccountState, "lend", lambda *_a, **_k: None)


@contextmanager
def share_loan_without_deduction() -> Iterator[None]:
    original = AccountState.lend

    def lend(state: AccountState, loan: Loan, *, tokens: int, now: float) -> None:
        if not loan.parts:
            original(state, loan, tokens=tokens, now=now)

    with mock.patch.object(AccountState, "lend", lend):
        yield


@contextmanager
def token_loan_kept_in_the_capacity() -> Iterator[None]:
    with without_share_loans(), mock.patch.object(lending, "TOKEN_LOAN_HOLD_S", 0.0):
        yield


@contextmanager
def token_loan_spent_after_expiry() -> Iterator[None]:
    with (
        without_share_loans(),
        mock.patch.object(token_exchange, "TOKEN_LOAN_LIFETIME_S", 1000.0),
    ):
        yield


def without_share_loans() -> Any:
    """Disable share loans, so that lenders keep their refill rate."""
    return mock.patch.object(AccountState, "missing_parts", lambda *_a: 0)


@contextmanager
def process_that_starts_full() -> Iterator[None]:
    original = AccountState.set_parts

    def set_parts(state: AccountState, parts: int, now: float) -> None:
        original(state, parts, now)
        state.bucket.deposit(state.bucket.capacity)

    with (
        mock.patch.object(AccountState, "set_parts", set_parts),
        mock.patch.object(account_limits, "SHARE_LOAN_HOLD_S", 0.0),
    ):
        yield


def refund_without_headroom() -> Any:
    def give_back(bucket: TokenBucket, charge_id: int, unused: float) -> None:
        if bucket._headroom_by_charge.pop(charge_id, None) is not None:
            bucket.level = min(bucket.capacity, bucket.level + unused)

    return mock.patch.object(TokenBucket, "give_back", give_back)


@contextmanager
def claim_upon_silence(trial: Trial) -> Iterator[None]:
    def dropped_vms(_self: Membership, known: list[str]) -> list[str]:
        return [vm for vm in known if vm in trial.fleet.unheard_vms]

    with mock.patch.object(Membership, "dropped_vms", dropped_vms):
        yield


def excess_of(steps: list[Step], vms: int, broken: str = "") -> float:
    """Return the largest excess of a schedule, with the variant `broken` if given."""
    with ExitStack() as stack:
        stack.enter_context(capture_logs())
        if broken and broken != "claim_upon_silence":
            stack.enter_context(globals()[broken]())
        trial = Trial(vms=vms, seed=len(steps))
        if broken == "claim_upon_silence":
            stack.enter_context(claim_upon_silence(trial))
        return trial.run(steps)


FLOOD = [Step("flood", 0, 0.0, 0.5)]
# Ends while the replies to the first asks are still in flight.
ASK = [Step("request", 3, 0.4, 0.0002)]
# For each broken variant, a schedule that makes its fault visible.
SCHEDULES_BY_VARIANT = {
    "token_loan_without_deduction": [Step("request", 3, 0.9, 1.0), *FLOOD],
    "share_loan_without_deduction": [
        Step("request", 3, 0.95, 1.0),
        *[Step("burst", 3, 0.1, 1.1)] * 9,
        *FLOOD,
    ],
    "token_loan_kept_in_the_capacity": [*ASK, Step("pause", 3, 0.01, 0.39), *FLOOD],
    "token_loan_spent_after_expiry": [*ASK, Step("pause", 3, 0.5, 19.9), *FLOOD],
    "process_that_starts_full": [*FLOOD, Step("restart", 3, 0.0, 3.9), *FLOOD],
    "refund_without_headroom": [Step("long_stream", 3, 1.0, 39.8), *FLOOD, *FLOOD],
    "claim_upon_silence": [Step("pause", 3, 1.0, 39.8), *FLOOD, *FLOOD],
}


class ConservationTests(TestCase):
    @settings(max_examples=40)
    @given(STEPS)
    def test_rule_holds_at_8_vms(self, steps: list[Step]) -> None:
        self.assertLessEqual(excess_of(steps, 8), ROUNDING)

    @settings(max_examples=4)
    @given(STEPS)
    def test_rule_holds_at_64_vms(self, steps: list[Step]) -> None:
        self.assertLessEqual(excess_of(steps, 64), ROUNDING)

    @parameterized.expand(SCHEDULES_BY_VARIANT.items())
    def test_rule_is_broken_by(self, broken: str, steps: list[Step]) -> None:
        self.assertLessEqual(excess_of(steps, 8), ROUNDING)
        self.assertGreater(excess_of(steps, 8, broken), 1.0)
