"""State of one client account on this VM: contract, bucket, queue and lendings.

Capacity and rate follow from this VM's parts, from what it has lent to other VMs,
which it leaves out until nobody can spend it any more, and from what it has
borrowed, which it may use until its own clock says otherwise.
"""

import asyncio
import heapq
import math
from collections import deque
from typing import NamedTuple

from jaytray_core.document.model import ClientAccount
from jaytray_server.ports import Reservation
from jaytray_server.process.limits.bucket import TokenBucket
from jaytray_server.process.limits.share_table import TOTAL_PARTS

# Time constant of the mean demand, in seconds.
DEMAND_WINDOW_S = 5.0
# Parts kept for this VM's own demand, as a multiple of it.
DEMAND_MARGIN = 1.3


class Lending(NamedTuple):
    """What is lent (`sign` -1) or borrowed (1) until `until_s`.

    `tokens` are of the level and of the capacity, `parts` of the rate.
    """

    until_s: float
    sign: int
    parts: int
    tokens: int


class Waiter(NamedTuple):
    """One request that waits for tokens until `deadline_s` of the clock."""

    tokens: int
    deadline_s: float
    future: asyncio.Future[Reservation]


class AccountState:
    """Everything that this VM holds of one account."""

    def __init__(self, *, contract: ClientAccount, parts: int, now: float) -> None:
        self.contract = contract
        self.bucket = TokenBucket(now=now)
        self.waiters: deque[Waiter] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self._parts = parts
        self._lendings: list[Lending] = []
        self._demand = 0.0
        self._demand_at = now
        self._apply_limits(now)

    def advance(self, now: float) -> None:
        """Refill up to `now` and end the lendings that are over by then."""
        while self._lendings and self._lendings[0].until_s <= now:
            ended_at = heapq.heappop(self._lendings).until_s
            self._apply_limits(ended_at)
        self.bucket.advance(now)

    def set_parts(self, parts: int, now: float) -> None:
        """Change this VM's own parts; what is added starts empty."""
        self.advance(now)
        self._parts = parts
        self._apply_limits(now)

    def set_contract(self, contract: ClientAccount, now: float) -> None:
        """Change rate and burst; a larger burst starts empty."""
        self.advance(now)
        self.contract = contract
        self._apply_limits(now)

    def lend(self, *, parts: int, tokens: int, until_s: float, now: float) -> None:
        """Deduct what another VM may spend; the capacity lacks it until `until_s`."""
        self.advance(now)
        self.bucket.withdraw(tokens)
        heapq.heappush(self._lendings, Lending(until_s, -1, parts, tokens))
        self._apply_limits(now)

    def borrow(self, *, parts: int, tokens: int, until_s: float, now: float) -> None:
        """Add what another VM has deducted, for use until `until_s`."""
        self.advance(now)
        if until_s <= now:
            return
        heapq.heappush(self._lendings, Lending(until_s, 1, parts, tokens))
        self._apply_limits(now)
        self.bucket.deposit(tokens)

    def observe_demand(self, tokens: int, now: float) -> None:
        """Count tokens that were asked for into the mean demand."""
        self._demand = self.demand(now) + tokens / DEMAND_WINDOW_S
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Return the mean demand in tokens per second."""
        elapsed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-elapsed / DEMAND_WINDOW_S)

    def parts_missing(self, now: float) -> int:
        """Return the parts that the demand needs above those at hand; may be < 0."""
        rate = self.contract.rate_tokens_per_s
        if rate <= 0:
            return 0
        wanted = self.demand(now) * DEMAND_MARGIN / rate * TOTAL_PARTS
        return math.ceil(min(wanted, TOTAL_PARTS)) - self._parts_at_hand()

    def tokens_waited_for(self) -> int:
        """Return the tokens that waiting requests need."""
        return sum(w.tokens for w in self.waiters if not w.future.done())

    def is_like_unused(self) -> bool:
        """Return whether a new state would equal this one."""
        return (
            not self.waiters
            and not self._lendings
            and not self.bucket.has_open_charges()
            and self.bucket.level >= self.bucket.capacity
        )

    def _parts_at_hand(self) -> int:
        balance = sum(lending.sign * lending.parts for lending in self._lendings)
        return max(0, self._parts + balance)

    def _apply_limits(self, now: float) -> None:
        burst = self.contract.burst_tokens
        balance = sum(lending.sign * lending.tokens for lending in self._lendings)
        self.bucket.set_limits(
            capacity=burst * self._parts / TOTAL_PARTS + balance,
            rate=self.contract.rate_tokens_per_s * self._parts_at_hand() / TOTAL_PARTS,
            now=now,
        )
