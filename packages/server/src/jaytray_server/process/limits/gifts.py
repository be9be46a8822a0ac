"""Exchange of spare tokens and spare shares between VMs.

A VM whose requests wait for tokens asks a few others, then more, until it has what
it needs. The giver deducts first and leaves the amount out of its capacity until the
taker cannot use it any more; the taker counts the lifetime from the moment it asked,
by its own clock. A lost, late or doubled message can thus only lose tokens.

A gift is tokens for the requests that wait. A loan is a part of the giver's share
that its own demand leaves unused, with the tokens in it; it saves the messages of
further requests. When either ends, the taker hands back what it cannot keep.
"""

import asyncio
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_server.ports import Metrics, PeerNetwork
from jaytray_server.process.limits.account_state import AccountState, Lending
from jaytray_server.process.limits.limiter import AccountLimiter
from jaytray_server.process.limits.message_budget import MessageBudget

ASK_TOPIC = "limits.ask"
GRANT_TOPIC = "limits.grant"
RELEASE_TOPIC = "limits.release"
# How long a taker may use a gift or a loan, from the moment it asked.
GIFT_LIFETIME_S = 0.5
LOAN_LIFETIME_S = 20.0
# How long the giver leaves them out; the clocks may differ by 5 in 100.
GIFT_HOLD_S = 0.525
LOAN_HOLD_S = 21.0
# Peers asked at first; each further batch is twice as large.
FIRST_BATCH = 8
# Peers asked in one go after all had nothing to spare.
PROBE_BATCH = 2
# Part of the missing tokens below which asking was in vain.
LEAST_PROGRESS = 0.25
# Rounds in which all that the last asked have left is asked for.
URGENT_BATCHES = 3
# Seconds of its demand that a VM asks for, or keeps, beyond its waiting requests.
LOOKAHEAD_S = 0.5
# How long a batch may take to answer.
REPLY_TIMEOUT_S = 0.05
# Pause after peers were asked in vain.
PAUSE_S = 1.0
# Demand as a multiple of the refill above which a VM keeps what it has.
OVERLOAD_FACTOR = 2.0
# Accounts whose last exchange is remembered, and peers of each.
MAX_REMEMBERED_ACCOUNTS = 1000
MAX_REMEMBERED_PEERS = 16


class Ask(NamedTuple):
    """Request for tokens and for parts out of `TOTAL_PARTS`.

    An urgent one may take what the giver would keep for its next requests.
    """

    ask_id: int
    account: str
    tokens: int
    parts: int
    is_urgent: bool


class Grant(NamedTuple):
    """Answer to an ask; zeros when there is nothing to give.

    `gift_tokens` is a gift, `loan_parts` a loan that holds `loan_tokens`;
    `spare_tokens` is what is left at the giver.
    """

    ask_id: int
    gift_tokens: int
    loan_parts: int
    loan_tokens: int
    spare_tokens: int


class Release(NamedTuple):
    """End of a lending, with tokens that the taker hands back."""

    lending_id: int
    account: str
    tokens: int


class OpenAsk(NamedTuple):
    """An ask of this VM that is not answered yet."""

    account: str
    peer: str
    asked_at: float
    answered: asyncio.Future[None]


class _Memory(NamedTuple):
    """What the last exchange for an account taught.

    `spare_by_peer` holds the peers that had something left, the latest last.
    """

    spare_by_peer: dict[str, int]
    is_exhausted: bool
    paused_until: float


_NO_MEMORY = _Memory({}, False, float("-inf"))


def gift_id(ask_id: int) -> int:
    """Return the id of the gift that answers an ask."""
    return 2 * ask_id


def loan_id(ask_id: int) -> int:
    """Return the id of the loan that answers an ask."""
    return 2 * ask_id + 1


class GiftExchange:
    """Asks other VMs for tokens and answers their asks."""

    def __init__(
        self,
        *,
        limiter: AccountLimiter,
        peers: PeerNetwork,
        clock: MonotonicClock,
        rng: random.Random,
        budget: MessageBudget,
        metrics: Metrics,
    ) -> None:
        self._limiter = limiter
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._budget = budget
        self._metrics = metrics
        self._open_asks_by_id: dict[int, OpenAsk] = {}
        self._gathering: dict[str, asyncio.Task[None]] = {}
        self._memory_by_account: dict[str, _Memory] = {}
        peers.set_handler(ASK_TOPIC, self.handle_ask)
        peers.set_handler(GRANT_TOPIC, self.handle_grant)
        peers.set_handler(RELEASE_TOPIC, self.handle_release)

    def request_tokens(self, account: str) -> None:
        """Start to gather tokens for the account's waiting requests."""
        if account in self._gathering:
            return
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        if self._clock() < memory.paused_until:
            self._limiter.refuse_hopeless(account)
            return
        task = asyncio.get_running_loop().create_task(self._gather(account))
        self._gathering[account] = task
        task.add_done_callback(lambda _task: self._gathering.pop(account, None))

    def handle_ask(self, sender: str, body: bytes) -> None:
        """Deduct what this VM can spare and send it."""
        try:
            ask = decode_msgpack(body, Ask, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        if not self._budget.may_send(ask.account):
            return
        grant = self.deduct_grant(ask, sender)
        given = grant.gift_tokens + grant.loan_tokens
        if given or grant.loan_parts:
            self._metrics.increment("limits.tokens_given", given)
            get_logger().debug(
                "limits_grant_sent",
                peer=sender,
                account=ask.account,
                tokens=given,
                parts=grant.loan_parts,
            )
        self._send(sender, GRANT_TOPIC, encode_msgpack(grant), ask.account)

    def deduct_grant(self, ask: Ask, taker: str) -> Grant:
        """Take what can be spared for `ask` out of this VM's bucket."""
        if not self._limiter.knows(ask.account):
            return Grant(ask.ask_id, 0, 0, 0, 0)
        now = self._clock()
        state = self._limiter.state_of(ask.account)
        at_hand = state.parts_at_hand()
        parts = max(0, min(ask.parts, -state.parts_missing(now)))
        spare = self._spare_tokens(state, now, is_urgent=ask.is_urgent)
        loan_tokens = math.floor(spare * parts / at_hand) if parts else 0
        spare -= loan_tokens
        tokens = max(0, min(ask.tokens - loan_tokens, math.floor(spare)))
        if parts:
            loan = Lending(now + LOAN_HOLD_S, loan_id(ask.ask_id), -1, taker, 0, parts)
            state.lend(loan, tokens=loan_tokens, now=now)
        if tokens:
            gift = Lending(now + GIFT_HOLD_S, gift_id(ask.ask_id), -1, taker, tokens, 0)
            state.lend(gift, tokens=tokens, now=now)
        return Grant(ask.ask_id, tokens, parts, loan_tokens, math.floor(spare) - tokens)

    def _spare_tokens(
        self, state: AccountState, now: float, *, is_urgent: bool
    ) -> float:
        """Return the tokens above what this VM's own requests need soon."""
        is_overloaded = state.demand(now) > OVERLOAD_FACTOR * state.bucket.rate
        kept_s = 0.0 if is_urgent and not is_overloaded else LOOKAHEAD_S
        needed = state.tokens_waited_for() + kept_s * state.demand(now)
        return max(0.0, state.bucket.level - needed)

    def handle_grant(self, sender: str, body: bytes) -> None:
        """Add a grant that was asked for to the account's bucket, once."""
        try:
            grant = decode_msgpack(body, Grant, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        ask = self._open_asks_by_id.pop(grant.ask_id, None)
        if ask is None or ask.peer != sender:
            return
        self._remember_spare(ask.account, sender, grant)
        if grant.gift_tokens > 0 or grant.loan_parts > 0:
            self.use_grant(ask, grant)
            self._limiter.wake(ask.account)
        if not ask.answered.done():
            ask.answered.set_result(None)

    def use_grant(self, ask: OpenAsk, grant: Grant) -> None:
        """Borrow a grant until its lifetime is over."""
        given = grant.gift_tokens + grant.loan_tokens
        self._metrics.increment("limits.tokens_received", given)
        state = self._limiter.state_of(ask.account)
        now = self._clock()
        gift = Lending(
            ask.asked_at + GIFT_LIFETIME_S,
            gift_id(grant.ask_id),
            1,
            ask.peer,
            grant.gift_tokens,
            0,
        )
        loan = Lending(
            ask.asked_at + LOAN_LIFETIME_S,
            loan_id(grant.ask_id),
            1,
            ask.peer,
            0,
            grant.loan_parts,
        )
        for lending, tokens in ((gift, gift.tokens), (loan, grant.loan_tokens)):
            if lending.tokens or lending.parts:
                state.borrow(lending, tokens=tokens, now=now)
                self._end_in_time(ask.account, lending)

    def hand_back(self, account: str, lending: Lending, tokens: int) -> None:
        """Send tokens of a borrowed lending that is over back to its giver."""
        release = Release(lending.lending_id, account, tokens)
        self._send(lending.peer, RELEASE_TOPIC, encode_msgpack(release), account)

    def handle_release(self, sender: str, body: bytes) -> None:
        """Take tokens back into the bucket while their lending is open here."""
        try:
            release = decode_msgpack(body, Release, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        if self._limiter.knows(release.account) and release.tokens > 0:
            state = self._limiter.state_of(release.account)
            state.take_back(release.lending_id, release.tokens, self._clock())
            self._limiter.wake(release.account)

    def drop_expired_asks(self) -> None:
        """Forget asks whose answer could not be used any more."""
        oldest = self._clock() - LOAN_LIFETIME_S
        for ask_id, ask in list(self._open_asks_by_id.items()):
            if ask.asked_at > oldest:
                break
            del self._open_asks_by_id[ask_id]

    async def close(self) -> None:
        """Stop gathering."""
        tasks = list(self._gathering.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _gather(self, account: str) -> None:
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        short_at_first = self._limiter.tokens_short(account)
        for number, (batch, is_urgent) in enumerate(self._batches(account)):
            await self._ask_batch(account, batch, is_urgent=is_urgent)
            short = self._limiter.tokens_short(account)
            if short <= 0:
                self._remember_success(account)
                return
            is_probe = number == 0 and memory.is_exhausted
            if is_probe and short > short_at_first * (1 - LEAST_PROGRESS):
                break
        short = self._limiter.tokens_short(account)
        if short > short_at_first * (1 - LEAST_PROGRESS):
            self._remember_failure(account)
        self._limiter.refuse_hopeless(account)

    async def _ask_batch(
        self, account: str, batch: list[str], *, is_urgent: bool
    ) -> None:
        short = self._limiter.tokens_short(account)
        if short <= 0 or not batch:
            return
        now = self._clock()
        state = self._limiter.state_of(account)
        tokens = short + LOOKAHEAD_S * state.demand(now)
        parts = max(0, state.parts_missing(now))
        answers = [
            self._ask(
                peer,
                account,
                tokens=math.ceil(tokens / len(batch)),
                parts=math.ceil(parts / len(batch)),
                is_urgent=is_urgent,
            )
            for peer in batch
        ]
        waited_for = [answer for answer in answers if answer is not None]
        if waited_for:
            await asyncio.wait(waited_for, timeout=REPLY_TIMEOUT_S)

    def _ask(
        self, peer: str, account: str, *, tokens: int, parts: int, is_urgent: bool
    ) -> asyncio.Future[None] | None:
        if not self._budget.may_send(account):
            return None
        ask = Ask(self._rng.getrandbits(53), account, tokens, parts, is_urgent)
        answered: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._open_asks_by_id[ask.ask_id] = OpenAsk(
            account, peer, self._clock(), answered
        )
        if not self._send(peer, ASK_TOPIC, encode_msgpack(ask), account):
            del self._open_asks_by_id[ask.ask_id]
            return None
        return answered

    def _batches(self, account: str) -> Iterator[tuple[list[str], bool]]:
        """Yield growing batches of peers; those with most left are asked again."""
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        remaining = self._ranked_peers(memory)
        size = FIRST_BATCH
        if memory.is_exhausted:
            probed, remaining = remaining[:PROBE_BATCH], remaining[PROBE_BATCH:]
            yield probed, False
        while remaining:
            batch, remaining = remaining[:size], remaining[size:]
            yield batch, False
            size *= 2
        for _ in range(URGENT_BATCHES):
            yield self._known_spare(account), True

    def _ranked_peers(self, memory: _Memory) -> list[str]:
        listed = [vm for vm in self._peers.listed_vms() if vm != self._peers.vm_id]
        near = self._peers.neighbours()
        self._rng.shuffle(near)
        self._rng.shuffle(listed)
        known = set(listed)
        ranked = dict.fromkeys((*self._peers_with_spare(memory), *near, *listed))
        return [vm for vm in ranked if vm in known]

    def _known_spare(self, account: str) -> list[str]:
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        return self._peers_with_spare(memory)

    def _peers_with_spare(self, memory: _Memory) -> list[str]:
        spare_by_peer = memory.spare_by_peer
        return sorted(spare_by_peer, key=lambda vm: spare_by_peer[vm], reverse=True)

    def _end_in_time(self, account: str, lending: Lending) -> None:
        delay = lending.until_s - self._clock()
        if delay > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._limiter.wake, account)

    def _send(self, peer: str, topic: str, body: bytes, account: str) -> bool:
        self._budget.spend(len(topic) + len(body), account)
        return self._peers.send(peer, topic, body)

    def _remember_spare(self, account: str, peer: str, grant: Grant) -> None:
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        spare_by_peer = dict(memory.spare_by_peer)
        spare_by_peer.pop(peer, None)
        if grant.spare_tokens > 0:
            spare_by_peer[peer] = grant.spare_tokens
        if len(spare_by_peer) > MAX_REMEMBERED_PEERS:
            del spare_by_peer[next(iter(spare_by_peer))]
        self._remember(account, memory._replace(spare_by_peer=spare_by_peer))

    def _remember_failure(self, account: str) -> None:
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        until = self._clock() + PAUSE_S
        self._remember(account, memory._replace(is_exhausted=True, paused_until=until))

    def _remember_success(self, account: str) -> None:
        memory = self._memory_by_account.get(account)
        if memory is not None and memory.is_exhausted:
            self._remember(account, memory._replace(is_exhausted=False))

    def _remember(self, account: str, memory: _Memory) -> None:
        self._memory_by_account.pop(account, None)
        self._memory_by_account[account] = memory
        if len(self._memory_by_account) > MAX_REMEMBERED_ACCOUNTS:
            del self._memory_by_account[next(iter(self._memory_by_account))]
