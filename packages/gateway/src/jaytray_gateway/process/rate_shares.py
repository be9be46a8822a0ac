"""Rates and bursts of client accounts, divided among the members by demand.

Each member takes a part of every account's rate and burst: a fixed portion evenly,
the rest in proportion to the tokens that callers offer it. All members work the
parts out from the same figures, so the parts add up to one but for the time that a
figure travels. A member counts for as long as its lease may run, whether or not it
is heard from, so a paused or separated member never spends what others took over.
"""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.demand_average import DemandAverage
from jaytray_gateway.version.route_table import ClientAccount, RouteTable

# Part of each rate that is divided evenly, so that a member with no demand yet can
# serve its first callers.
EVEN_PORTION = 0.1
# Time constant of the demand average: short against the quota window of 8 s.
DEMAND_WINDOW_S = 2.5
# Part of its cost that must be there for a request to be admitted; the rest is
# made up before the next one.
ADMISSION_PORTION = 0.5
# A caller that comes back must not find the last token just short.
WAIT_MARGIN = 1.02
# A new process starts with this many seconds' worth of its rate.
START_S = 0.1


class Charge(NamedTuple):
    """Tokens taken for one request; `tokens` 0 where the account has no limit."""

    account: str
    tokens: float


class _Bucket:
    """The own part of one account's rate and burst."""

    def __init__(self, *, level: float, now_s: float) -> None:
        self.level = level
        self.refilled_at_s = now_s

    def refill(self, *, rate: float, capacity: float, now_s: float) -> None:
        earned = rate * (now_s - self.refilled_at_s)
        # What was received above the capacity is kept until it is spent.
        self.level = min(max(capacity, self.level), self.level + earned)
        self.refilled_at_s = now_s


class RateShares:
    """The own parts.

    `has_reported` tells that the others have heard of this member's demand; until
    then they leave an even part to it, and it takes no more.
    """

    def __init__(self, *, own_id: str, clock: MonotonicClock) -> None:
        self.own_id = own_id
        self.member_ids: frozenset[str] = frozenset((own_id,))
        self.has_reported = False
        self.demand = DemandAverage(clock=clock, window_s=DEMAND_WINDOW_S)
        self._clock = clock
        self._demand_by_member: dict[str, dict[str, float]] = {}
        self._bucket_by_account: dict[str, _Bucket] = {}

    def set_members(self, member_ids: frozenset[str]) -> None:
        """Take the members whose leases may still run, this one included."""
        self.member_ids = member_ids | {self.own_id}
        for gone in self._demand_by_member.keys() - self.member_ids:
            del self._demand_by_member[gone]

    def set_peer_demand(
        self, member_id: str, rate_by_account: dict[str, float]
    ) -> None:
        """Take the demand that another member reports."""
        if member_id in self.member_ids:
            self._demand_by_member[member_id] = rate_by_account

    def part_of(self, account: str) -> float:
        """Return this member's part of the account, between 0 and 1."""
        even = 1.0 / len(self.member_ids)
        own = self.demand.rate(account)
        reported = [
            rates.get(account, 0.0)
            for member, rates in self._demand_by_member.items()
            if member != self.own_id
        ]
        total = own + sum(reported)
        # Members that have not reported yet keep an even part each.
        known = even * (len(reported) + 1)
        by_demand = known * own / total if total > 0 else even
        part = EVEN_PORTION * even + (1 - EVEN_PORTION) * by_demand
        return part if self.has_reported else min(part, even)

    def try_charge(self, account: ClientAccount, cost: float) -> Charge | None:
        """Take a request's tokens from the own part; None when it is used up."""
        if account.rate_per_s <= 0:
            return Charge(account.name, 0.0)
        bucket = self._refilled(account)
        if bucket.level < self._needed(account, cost):
            return None
        bucket.level -= cost
        return Charge(account.name, cost)

    def wait_s(self, account: ClientAccount, cost: float) -> float:
        """Return how long the own part takes to earn what the request needs."""
        missing = self._needed(account, cost) - self._refilled(account).level
        rate = account.rate_per_s * self.part_of(account.name)
        return max(0.0, missing / max(rate, 1e-9) * WAIT_MARGIN)

    def give(self, account: ClientAccount, tokens: float) -> float:
        """Take up to `tokens` out of the own part for another member."""
        bucket = self._refilled(account)
        given = max(0.0, min(tokens, bucket.level))
        bucket.level -= given
        return given

    def receive(self, account: ClientAccount, tokens: float) -> None:
        """Add tokens that another member has taken out of its part."""
        self._refilled(account).level += tokens

    def levels(self, table: RouteTable) -> dict[str, float]:
        """Return the tokens at hand by account."""
        return {
            account.name: self._refilled(account).level
            for account in table.accounts_by_name.values()
            if account.rate_per_s > 0
        }

    def refund(self, charge: Charge) -> None:
        """Give back the tokens of a request that surely was not run."""
        bucket = self._bucket_by_account.get(charge.account)
        if bucket is not None:
            bucket.level += charge.tokens

    def describe(self, account: str) -> str:
        """Return what decides on the account's requests, for the log."""
        bucket = self._bucket_by_account.get(account)
        level = bucket.level if bucket else 0.0
        part = self.part_of(account)
        return f"part={part:.3f} members={len(self.member_ids)} level={level:.0f}"

    def keep_accounts(self, table: RouteTable) -> None:
        """Forget accounts that are gone; begin to earn for those that are new."""
        for gone in self._bucket_by_account.keys() - table.accounts_by_name.keys():
            del self._bucket_by_account[gone]
        for account in table.accounts_by_name.values():
            if account.rate_per_s > 0:
                self._refilled(account)

    def _needed(self, account: ClientAccount, cost: float) -> float:
        """Return the level at which a request of this cost is admitted."""
        most = max(account.burst, account.rate_per_s) * self.part_of(account.name)
        return min(cost, most) * ADMISSION_PORTION

    def _refilled(self, account: ClientAccount) -> _Bucket:
        now_s = self._clock()
        part = self.part_of(account.name)
        rate, capacity = account.rate_per_s * part, account.burst * part
        bucket = self._bucket_by_account.get(account.name)
        if bucket is None:
            bucket = _Bucket(level=min(capacity, rate * START_S), now_s=now_s)
            self._bucket_by_account[account.name] = bucket
        bucket.refill(rate=rate, capacity=capacity, now_s=now_s)
        return bucket
