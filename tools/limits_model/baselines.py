"""Baseline policies that the server's limits are compared with.

All use the server's own token buckets and queues. The shared queue and the home VMs
are idealised: communication between VMs takes no time, and the messages to a home VM
are only counted.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from jaytray_core.document.model import ClientAccount, empty_document
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.message_registry import NO_REPLICA
from jaytray_core.rendezvous import owner_of
from jaytray_core.vm_list import VmEntry
from jaytray_server.ports import Limiter, Reservation
from jaytray_server.process.limits.limiter import AccountLimiter, limiter_functions
from jaytray_server.process.limits.message_budget import MessageBudget
from jaytray_server.process.limits.share_table import TOTAL_PARTS
from tools.limits_model.network import PeerLinks
from tools.limits_model.virtual_loop import Schedule

# Bytes of a request to a home VM or of its response, without transport overhead.
HOME_MESSAGE_BYTES = 45
# Name of the single account that stands for all accounts in the shared queue.
SHARED_ACCOUNT_NAME = "everyone"


class VmLimits(Protocol):
    """Interface of the limits on one VM that the simulation uses."""

    budget: MessageBudget

    @property
    def functions(self) -> Limiter:
        """Return the functions that requests call."""

    async def run(self) -> None:
        """Run the background task."""

    def handle_listed_vms(self, entries: Sequence[VmEntry]) -> None:
        """Apply a new list of VMs."""

    async def leave(self) -> None:
        """Transfer state to other VMs before a planned stop."""

    def follow_document(self) -> None:
        """Apply a changed document."""


class Baseline:
    """Limits of one VM that exchange no messages with other VMs."""

    def __init__(self, *, functions: Limiter, schedule: Schedule) -> None:
        self.functions = functions
        self.budget = MessageBudget(clock=schedule.clock)
        self.on_vm_list: Callable[[Sequence[VmEntry]], None] = lambda _entries: None

    async def run(self) -> None:
        """Return at once: a baseline has no background task."""

    def handle_listed_vms(self, entries: Sequence[VmEntry]) -> None:
        """Pass the list to `on_vm_list`."""
        self.on_vm_list(entries)

    async def leave(self) -> None:
        """Return at once: a baseline has no state to transfer."""

    def follow_document(self) -> None:
        """Ignore the document; contracts do not change in the benchmark."""


class CentralLimiter:
    """One token bucket for each of the given accounts, shared by all VMs."""

    def __init__(self, *, accounts: list[ClientAccount], schedule: Schedule) -> None:
        accounts_by_name = {account.name: account for account in accounts}
        document = empty_document("trial")._replace(accounts_by_name=accounts_by_name)
        self.limiter = AccountLimiter(
            current_document=lambda: document, clock=schedule.clock
        )
        self.limiter.set_parts(TOTAL_PARTS)


def static_split(
    *, accounts: list[ClientAccount], vms: int, schedule: Schedule
) -> Limiter:
    """Return a limiter with a fixed, equal part of each contract."""
    central = CentralLimiter(accounts=accounts, schedule=schedule)
    central.limiter.set_parts(TOTAL_PARTS // vms)
    return limiter_functions(central.limiter)


def shared_queue(*, accounts: list[ClientAccount], schedule: Schedule) -> Limiter:
    """Return a limiter with one first-come, first-served queue for all accounts."""
    combined_account = ClientAccount(
        SHARED_ACCOUNT_NAME,
        sum(account.rate_tokens_per_s for account in accounts),
        sum(account.burst_tokens for account in accounts),
        1.0,
    )
    limiter = CentralLimiter(accounts=[combined_account], schedule=schedule).limiter

    async def reserve(account: str, tokens: int, max_wait_s: float) -> Reservation:
        del account
        return await limiter.reserve(SHARED_ACCOUNT_NAME, tokens, max_wait_s)

    return Limiter(reserve=reserve, settle=limiter.settle)


class HomeVms:
    """Limits that keep the bucket of each account on one VM, its home.

    When an account moves to another VM, its new bucket starts empty.
    """

    def __init__(
        self, *, accounts: list[ClientAccount], schedule: Schedule, links: PeerLinks
    ) -> None:
        self._accounts_by_name = {account.name: account for account in accounts}
        self._schedule = schedule
        self._links = links
        self._homes: dict[str, tuple[str, AccountLimiter]] = {}
        self._listed: list[str] = []
        self.is_alive: Callable[[str], bool] = lambda _vm: True

    def handle_listed_vms(self, entries: Sequence[VmEntry]) -> None:
        """Assign each account to its home VM; move those whose home has changed."""
        self._listed = [entry.vm_id for entry in entries]
        for name, account in self._accounts_by_name.items():
            home = owner_of(name, self._listed)
            if home is not None and home != self._homes.get(name, ("",))[0]:
                central = CentralLimiter(accounts=[account], schedule=self._schedule)
                self._homes[name] = (home, central.limiter)

    def functions(self, vm_id: str, budget: MessageBudget) -> Limiter:
        """Return the limiter as one VM sees it.

        Messages to a home VM are charged to `budget`.
        """

        async def reserve(account: str, tokens: int, max_wait_s: float) -> Reservation:
            home, limiter = self._homes.get(account, ("", None))
            is_unreachable = not self.is_alive(home) or self._links.is_cut(vm_id, home)
            if limiter is None or is_unreachable:
                raise JaytrayError(NO_REPLICA, step=Step.ADMIT, peer=home, name=account)
            if home != vm_id:
                budget.spend(HOME_MESSAGE_BYTES)
                budget.spend(HOME_MESSAGE_BYTES)
                await asyncio.sleep(0)
            return await limiter.reserve(account, tokens, max_wait_s)

        def settle(reservation: Reservation, used: int) -> None:
            home, limiter = self._homes[reservation.account]
            if home != vm_id:
                budget.spend(HOME_MESSAGE_BYTES)
            limiter.settle(reservation, used)

        return Limiter(reserve=reserve, settle=settle)
