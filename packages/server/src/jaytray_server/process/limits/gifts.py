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
# How long a taker may use a grant, from the moment it asked.
GRANT_LIFETIME_S = 5.0
# How long the giver leaves it out; the clocks may differ by 5 in 100.
GRANT_HOLD_S = 5.25
# Peers asked at first; each further batch is twice as large.
FIRST_BATCH = 4
# How long a batch may take to answer.
REPLY_TIMEOUT_S = 0.05
# Pause after all peers were asked in vain, doubled each time up to the largest.
SMALLEST_PAUSE_S = 0.5
LARGEST_PAUSE_S = 8.0
# Part of its spare tokens that a VM with demand of its own gives at once.
SHARED_FRACTION = 0.5
# Accounts whose helpful peers and pauses are remembered.
MAX_REMEMBERED_ACCOUNTS = 1000


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
    """Answer to an ask; zeros when there is nothing to spare."""

    ask_id: int
    tokens: int
    parts: int


class _OpenAsk(NamedTuple):
    account: str
    peer: str
    asked_at: float
    answered: asyncio.Future[bool]


class _Memory(NamedTuple):
    """What the last exchange for an account taught."""

    helpful_peers: tuple[str, ...]
    pause_s: float
    paused_until: float


_NO_MEMORY = _Memory((), 0.0, float("-inf"))


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
            return Grant(ask.ask_id, 0, 0)
        now = self._clock()
        state = self._limiter.state_of(ask.account)
        spare = max(0.0, state.bucket.level - state.tokens_waited_for())
        parts_missing = state.parts_missing(now)
        parts = max(0, min(ask.parts, -parts_missing))
        has_demand = parts_missing > -self._limiter.parts
        if has_demand and not ask.is_urgent:
            spare *= SHARED_FRACTION
        tokens = min(ask.tokens, math.floor(spare))
        if tokens or parts:
            state.lend(parts=parts, tokens=tokens, until_s=now + GRANT_HOLD_S, now=now)
        return Grant(ask.ask_id, tokens, parts)

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
        is_helpful = grant.tokens > 0 or grant.parts > 0
        if is_helpful:
            self.use_grant(ask.account, grant, ask.asked_at)
            self._remember_helper(ask.account, sender)
            self._limiter.wake(ask.account)
        if not ask.answered.done():
            ask.answered.set_result(is_helpful)

    def use_grant(self, account: str, grant: Grant, asked_at: float) -> None:
        """Borrow a grant until its lifetime is over."""
        self._metrics.increment("limits.tokens_received", grant.tokens)
        self._limiter.state_of(account).borrow(
            parts=grant.parts,
            tokens=grant.tokens,
            until_s=asked_at + GRANT_LIFETIME_S,
            now=self._clock(),
        )

    def drop_expired_asks(self) -> None:
        """Forget asks whose answer could not be used any more."""
        oldest = self._clock() - GRANT_LIFETIME_S
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
        for batch, is_last in self._batches(account):
            await self._ask_batch(account, batch, is_urgent=is_last)
            if self._limiter.tokens_short(account) <= 0:
                self._forget_pause(account)
                return
        self._remember_pause(account)
        self._limiter.refuse_hopeless(account)

    async def _ask_batch(
        self, account: str, batch: list[str], *, is_urgent: bool
    ) -> None:
        short = self._limiter.tokens_short(account)
        if short <= 0 or not batch:
            return
        state = self._limiter.state_of(account)
        parts = max(0, state.parts_missing(self._clock()))
        answers = [
            self._ask(
                peer,
                account,
                tokens=math.ceil(short if is_urgent else short / len(batch)),
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
    ) -> asyncio.Future[bool] | None:
        if self._budget.is_spent():
            return None
        ask = Ask(self._rng.getrandbits(53), account, tokens, parts, is_urgent)
        answered: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._open_asks_by_id[ask.ask_id] = _OpenAsk(
            account, peer, self._clock(), answered
        )
        if not self._send(peer, ASK_TOPIC, encode_msgpack(ask)):
            del self._open_asks_by_id[ask.ask_id]
            return None
        return answered

    def _batches(self, account: str) -> Iterator[tuple[list[str], bool]]:
        """Yield growing batches of peers; the best are asked again, urgently."""
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        listed = [vm for vm in self._peers.listed_vms() if vm != self._peers.vm_id]
        near = self._peers.neighbours()
        self._rng.shuffle(near)
        self._rng.shuffle(listed)
        known = set(listed)
        ranked = list(dict.fromkeys((*memory.helpful_peers, *near, *listed)))
        remaining = [vm for vm in ranked if vm in known]
        size = FIRST_BATCH
        while remaining:
            batch, remaining = remaining[:size], remaining[size:]
            yield batch, False
            size *= 2
        last = self._memory_by_account.get(account, _NO_MEMORY)
        yield [vm for vm in last.helpful_peers if vm in known], True

    def _send(self, peer: str, topic: str, body: bytes) -> bool:
        self._budget.spend(len(topic) + len(body))
        return self._peers.send(peer, topic, body)

    def _remember_helper(self, account: str, peer: str) -> None:
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        others = [vm for vm in memory.helpful_peers if vm != peer]
        helpful = (peer, *others)[: 2 * FIRST_BATCH]
        self._remember(account, memory._replace(helpful_peers=helpful))

    def _remember_pause(self, account: str) -> None:
        memory = self._memory_by_account.get(account, _NO_MEMORY)
        pause = min(max(2 * memory.pause_s, SMALLEST_PAUSE_S), LARGEST_PAUSE_S)
        until = self._clock() + pause
        self._remember(account, memory._replace(pause_s=pause, paused_until=until))

    def _forget_pause(self, account: str) -> None:
        memory = self._memory_by_account.get(account)
        if memory is not None and memory.pause_s:
            self._remember(account, memory._replace(pause_s=0.0))

    def _remember(self, account: str, memory: _Memory) -> None:
        self._memory_by_account.pop(account, None)
        self._memory_by_account[account] = memory
        if len(self._memory_by_account) > MAX_REMEMBERED_ACCOUNTS:
            del self._memory_by_account[next(iter(self._memory_by_account))]
