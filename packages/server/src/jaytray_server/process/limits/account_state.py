"""State of one client account on this VM: contract, bucket, queue and lendings.

Capacity and rate follow from this VM's parts, from what it has lent to other VMs,
which it leaves out until nobody can use it any more, and from what it has borrowed,
which it may use until its own clock says otherwise. Then what the level holds above
the remaining capacity is handed back.
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

# Time constant of the mean demand, in seconds.
DEMAND_WINDOW_S = 20.0
# Parts kept for this VM's own demand, as a multiple of it.
DEMAND_MARGIN = 1.3


class Lending(NamedTuple):
    """What is lent to `peer` (`sign` -1) or borrowed from it (1) until `until_s`.

    A gift is a number of tokens of the level, with as much capacity. A loan is a
    number of parts of the rate and of the capacity.
    """

    until_s: float
    lending_id: int
    sign: int
    peer: str
    tokens: int
    parts: int


class Waiter(NamedTuple):
    """One request that waits for tokens until `deadline_s` of the clock."""

    tokens: int
    deadline_s: float
    future: asyncio.Future[Reservation]


# Sends tokens of a borrowed lending that is over back to its peer.
HandBack = Callable[[Lending, int], None]


class AccountState:
    """Everything that this VM holds of one account."""

    def __init__(
        self,
        *,
        contract: ClientAccount,
        parts: int,
        now: float,
        hand_back: HandBack = lambda _lending, _tokens: None,
    ) -> None:
        self.contract = contract
        self.bucket = TokenBucket(now=now)
        self.waiters: deque[Waiter] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self._parts = parts
        self._hand_back = hand_back
        self._lendings: list[Lending] = []
        self._demand = 0.0
        self._requests = 0.0
        self._demand_at = now
        self._apply_limits(now)

    def advance(self, now: float) -> None:
        """Refill up to `now` and end the lendings that are over by then."""
        while self._lendings and self._lendings[0].until_s <= now:
            self._end_lending(heapq.heappop(self._lendings))
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

    def lend(self, lending: Lending, *, tokens: int, now: float) -> None:
        """Deduct `tokens`, and leave the lending out of the capacity and the rate."""
        self.advance(now)
        self.bucket.withdraw(tokens)
        heapq.heappush(self._lendings, lending)
        self._apply_limits(now)

    def borrow(self, lending: Lending, *, tokens: int, now: float) -> None:
        """Add a lending and the `tokens` that its giver has deducted."""
        self.advance(now)
        if lending.until_s > now:
            heapq.heappush(self._lendings, lending)
            self._apply_limits(now)
            self.bucket.deposit(tokens)

    def take_back(self, lending_id: int, peer: str, tokens: int, now: float) -> None:
        """End a lending to `peer` early, which has handed `tokens` back."""
        self.advance(now)
        for lending in self._lendings:
            if (lending.lending_id, lending.peer, lending.sign) == (
                lending_id,
                peer,
                -1,
            ):
                self._lendings.remove(lending)
                heapq.heapify(self._lendings)
                self._apply_limits(now)
                self.bucket.deposit(min(tokens, self._capacity_of(lending)))
                return

    def observe_demand(self, tokens: int, now: float) -> None:
        """Count tokens that were asked for into the mean demand."""
        self._requests = self.recent_requests(now) + 1
        self._demand = self.demand(now) + tokens / DEMAND_WINDOW_S
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Return the mean demand in tokens per second."""
        return self._demand * self._decay(now)

    def recent_requests(self, now: float) -> float:
        """Return the number of requests within about `DEMAND_WINDOW_S`."""
        return self._requests * self._decay(now)

    def parts_missing(self, now: float) -> int:
        """Return the parts that the demand needs above those at hand; may be < 0."""
        rate = self.contract.rate_tokens_per_s
        if rate <= 0:
            return 0
        wanted = self.demand(now) * DEMAND_MARGIN / rate * TOTAL_PARTS
        return math.ceil(min(wanted, TOTAL_PARTS)) - self.parts_at_hand()

    def parts_at_hand(self) -> int:
        """Return the parts by which the bucket refills now."""
        balance = sum(lending.sign * lending.parts for lending in self._lendings)
        return max(0, self._parts + balance)

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

    def _decay(self, now: float) -> float:
        elapsed = max(0.0, now - self._demand_at)
        return math.exp(-elapsed / DEMAND_WINDOW_S)

    def _end_lending(self, lending: Lending) -> None:
        ended_at = lending.until_s
        self.bucket.advance(ended_at)
        if lending.sign > 0:
            remaining = self.bucket.capacity - self._capacity_of(lending)
            tokens = math.floor(self.bucket.level - max(0.0, remaining))
            if tokens > 0:
                self.bucket.withdraw(tokens)
                self._hand_back(lending, tokens)
        self._apply_limits(ended_at)

    def _capacity_of(self, lending: Lending) -> float:
        return lending.tokens + self.contract.burst_tokens * lending.parts / TOTAL_PARTS

    def _apply_limits(self, now: float) -> None:
        burst = self.contract.burst_tokens
        balance = sum(
            lending.sign * self._capacity_of(lending) for lending in self._lendings
        )
        self.bucket.set_limits(
            capacity=burst * self._parts / TOTAL_PARTS + balance,
            rate=self.contract.rate_tokens_per_s * self.parts_at_hand() / TOTAL_PARTS,
            now=now,
        )
