"""Tests of the exchange of tokens and shares between VMs."""

from parameterized import parameterized
from structlog.testing import capture_logs
from testtools import TestCase

from jaytray_core.document.model import ClientAccount
from jaytray_server.process.limits.account_limits import AccountLimits
from tools.limits_model.fleet import Fleet, Outcome

BURST = 8000
FULL_S = 40.0


def full_fleet(vms: int) -> Fleet:
    """Return a fleet whose buckets of account `a` are full."""
    fleet = Fleet(accounts=[ClientAccount("a", 1000.0, BURST, 1.0)], seed=1)
    for number in range(vms):
        fleet.start(f"vm-{number:03}")
    fleet.schedule.run_until(FULL_S)
    return fleet


class TokenExchangeTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        logs = capture_logs()
        logs.__enter__()
        self.addCleanup(logs.__exit__, None, None, None)

    def ask(self, fleet: Fleet, tokens: int, wait_s: float = 0.5) -> Outcome:
        outcome = fleet.request(
            "vm-000", "a", tokens, used=tokens, run_s=1.0, wait_s=wait_s
        )
        fleet.schedule.run_until(fleet.schedule.now + 1.0)
        return outcome

    @parameterized.expand([("8_vms", 8), ("64_vms", 64)])
    def test_one_request_may_take_the_whole_burst(self, _name: str, vms: int) -> None:
        fleet = full_fleet(vms)
        outcome = self.ask(fleet, BURST - vms)
        self.addCleanup(fleet.close)
        self.assertEqual("", outcome.refusal)

    def test_lost_messages_leave_only_the_own_share(self) -> None:
        fleet = full_fleet(8)
        self.addCleanup(fleet.close)
        fleet.links.loss_probability = 1.0
        self.assertEqual("rate_exceeded", self.ask(fleet, BURST // 4).refusal)
        self.assertEqual("", self.ask(fleet, BURST // 8).refusal)

    def test_unsatisfiable_request_is_refused_before_its_wait_is_over(self) -> None:
        fleet = full_fleet(8)
        self.addCleanup(fleet.close)
        self.ask(fleet, BURST - 8)
        outcome = self.ask(fleet, BURST - 8, wait_s=2.0)
        self.assertEqual("rate_exceeded", outcome.refusal)
        assert outcome.retry_after_s is not None
        self.assertGreater(outcome.retry_after_s, 1.0)

    def test_unused_share_loan_is_returned(self) -> None:
        fleet = full_fleet(8)
        self.addCleanup(fleet.close)
        for _ in range(20):
            self.ask(fleet, 900)
        fleet.schedule.run_until(fleet.schedule.now + 60.0)
        self.assertEqual("", self.ask(fleet, BURST - 8).refusal)

    def test_shares_of_a_dead_vm_are_claimed(self) -> None:
        fleet = full_fleet(8)
        self.addCleanup(fleet.close)
        fleet.kill("vm-003")
        fleet.remove_from_vm_list("vm-003")
        fleet.schedule.run_until(fleet.schedule.now + 90.0)
        self.assertEqual("", self.ask(fleet, BURST - 8).refusal)

    def test_shares_of_a_leaving_vm_are_handed_over(self) -> None:
        fleet = full_fleet(8)
        self.addCleanup(fleet.close)
        fleet.leave("vm-003")
        fleet.schedule.run_until(fleet.schedule.now + 1.0)
        fleet.kill("vm-003")
        fleet.schedule.run_until(fleet.schedule.now + 60.0)
        self.assertEqual("", self.ask(fleet, BURST - 8).refusal)

    def test_idle_accounts_are_evicted(self) -> None:
        fleet = full_fleet(2)
        self.addCleanup(fleet.close)
        self.ask(fleet, 100)
        fleet.schedule.run_until(fleet.schedule.now + 60.0)
        for process in fleet.processes_by_vm.values():
            assert isinstance(process.limits, AccountLimits)
            self.assertEqual(0, process.limits.limiter.accounts_in_memory)
