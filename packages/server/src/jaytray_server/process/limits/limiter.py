"""Admission of requests against the rate and burst of their client accounts.

A request is charged the upper bound of its tokens when it is admitted; settling refunds
the tokens it did not use. If the level is too low, the request waits in the account's
FIFO queue for refill, for refunds, or for tokens that the shortage handler borrows from
other VMs. A request that can no longer be admitted in time is refused at once.

The state of an account is created at its first use and dropped when its bucket is full
again. An account without state is equivalent to one that was not used since this VM's
share last changed, so a new state refills from that moment.
"""

import asyncio
import itertools
from collections.abc import Callable
from functools import partial

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.document.model import ClientAccount
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.ports import CurrentDocument, Limiter, Metrics, Reservation
from jaytray_server.process.limits.account_state import AccountState, Loan, Waiter
from jaytray_server.process.metrics import make_null_metrics

MAX_WAITING_PER_ACCOUNT = 256
# Minimum delay of a refill timer in seconds, because timers may fire early.
MIN_TIMER_S = 0.001

# Called with an account whose waiting requests need tokens from other VMs.
ShortageHandler = Callable[[str], None]

# Returns borrowed tokens to their lender: (account, loan, tokens).
ReturnHandler = Callable[[str, Loan, int], None]

_NO_CONTRACT = ClientAccount("", 0.0, 0, 1.0)


class AccountLimiter:
    """Buckets and queues of all client accounts on this VM.

    Nothing is admitted before `set_parts` has set this VM's share.
    """

    def __init__(
        self,
        *,
        current_document: CurrentDocument,
        clock: MonotonicClock,
        on_shortage: ShortageHandler = lambda _account: None,
        on_return: ReturnHandler = lambda _account, _loan, _tokens: None,
        metrics: Metrics | None = None,
        max_waiting_per_account: int = MAX_WAITING_PER_ACCOUNT,
    ) -> None:
        self._current_document = current_document
        self._clock = clock
        self._on_shortage = on_shortage
        self._on_return = on_return
        self._metrics = metrics or make_null_metrics()
        self._max_waiting = max_waiting_per_account
        self._document = current_document()
        self._parts = 0
        self._parts_since = clock()
        self._states_by_account: dict[str, AccountState] = {}
        self._charge_ids = itertools.count(1)

    @property
    def parts(self) -> int:
        """Return this VM's share out of `TOTAL_PARTS`."""
        return self._parts

    @property
    def accounts_in_memory(self) -> int:
        """Return the number of accounts that have state."""
        return len(self._states_by_account)

    def set_parts(self, parts: int) -> None:
        """Set this VM's share; added capacity starts empty."""
        self.follow_document()
        if parts == self._parts:
            return
        for account in self._document.accounts_by_name:
            self.state_of(account)
        self._parts = parts
        self._parts_since = self._clock()
        for account, state in self._states_by_account.items():
            state.set_parts(parts, self._parts_since)
            self.admit_waiting(account)

    def follow_document(self) -> None:
        """Apply the changed rates and bursts of a new document version."""
        document = self._current_document()
        if document is self._document:
            return
        old_accounts = self._document.accounts_by_name
        changed: list[tuple[str, ClientAccount]] = []
        for name in old_accounts.keys() | document.accounts_by_name.keys():
            contract = document.accounts_by_name.get(name, _NO_CONTRACT)
            if old_accounts.get(name, _NO_CONTRACT) != contract:
                changed.append((name, contract))
                self._get_or_create_state(name)
        self._document = document
        for name, contract in changed:
            self._states_by_account[name].set_contract(contract, self._clock())
            self.admit_waiting(name)

    async def reserve(
        self, account: str, tokens: int, max_wait_s: float
    ) -> Reservation:
        """Charge `tokens` to `account`, waiting up to `max_wait_s` seconds.

        Raises `request_above_burst` when waiting cannot help, otherwise `rate_exceeded`
        with the refill time as `retry_after_s`.
        """
        now = self._clock()
        state = self.state_of(account)
        if tokens > state.contract.burst_tokens:
            raise JaytrayError(
                messages.REQUEST_ABOVE_BURST,
                step=Step.ADMIT,
                tokens=tokens,
                account=account,
            )
        state.observe_demand(tokens, now)
        if not state.waiters and state.bucket.can_take(tokens):
            return self._admit(account, state, tokens)
        if max_wait_s <= 0 or len(state.waiters) >= self._max_waiting:
            raise self._rate_exceeded(account, state, tokens)
        return await self._wait(account, state, tokens, max_wait_s)

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Refund the tokens that were not used; a second call has no effect."""
        if reservation.account not in self._states_by_account:
            return
        state = self.state_of(reservation.account)
        unused = max(0, reservation.tokens - used_tokens)
        returned = state.bucket.give_back(reservation.reservation_id, unused)
        self._metrics.increment("limits.tokens_returned", int(returned))
        self.admit_waiting(reservation.account)

    def state_of(self, account: str) -> AccountState:
        """Return the account's state as of now, creating it if necessary."""
        self.follow_document()
        state = self._get_or_create_state(account)
        state.advance(self._clock())
        return state

    def is_declared(self, account: str) -> bool:
        """Return whether the document declares the account."""
        return account in self._document.accounts_by_name

    def missing_tokens(self, account: str) -> float:
        """Return the tokens that waiting requests need beyond the level."""
        if account not in self._states_by_account:
            return 0.0
        state = self.state_of(account)
        needed = state.waiting_tokens()
        return max(0.0, needed - max(0.0, state.bucket.level)) if needed else 0.0

    def admit_waiting(self, account: str) -> None:
        """Admit waiting requests in order while the level covers them."""
        state = self.state_of(account)
        while state.waiters:
            waiter = state.waiters[0]
            if waiter.future.done():
                state.waiters.popleft()
            elif state.bucket.can_take(waiter.tokens):
                state.waiters.popleft()
                waiter.future.set_result(self._admit(account, state, waiter.tokens))
            else:
                break
        self._set_timer(account, state)

    def refuse_unsatisfiable(self, account: str) -> None:
        """Refuse waiting requests that local refill alone cannot admit in time."""
        state = self.state_of(account)
        now = self._clock()
        needed = 0
        for waiter in state.waiters:
            if waiter.future.done():
                continue
            refill_s = state.bucket.seconds_until(needed + waiter.tokens)
            if refill_s is None or now + refill_s > waiter.deadline_s:
                error = self._rate_exceeded(account, state, waiter.tokens)
                waiter.future.set_exception(error)
            else:
                needed += waiter.tokens
        self.admit_waiting(account)

    def evict_idle(self) -> None:
        """Drop the state of accounts that equals a newly created one."""
        now = self._clock()
        for account, state in list(self._states_by_account.items()):
            state.advance(now)
            if state.is_in_initial_state():
                del self._states_by_account[account]

    def _get_or_create_state(self, account: str) -> AccountState:
        state = self._states_by_account.get(account)
        if state is None:
            contract = self._document.accounts_by_name.get(account, _NO_CONTRACT)
            state = AccountState(
                contract=contract,
                parts=self._parts,
                now=self._parts_since,
                return_tokens=partial(self._on_return, account),
            )
            self._states_by_account[account] = state
        return state

    def _admit(self, account: str, state: AccountState, tokens: int) -> Reservation:
        reservation = Reservation(next(self._charge_ids), account, tokens)
        state.bucket.charge(reservation.reservation_id, tokens)
        self._metrics.increment("limits.tokens_charged", tokens)
        return reservation

    async def _wait(
        self, account: str, state: AccountState, tokens: int, max_wait_s: float
    ) -> Reservation:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Reservation] = loop.create_future()
        state.waiters.append(Waiter(tokens, self._clock() + max_wait_s, future))
        self._set_timer(account, state)
        self._on_shortage(account)
        try:
            async with asyncio.timeout(max_wait_s):
                await asyncio.wait((future,))
        except TimeoutError:
            if not future.done():
                raise self._rate_exceeded(account, state, tokens) from None
        except asyncio.CancelledError:
            if future.done() and future.exception() is None:
                self.settle(future.result(), 0)
            raise
        finally:
            if not future.done():
                future.cancel()
                self.admit_waiting(account)
        return future.result()

    def _set_timer(self, account: str, state: AccountState) -> None:
        if state.timer is not None:
            state.timer.cancel()
            state.timer = None
        if not state.waiters:
            return
        delay = state.bucket.seconds_until(state.waiters[0].tokens)
        if delay is not None:
            state.timer = asyncio.get_running_loop().call_later(
                max(delay, MIN_TIMER_S), self.admit_waiting, account
            )

    def _rate_exceeded(
        self, account: str, state: AccountState, tokens: int
    ) -> JaytrayError:
        self._metrics.increment("limits.refused", 1)
        return JaytrayError(
            messages.RATE_EXCEEDED,
            step=Step.ADMIT,
            retry_after_s=self._refill_time(state, tokens),
            account=account,
        )

    def _refill_time(self, state: AccountState, tokens: int) -> float | None:
        local = state.bucket.seconds_until(tokens)
        if local is not None:
            return local
        rate = state.contract.rate_tokens_per_s
        return tokens / rate if rate > 0 else None


def limiter_functions(limiter: AccountLimiter) -> Limiter:
    """Return the interface of the limiter for requests."""
    return Limiter(reserve=limiter.reserve, settle=limiter.settle)
