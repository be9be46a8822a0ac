"""Grants of tokens by the owners of an account's rate to members that have too few.

An owner takes the tokens out of its share before it sends them, so the sum never grows
whatever messages are lost or late. Tokens that a request did not need are returned.
Each grant carries the tokens that the owner has left, from which this member estimates
which owners to ask next.

Grants are late while links are busy, so the wait for them follows recent ones and grows
with each round.
"""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError, Step
from jaytray_gateway.process.rate_shares import (
    OVERDRAFT_FRACTION,
    Charge,
    RateShares,
)
from jaytray_gateway.process.reply_times import ReplyTimes
from jaytray_gateway.version.route_table import ClientAccount, RouteTable
from jaytray_server.ports import PeerNetwork

# Longest time for asking on behalf of one request, rounds together.
MAX_ASKING_S = 0.3
# Owners asked in parallel for one request: each costs a message and a reply.
MAX_OWNERS_ASKED = 8
# Rounds of asking for one request: the tokens that owners have left are an estimate.
MAX_ASK_ROUNDS = 3
# Bounds of the retry time that a refusal states.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
# Factor on the time until the missing tokens are earned, so that a retrying caller is
# not refused for the last token, and because it competes with other callers.
RETRY_AFTER_FACTOR = 2.0

_ASK = "gateway.rate_ask"
_GRANT = "gateway.rate_gift"
_RETURN = "gateway.rate_return"


class _Ask(NamedTuple):
    number: int
    account: str
    tokens: float


class _Grant(NamedTuple):
    """Tokens granted for an ask, and the tokens that the owner has left."""

    number: int
    account: str
    tokens: float
    level: float


class _Received(NamedTuple):
    """Tokens that this member received from an owner."""

    owner: str
    tokens: float


class _Return(NamedTuple):
    account: str
    tokens: float


class _Level(NamedTuple):
    """Tokens that an owner had at a time by this process's clock."""

    tokens: float
    at_s: float


class RateGrants:
    """Charges requests to this member's tokens, topped up by grants."""

    def __init__(
        self,
        *,
        shares: RateShares,
        peers: PeerNetwork,
        find_account: Callable[[str], ClientAccount | None],
        clock: MonotonicClock,
        rng: random.Random,
    ) -> None:
        self._shares = shares
        self._peers = peers
        self._find_account = find_account
        self._clock = clock
        self._rng = rng
        self._level_by_owner: dict[tuple[str, str], _Level] = {}
        self._numbers = itertools.count(1)
        # Requests that are waiting for grants.
        self._asking_by_account: Counter[str] = Counter()
        self._reply_times = ReplyTimes(clock=clock)
        self._waiter_by_number: dict[int, asyncio.Future[float]] = {}
        peers.set_handler(_ASK, self._handle_ask)
        peers.set_handler(_GRANT, self._handle_grant)
        peers.set_handler(_RETURN, self._handle_return)

    async def charge(self, account: ClientAccount, tokens: int) -> Charge:
        """Charge a request's tokens; raises `rate_exceeded`."""
        cost = float(tokens if account.counts_tokens else 1)
        charge = self._shares.try_charge(account, cost)
        if charge is not None:
            return charge
        self._asking_by_account[account.name] += 1
        try:
            grants = await self._collect_grants(account, cost)
        finally:
            self._asking_by_account[account.name] -= 1
        charge = self._shares.try_charge(account, cost)
        if charge is not None:
            return charge
        missing = self._shares.shortfall(account, cost)
        for grant in grants:
            unused = self._shares.remove_unused(account, grant.tokens)
            self._return_tokens(account, grant.owner, unused)
        raise JaytrayError(
            messages.RATE_EXCEEDED,
            step=Step.ADMIT,
            retry_after_s=min(
                MAX_RETRY_AFTER_S,
                max(
                    MIN_RETRY_AFTER_S, RETRY_AFTER_FACTOR * missing / account.rate_per_s
                ),
            ),
            peer=account.name,
            account=account.name,
        )

    def drop_stale_levels(self, table: RouteTable) -> None:
        """Drop the levels of accounts and members that no longer exist."""
        for account, owner in list(self._level_by_owner):
            is_known = account in table.accounts_by_name
            if not is_known or owner not in self._shares.member_ids:
                del self._level_by_owner[account, owner]

    async def _collect_grants(
        self, account: ClientAccount, cost: float
    ) -> list[_Received]:
        """Ask owners until no tokens are missing or the owners have too few."""
        grants: list[_Received] = []
        ends_s = self._clock() + MAX_ASKING_S
        for asked_before in range(MAX_ASK_ROUNDS):
            timeout_s = self._reply_times.timeout_s() * 2**asked_before
            timeout_s = min(timeout_s, ends_s - self._clock())
            missing = self._shares.shortfall(account, cost)
            asks = self._plan_asks(account, missing) if missing > 0 else []
            if not asks or timeout_s <= 0:
                break
            grants += await asyncio.gather(
                *(self._ask(account, owner, part, timeout_s) for owner, part in asks)
            )
        return grants

    def _plan_asks(
        self, account: ClientAccount, missing: float
    ) -> list[tuple[str, float]]:
        """Return the owners to ask and the tokens to ask of each.

        Owners that have enough are ranked at random, so that members do not all ask
        the same one; those to which a link is open come first. Returns an empty list if
        the owners with the most tokens have too few together.
        """
        owners = self._shares.owners_of(account) - {self._shares.own_id}
        remaining = missing
        linked = self._peers.linked_vms() if self._peers.linked_vms else frozenset()
        candidates = [
            (
                min(remaining, self._expected_level(account, owner)),
                owner in linked,
                self._rng.random(),
                owner,
            )
            for owner in owners
        ]
        candidates = sorted(candidates, reverse=True)[:MAX_OWNERS_ASKED]
        if sum(tokens for tokens, *_ in candidates) < missing:
            return []
        asks: list[tuple[str, float]] = []
        for tokens, *_, owner in candidates:
            if tokens <= 0 or remaining <= 0:
                break
            asks.append((owner, min(tokens, remaining)))
            remaining -= tokens
        return asks

    def _expected_level(self, account: ClientAccount, owner: str) -> float:
        """Return the estimated tokens that an owner has now."""
        share = 1.0 / len(self._shares.owners_of(account))
        capacity = account.burst * share * (1 + OVERDRAFT_FRACTION)
        last = self._level_by_owner.get((account.name, owner))
        if last is None:
            return capacity
        earned = account.rate_per_s * share * (self._clock() - last.at_s)
        return min(capacity, last.tokens + earned)

    async def _ask(
        self, account: ClientAccount, owner: str, tokens: float, timeout_s: float
    ) -> _Received:
        """Ask an owner for tokens; it may grant fewer, or not reply in time."""
        number = next(self._numbers)
        waiter: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self._waiter_by_number[number] = waiter
        ask = _Ask(number, account.name, tokens)
        # The owner is assumed to have no tokens until its reply arrives.
        self._level_by_owner[account.name, owner] = _Level(0.0, self._clock())
        try:
            if not self._peers.send(owner, _ASK, encode_msgpack(ask)):
                return _Received(owner, 0.0)
            self._reply_times.record_sent(number)
            async with asyncio.timeout(timeout_s):
                return _Received(owner, await waiter)
        except TimeoutError:
            return _Received(owner, 0.0)
        finally:
            del self._waiter_by_number[number]

    def _return_tokens(self, account: ClientAccount, owner: str, tokens: float) -> None:
        """Return unused tokens to their owner."""
        if tokens > 0:
            body = encode_msgpack(_Return(account.name, tokens))
            self._peers.send(owner, _RETURN, body)

    def _handle_ask(self, sender: str, body: bytes) -> None:
        ask = decode_msgpack(body, _Ask, peer=sender)
        account = self._find_account(ask.account)
        if account is None or ask.tokens <= 0:
            return
        granted = self._shares.grant(account, ask.tokens)
        level = self._shares.level(account)
        grant = _Grant(ask.number, ask.account, granted, level)
        self._peers.send(sender, _GRANT, encode_msgpack(grant))

    def _handle_grant(self, sender: str, body: bytes) -> None:
        grant = decode_msgpack(body, _Grant, peer=sender)
        self._reply_times.record_reply(grant.number)
        account = self._find_account(grant.account)
        if account is None:
            return
        self._level_by_owner[account.name, sender] = _Level(grant.level, self._clock())
        waiter = self._waiter_by_number.get(grant.number)
        if waiter is not None and not waiter.done():
            self._shares.receive(account, grant.tokens)
            waiter.set_result(grant.tokens)
        elif self._asking_by_account[account.name]:
            # Late for the request that asked, but another one is short of them.
            self._shares.receive(account, grant.tokens)
        else:
            self._return_tokens(account, sender, grant.tokens)

    def _handle_return(self, sender: str, body: bytes) -> None:
        returned = decode_msgpack(body, _Return, peer=sender)
        account = self._find_account(returned.account)
        if account is not None:
            self._shares.add_returned(account, returned.tokens)
