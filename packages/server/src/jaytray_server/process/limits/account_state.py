"""State of one client account on this VM: contract, token bucket, queue and loans.

Capacity and rate are computed from this VM's parts, minus what it has lent, plus what
it has borrowed. A lender excludes a loan until the borrower can no longer use it. A
borrower uses it until it expires by the borrower's own clock, and then returns the
tokens that exceed the remaining capacity.
"""

import asyncio
import heapq
import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.document.model import ClientAccount
from jaytray_server.ports import Reservation
from jaytray_server.process.limits.bucket import TokenBucket
from jaytray_server.process.limits.share_table import TOTAL_PARTS

# Time constant of the exponentially weighted mean demand, in seconds.
DEMAND_WINDOW_S = 20.0
# Parts reserved for this VM's own demand, as a multiple of that demand.
DEMAND_MARGIN = 1.3


class Loan(NamedTuple):
    """A loan to `peer` (`sign` -1) or from it (`sign` 1) that expires at `until_s`.

    A token loan transfers `tokens` of the level and as much capacity. A share loan
    transfers `parts` of the rate and of the capacity.
    """

    until_s: float
    loan_id: int
    sign: int
    peer: str
    tokens: int
    parts: int


class Waiter(NamedTuple):
    """A request that waits for tokens until the clock reaches `deadline_s`."""

    tokens: int
    deadline_s: float
    future: asyncio.Future[Reservation]


# Sends the unused tokens of an expired borrowed loan to its lender: (loan, tokens).
ReturnTokens = Callable[[Loan, int], None]


class AccountState:
    """Limits, token bucket, waiting requests and loans of one account on this VM."""

    def __init__(
        self,
        *,
        contract: ClientAccount,
        parts: int,
        now: float,
        return_tokens: ReturnTokens = lambda _loan, _tokens: None,
    ) -> None:
        self.contract = contract
        self.bucket = TokenBucket(now=now)
        self.waiters: deque[Waiter] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self._parts = parts
        self._return_tokens = return_tokens
        self._loans: list[Loan] = []
        self._demand = 0.0
        self._requests = 0.0
        self._demand_at = now
        self._apply_limits(now)

    def advance(self, now: float) -> None:
        """Refill up to `now` and end the loans that have expired by then."""
        while self._loans and self._loans[0].until_s <= now:
            self._end_loan(heapq.heappop(self._loans))
        self.bucket.advance(now)

    def set_parts(self, parts: int, now: float) -> None:
        """Set this VM's own parts; added capacity starts empty."""
        self.advance(now)
        self._parts = parts
        self._apply_limits(now)

    def set_contract(self, contract: ClientAccount, now: float) -> None:
        """Set rate and burst; added capacity starts empty."""
        self.advance(now)
        self.contract = contract
        self._apply_limits(now)

    def lend(self, loan: Loan, *, tokens: int, now: float) -> None:
        """Deduct `tokens` and exclude the loan from capacity and rate."""
        self.advance(now)
        self.bucket.withdraw(tokens)
        heapq.heappush(self._loans, loan)
        self._apply_limits(now)

    def borrow(self, loan: Loan, *, tokens: int, now: float) -> None:
        """Add a borrowed loan with the `tokens` that its lender has deducted."""
        self.advance(now)
        if loan.until_s > now:
            heapq.heappush(self._loans, loan)
            self._apply_limits(now)
            self.bucket.deposit(tokens)

    def take_back(self, loan_id: int, peer: str, tokens: int, now: float) -> None:
        """End a loan to `peer` early and take back the `tokens` that it returned."""
        self.advance(now)
        for loan in self._loans:
            if (loan.loan_id, loan.peer, loan.sign) == (
                loan_id,
                peer,
                -1,
            ):
                self._loans.remove(loan)
                heapq.heapify(self._loans)
                self._apply_limits(now)
                self.bucket.deposit(min(tokens, self._capacity_of(loan)))
                return

    def observe_demand(self, tokens: int, now: float) -> None:
        """Add requested tokens to the mean demand."""
        self._requests = self.recent_requests(now) + 1
        self._demand = self.demand(now) + tokens / DEMAND_WINDOW_S
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Return the mean demand in tokens per second."""
        return self._demand * self._decay(now)

    def recent_requests(self, now: float) -> float:
        """Return the decayed number of requests over about `DEMAND_WINDOW_S`."""
        return self._requests * self._decay(now)

    def missing_parts(self, now: float) -> int:
        """Return the parts that the demand needs beyond those available; may be < 0."""
        rate = self.contract.rate_tokens_per_s
        if rate <= 0:
            return 0
        wanted = self.demand(now) * DEMAND_MARGIN / rate * TOTAL_PARTS
        return math.ceil(min(wanted, TOTAL_PARTS)) - self.available_parts()

    def available_parts(self) -> int:
        """Return the parts that determine the current refill rate."""
        balance = sum(loan.sign * loan.parts for loan in self._loans)
        return max(0, self._parts + balance)

    def waiting_tokens(self) -> int:
        """Return the total number of tokens that waiting requests need."""
        return sum(w.tokens for w in self.waiters if not w.future.done())

    def is_in_initial_state(self) -> bool:
        """Return whether this state equals a newly created one."""
        return (
            not self.waiters
            and not self._loans
            and not self.bucket.has_open_charges()
            and self.bucket.level >= self.bucket.capacity
        )

    def _decay(self, now: float) -> float:
        elapsed = max(0.0, now - self._demand_at)
        return math.exp(-elapsed / DEMAND_WINDOW_S)

    def _end_loan(self, loan: Loan) -> None:
        ended_at = loan.until_s
        self.bucket.advance(ended_at)
        if loan.sign > 0:
            remaining = self.bucket.capacity - self._capacity_of(loan)
            tokens = math.floor(self.bucket.level - max(0.0, remaining))
            if tokens > 0:
                self.bucket.withdraw(tokens)
                self._return_tokens(loan, tokens)
        self._apply_limits(ended_at)

    def _capacity_of(self, loan: Loan) -> float:
        return loan.tokens + self.contract.burst_tokens * loan.parts / TOTAL_PARTS

    def _apply_limits(self, now: float) -> None:
        burst = self.contract.burst_tokens
        balance = sum(loan.sign * self._capacity_of(loan) for loan in self._loans)
        self.bucket.set_limits(
            capacity=burst * self._parts / TOTAL_PARTS + balance,
            rate=self.contract.rate_tokens_per_s * self.available_parts() / TOTAL_PARTS,
            now=now,
        )
