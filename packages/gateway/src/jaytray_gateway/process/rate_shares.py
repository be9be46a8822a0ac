"""Rates and bursts of client accounts, divided evenly among some of the members.

Each account has owners, chosen by rendezvous hashing among the members; each holds an
even part of the rate and burst. Members that are short are given tokens by owners
(`rate_gifts`). So the sum over all members needs no report to be fresh: it depends on
the members alone. A member counts for as long as its lease may run, whether or not it
is heard from, so a paused or separated member never spends what others took over.
"""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.rendezvous import rank_members
from jaytray_gateway.version.route_table import ClientAccount, RouteTable

# Least burst of one owner's part: about the largest request of the sheets, so that
# most requests need the tokens of one or two owners.
MIN_PART_TOKENS = 4000.0
# The same for accounts that count requests.
MIN_PART_REQUESTS = 2.0
# Owners that an account has at least, so that the loss of one leaves most of it.
MIN_OWNERS = 4
# Part of the burst by which owners may be overdrawn; it is made up before the next
# request. Contracts are measured over windows many times as long.
OVERDRAFT_PORTION = 0.5
# A new process that sees no other member takes no part for this long: the others may be
# about to record themselves.
ALONE_S = 1.5
# A new process starts with this many seconds' worth of its rate.
START_S = 0.1


class Charge(NamedTuple):
    """Tokens taken for one request; `tokens` 0 where the account has no limit."""

    account: str
    tokens: float


class _Bucket:
    """The own part of one account's rate and burst, and what others gave.

    `level` stays within the capacity and is negative while it is overdrawn;
    `received` is for the requests that wait for it.
    """

    def __init__(self, *, level: float, now_s: float) -> None:
        self.level = level
        self.overdraft = 0.0
        self.received = 0.0
        self.refilled_at_s = now_s

    def refill(self, *, rate: float, capacity: float, now_s: float) -> None:
        earned = rate * (now_s - self.refilled_at_s)
        self.level = min(capacity, self.level + earned)
        self.overdraft = capacity * OVERDRAFT_PORTION
        self.refilled_at_s = now_s

    def at_hand(self) -> float:
        return max(0.0, self.level + self.overdraft) + self.received

    def take(self, tokens: float) -> None:
        received = min(self.received, tokens)
        self.received -= received
        self.level -= tokens - received


class _Owners(NamedTuple):
    """The owners of an account, and the members and number they were chosen from."""

    based_on: tuple[frozenset[str], int]
    ids: frozenset[str]


class RateShares:
    """The own parts."""

    def __init__(self, *, own_id: str, clock: MonotonicClock) -> None:
        self.own_id = own_id
        self.member_ids: frozenset[str] = frozenset((own_id,))
        self._clock = clock
        self._begun_at_s = clock()
        self._bucket_by_account: dict[str, _Bucket] = {}
        self._owners_by_account: dict[str, _Owners] = {}

    def set_members(self, member_ids: frozenset[str]) -> None:
        """Take the members whose leases may still run, this one included."""
        self.member_ids = member_ids | {self.own_id}

    def owners_of(self, account: ClientAccount) -> frozenset[str]:
        """Return the members that hold a part of the account."""
        based_on = (self.member_ids, _owner_count(account))
        found = self._owners_by_account.get(account.name)
        if found is None or found.based_on != based_on:
            members, count = based_on
            ranked = rank_members(account.name, members)
            found = _Owners(based_on, frozenset(ranked[:count]))
            self._owners_by_account[account.name] = found
        return found.ids

    def part_of(self, account: ClientAccount) -> float:
        """Return this member's part of the account, between 0 and 1."""
        is_alone = len(self.member_ids) == 1
        if is_alone and self._clock() - self._begun_at_s < ALONE_S:
            return 0.0
        owners = self.owners_of(account)
        return 1.0 / len(owners) if self.own_id in owners else 0.0

    def try_charge(self, account: ClientAccount, cost: float) -> Charge | None:
        """Take a request's tokens from those at hand; None when they do not do."""
        if account.rate_per_s <= 0:
            return Charge(account.name, 0.0)
        bucket = self._refilled(account)
        if _needed(account, cost) > bucket.at_hand():
            return None
        bucket.take(cost)
        return Charge(account.name, cost)

    def missing(self, account: ClientAccount, cost: float) -> float:
        """Return the tokens that a request needs beyond those at hand."""
        return _needed(account, cost) - self._refilled(account).at_hand()

    def give(self, account: ClientAccount, tokens: float) -> float:
        """Take up to `tokens` out of the own part for another member."""
        bucket = self._refilled(account)
        given = min(tokens, bucket.at_hand())
        bucket.take(given)
        return given

    def receive(self, account: ClientAccount, tokens: float) -> None:
        """Add tokens that another member has taken out of its part."""
        self._refilled(account).received += tokens

    def take_back(self, account: ClientAccount, tokens: float) -> None:
        """Add tokens that were given away and not needed."""
        self._refilled(account).level += tokens

    def hand_back(self, account: ClientAccount, tokens: float) -> float:
        """Take out received tokens that no request needs; returns how many."""
        bucket = self._refilled(account)
        unused = min(tokens, bucket.received)
        bucket.received -= unused
        return unused

    def level(self, account: ClientAccount) -> float:
        """Return the tokens at hand, the overdraft included."""
        return self._refilled(account).at_hand()

    def refund(self, charge: Charge) -> None:
        """Give back the tokens of a request that surely was not run."""
        bucket = self._bucket_by_account.get(charge.account)
        if bucket is not None:
            bucket.level += charge.tokens

    def describe(self, account: ClientAccount) -> str:
        """Return what decides on the account's requests, for the log."""
        owners = self.owners_of(account)
        return (
            f"rate={account.rate_per_s:g} burst={account.burst:g}"
            f" level={self.level(account):.0f}"
            f" is_owner={self.own_id in owners} owners={len(owners)}"
            f" members={len(self.member_ids)}"
        )

    def keep_accounts(self, table: RouteTable) -> None:
        """Forget accounts that are gone; begin to earn for those that are new."""
        for by_account in (self._bucket_by_account, self._owners_by_account):
            for gone in by_account.keys() - table.accounts_by_name.keys():
                del by_account[gone]
        for account in table.accounts_by_name.values():
            if account.rate_per_s > 0:
                self._refilled(account)

    def _refilled(self, account: ClientAccount) -> _Bucket:
        now_s = self._clock()
        part = self.part_of(account)
        rate, capacity = account.rate_per_s * part, account.burst * part
        bucket = self._bucket_by_account.get(account.name)
        if bucket is None:
            bucket = _Bucket(level=min(capacity, rate * START_S), now_s=now_s)
            self._bucket_by_account[account.name] = bucket
        bucket.refill(rate=rate, capacity=capacity, now_s=now_s)
        return bucket


def _needed(account: ClientAccount, cost: float) -> float:
    """Return the tokens at hand with which a request of this cost is admitted."""
    return min(cost, max(account.burst, account.rate_per_s))


def _owner_count(account: ClientAccount) -> int:
    least = MIN_PART_TOKENS if account.counts_tokens else MIN_PART_REQUESTS
    return max(MIN_OWNERS, int(account.burst / least))
