"""Exchange of spare tokens and spare rate between VMs.

A VM whose requests wait for tokens asks a few others, then more, until it has what
it needs. The giver deducts first and leaves the amount out of its capacity until the
taker cannot spend it any more; the taker counts the lifetime from the moment it
asked, by its own clock. A lost, late or doubled message can thus only lose tokens.

A grant carries tokens for the requests that wait, and parts of the giver's rate that
its own demand leaves unused. Those spare the messages of further requests.
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
from jaytray_server.process.limits.limiter import AccountLimiter
from jaytray_server.process.limits.message_budget import MessageBudget

ASK_TOPIC = "limits.ask"
GRANT_TOPIC = "limits.grant"
# How long a taker may use granted tokens and parts, from the moment it asked.
TOKENS_LIFETIME_S = 5.0
PARTS_LIFETIME_S = 20.0
# How long the giver leaves them out; the clocks may differ by 5 in 100.
TOKENS_HOLD_S = 5.25
PARTS_HOLD_S = 21.0
# Peers asked at first; each further batch is twice as large.
FIRST_BATCH = 8
# Peers asked in one go after all had nothing to spare.
PROBE_BATCH = 2
# Seconds of its demand for which a VM asks beyond its waiting requests.
LOOKAHEAD_S = 1.0
# How long a batch may take to answer.
REPLY_TIMEOUT_S = 0.05
# Pause after peers were asked in vain.
PAUSE_S = 1.0
# Part of its spare tokens that a VM with demand of its own gives at once.
SHARED_FRACTION = 0.5
# Accounts whose last exchange is remembered, and peers of each.
MAX_REMEMBERED_ACCOUNTS = 1000
MAX_REMEMBERED_PEERS = 16


class Ask(NamedTuple):
    """Request for tokens and for parts of the rate out of `TOTAL_PARTS`.

    An urgent one may take all tokens that are spare.
    """

    ask_id: int
    account: str
    tokens: int
    parts: int
    is_urgent: bool


class Grant(NamedTuple):
    """Answer to an ask; zeros when there is nothing to give.

    `spare_tokens` is what is left at the giver.
    """

    ask_id: int
    tokens: int
    parts: int
    spare_tokens: int


class _OpenAsk(NamedTuple):
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
        self._open_asks_by_id: dict[int, _OpenAsk] = {}
        self._gathering: dict[str, asyncio.Task[None]] = {}
        self._memory_by_account: dict[str, _Memory] = {}
        peers.set_handler(ASK_TOPIC, self.handle_ask)
        peers.set_handler(GRANT_TOPIC, self.handle_grant)

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
        if self._budget.is_spent():
            return
        grant = self.deduct_grant(ask)
        if grant.tokens or grant.parts:
            self._metrics.increment("limits.tokens_given", grant.tokens)
            get_logger().debug(
                "limits_grant_sent",
                peer=sender,
                account=ask.account,
                tokens=grant.tokens,
                parts=grant.parts,
            )
        self._send(sender, GRANT_TOPIC, encode_msgpack(grant))

    def deduct_grant(self, ask: Ask) -> Grant:
        """Take what can be spared for `ask` out of this VM's bucket."""
        self._limiter.follow_document()
        if not self._limiter.knows(ask.account):
            return Grant(ask.ask_id, 0, 0, 0)
        now = self._clock()
        state = self._limiter.state_of(ask.account)
        spare = max(0.0, state.bucket.level - state.tokens_waited_for())
        unused_parts = max(0, -state.parts_missing(now))
        parts = max(0, min(ask.parts, unused_parts))
        has_demand = unused_parts < state.parts_at_hand()
        part = SHARED_FRACTION if has_demand and not ask.is_urgent else 1.0
        tokens = max(0, min(ask.tokens, math.floor(spare * part)))
        state.lend_tokens(tokens, until_s=now + TOKENS_HOLD_S, now=now)
        state.lend_parts(parts, until_s=now + PARTS_HOLD_S, now=now)
        return Grant(ask.ask_id, tokens, parts, math.floor(spare * part) - tokens)

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
        if grant.tokens > 0 or grant.parts > 0:
            self.use_grant(ask.account, grant, ask.asked_at)
            self._limiter.wake(ask.account)
        if not ask.answered.done():
            ask.answered.set_result(None)

    def use_grant(self, account: str, grant: Grant, asked_at: float) -> None:
        """Borrow a grant until its lifetime is over."""
        self._metrics.increment("limits.tokens_received", grant.tokens)
        state = self._limiter.state_of(account)
        now = self._clock()
        state.borrow_tokens(grant.tokens, until_s=asked_at + TOKENS_LIFETIME_S, now=now)
        state.borrow_parts(grant.parts, until_s=asked_at + PARTS_LIFETIME_S, now=now)

    def drop_expired_asks(self) -> None:
        """Forget asks whose answer could not be used any more."""
        oldest = self._clock() - PARTS_LIFETIME_S
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
        for batch, is_urgent in self._batches(account):
            await self._ask_batch(account, batch, is_urgent=is_urgent)
            if self._limiter.tokens_short(account) <= 0:
                self._remember_success(account)
                return
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
        if self._budget.is_spent():
            return None
        ask = Ask(self._rng.getrandbits(53), account, tokens, parts, is_urgent)
        answered: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._open_asks_by_id[ask.ask_id] = _OpenAsk(
            account, peer, self._clock(), answered
        )
        if not self._send(peer, ASK_TOPIC, encode_msgpack(ask)):
            del self._open_asks_by_id[ask.ask_id]
            return None
        return answered

    def _batches(self, account: str) -> Iterator[tuple[list[str], bool]]:
        """Yield growing batches of peers; those with most left are asked again."""
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        remaining = self._ranked_peers(memory)
        if memory.is_exhausted:
            yield remaining[:PROBE_BATCH], False
            return
        size = FIRST_BATCH
        while remaining:
            batch, remaining = remaining[:size], remaining[size:]
            yield batch, False
            size *= 2
        last = self._memory_by_account.get(account, _NO_MEMORY)
        yield self._peers_with_spare(last), True

    def _ranked_peers(self, memory: _Memory) -> list[str]:
        listed = [vm for vm in self._peers.listed_vms() if vm != self._peers.vm_id]
        near = self._peers.neighbours()
        self._rng.shuffle(near)
        self._rng.shuffle(listed)
        known = set(listed)
        ranked = dict.fromkeys((*self._peers_with_spare(memory), *near, *listed))
        return [vm for vm in ranked if vm in known]

    def _peers_with_spare(self, memory: _Memory) -> list[str]:
        spare_by_peer = memory.spare_by_peer
        return sorted(spare_by_peer, key=lambda vm: spare_by_peer[vm], reverse=True)

    def _send(self, peer: str, topic: str, body: bytes) -> bool:
        self._budget.spend(len(topic) + len(body))
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
