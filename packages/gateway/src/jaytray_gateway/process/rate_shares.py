"""Rates and bursts of client accounts, divided equally among owners.

The owners of an account are chosen by rendezvous hashing among the members; each holds
an equal share of the rate and burst, and grants tokens to members that have too few
(`rate_grants`). The sum over all members therefore depends on the membership alone and
not on fresh reports. A member counts for as long as its lease may run, whether or not
it is heard from, so a paused or partitioned member never spends tokens that others have
taken over.
"""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.rendezvous import rank_members
from jaytray_gateway.version.route_table import ClientAccount, RouteTable

# Minimum burst of one owner's share: about the largest request of the deployment
# files, so that most requests need the tokens of one or two owners.
MIN_SHARE_TOKENS = 4000.0
# The same for accounts whose rate counts requests.
MIN_SHARE_REQUESTS = 2.0
# Minimum number of owners, so that the loss of one leaves most of the rate.
MIN_OWNERS = 4
# Fraction of the burst by which an owner may be overdrawn; it is earned back before the
# next request. Contracts are measured over windows many times as long.
OVERDRAFT_FRACTION = 0.5
# A new process that sees no other member has no share for this long, because others may
# be about to register.
SOLE_MEMBER_DELAY_S = 1.5
# Seconds of its rate that a new process starts with.
INITIAL_FILL_S = 0.1


class Charge(NamedTuple):
    """Tokens charged for one request; `tokens` is 0 if the account has no limit."""

    account: str
    tokens: float


class _Bucket:
    """Token bucket of this member's share of an account, and tokens granted by others.

    `level` is at most the capacity and is negative while overdrawn; `received` is
    reserved for the requests that wait for grants.
    """

    def __init__(self, *, level: float, now_s: float) -> None:
        self.level = level
        self.overdraft = 0.0
        self.received = 0.0
        self.refilled_at_s = now_s

    def refill(self, *, rate: float, capacity: float, now_s: float) -> None:
        earned = rate * (now_s - self.refilled_at_s)
        self.level = min(capacity, self.level + earned)
        self.overdraft = capacity * OVERDRAFT_FRACTION
        self.refilled_at_s = now_s

    def available(self) -> float:
        return max(0.0, self.level + self.overdraft) + self.received

    def take(self, tokens: float) -> None:
        received = min(self.received, tokens)
        self.received -= received
        self.level -= tokens - received


class _Owners(NamedTuple):
    """The owners of an account, and the members and owner count they are based on."""

    based_on: tuple[frozenset[str], int]
    ids: frozenset[str]


class RateShares:
    """This member's shares of all accounts."""

    def __init__(self, *, own_id: str, clock: MonotonicClock) -> None:
        self.own_id = own_id
        self.member_ids: frozenset[str] = frozenset((own_id,))
        self._clock = clock
        self._started_at_s = clock()
        self._bucket_by_account: dict[str, _Bucket] = {}
        self._owners_by_account: dict[str, _Owners] = {}

    def set_members(self, member_ids: frozenset[str]) -> None:
        """Set the members whose leases may still run; this one is always included."""
        self.member_ids = member_ids | {self.own_id}

    def owners_of(self, account: ClientAccount) -> frozenset[str]:
        """Return the members that hold a share of the account."""
        based_on = (self.member_ids, _owner_count(account))
        owners = self._owners_by_account.get(account.name)
        if owners is None or owners.based_on != based_on:
            members, count = based_on
            ranked = rank_members(account.name, members)
            owners = _Owners(based_on, frozenset(ranked[:count]))
            self._owners_by_account[account.name] = owners
        return owners.ids

    def share_of(self, account: ClientAccount) -> float:
        """Return this member's share of the account, between 0 and 1."""
        is_alone = len(self.member_ids) == 1
        if is_alone and self._clock() - self._started_at_s < SOLE_MEMBER_DELAY_S:
            return 0.0
        owners = self.owners_of(account)
        return 1.0 / len(owners) if self.own_id in owners else 0.0

    def try_charge(self, account: ClientAccount, cost: float) -> Charge | None:
        """Charge a request's tokens; returns None if the available ones are too few."""
        if account.rate_per_s <= 0:
            return Charge(account.name, 0.0)
        bucket = self._refilled_bucket(account)
        if _required_tokens(account, cost) > bucket.available():
            return None
        bucket.take(cost)
        return Charge(account.name, cost)

    def shortfall(self, account: ClientAccount, cost: float) -> float:
        """Return the tokens that a request needs beyond the available ones."""
        return (
            _required_tokens(account, cost) - self._refilled_bucket(account).available()
        )

    def grant(self, account: ClientAccount, tokens: float) -> float:
        """Take up to `tokens` out of this member's bucket for another member."""
        bucket = self._refilled_bucket(account)
        granted = min(tokens, bucket.available())
        bucket.take(granted)
        return granted

    def receive(self, account: ClientAccount, tokens: float) -> None:
        """Add tokens that another member has taken out of its bucket."""
        self._refilled_bucket(account).received += tokens

    def add_returned(self, account: ClientAccount, tokens: float) -> None:
        """Add tokens that another member was granted and returned unused."""
        self._refilled_bucket(account).level += tokens

    def remove_unused(self, account: ClientAccount, tokens: float) -> float:
        """Take out up to `tokens` unused received tokens and return their number."""
        bucket = self._refilled_bucket(account)
        unused = min(tokens, bucket.received)
        bucket.received -= unused
        return unused

    def level(self, account: ClientAccount) -> float:
        """Return the available tokens, including the overdraft."""
        return self._refilled_bucket(account).available()

    def refund(self, charge: Charge) -> None:
        """Refund the tokens of a request that was certainly not run."""
        bucket = self._bucket_by_account.get(charge.account)
        if bucket is not None:
            bucket.level += charge.tokens

    def describe(self, account: ClientAccount) -> str:
        """Return the state that decides on the account's requests, for the log."""
        owners = self.owners_of(account)
        return (
            f"rate={account.rate_per_s:g} burst={account.burst:g}"
            f" level={self.level(account):.0f}"
            f" is_owner={self.own_id in owners} owners={len(owners)}"
            f" members={len(self.member_ids)}"
        )

    def sync_accounts(self, table: RouteTable) -> None:
        """Drop removed accounts, and start to earn tokens for new ones."""
        for by_account in (self._bucket_by_account, self._owners_by_account):
            for gone in by_account.keys() - table.accounts_by_name.keys():
                del by_account[gone]
        for account in table.accounts_by_name.values():
            if account.rate_per_s > 0:
                self._refilled_bucket(account)

    def _refilled_bucket(self, account: ClientAccount) -> _Bucket:
        now_s = self._clock()
        share = self.share_of(account)
        rate, capacity = account.rate_per_s * share, account.burst * share
        bucket = self._bucket_by_account.get(account.name)
        if bucket is None:
            bucket = _Bucket(level=min(capacity, rate * INITIAL_FILL_S), now_s=now_s)
            self._bucket_by_account[account.name] = bucket
        bucket.refill(rate=rate, capacity=capacity, now_s=now_s)
        return bucket


def _required_tokens(account: ClientAccount, cost: float) -> float:
    """Return the available tokens that a request of this cost needs to be admitted."""
    return min(cost, max(account.burst, account.rate_per_s))


def _owner_count(account: ClientAccount) -> int:
    least = MIN_SHARE_TOKENS if account.counts_tokens else MIN_SHARE_REQUESTS
    return max(MIN_OWNERS, int(account.burst / least))
