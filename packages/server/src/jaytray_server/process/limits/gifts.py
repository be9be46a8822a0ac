"""Exchange of spare tokens and spare shares between VMs.

A VM whose requests wait for tokens asks a few peers, then more, until it has enough.
The lender deducts a loan before it answers, and excludes it from its capacity until
the borrower can no longer use it. The borrower counts the lifetime of a loan from the
moment it asked, by its own clock. A lost, late or duplicated message can therefore
only lose tokens, never create them.

A token loan covers the requests that are waiting. A share loan is a part of the
lender's share that its own demand leaves unused, with the tokens that belong to it;
it saves the messages for further requests. When a loan expires, the borrower returns
the tokens that exceed its remaining capacity.
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
from jaytray_core.tasks import cancel_all
from jaytray_server.ports import Metrics, PeerNetwork
from jaytray_server.process.limits.account_state import Lending
from jaytray_server.process.limits.exchange_memory import ExchangeMemories
from jaytray_server.process.limits.gift_messages import (
    ASK_TOPIC,
    GRANT_TOPIC,
    RELEASE_TOPIC,
    Ask,
    Grant,
    Release,
    gift_id,
    loan_id,
)
from jaytray_server.process.limits.giver import LOOKAHEAD_S, deduct_grant
from jaytray_server.process.limits.limiter import AccountLimiter
from jaytray_server.process.limits.message_budget import MessageBudget
from jaytray_server.process.limits.share_table import TOTAL_PARTS

# Lifetime of a token loan and of a share loan, from the moment the borrower asked.
GIFT_LIFETIME_S = 0.5
LOAN_LIFETIME_S = 20.0
# Fraction of an even share of the burst that a peer is expected to have spare.
EXPECTED_PART = 0.5
# Share loans below this fraction of an even share are not worth their messages.
LEAST_LOAN_PART = 0.25
# Minimum number of recent requests for a demand to count as lasting.
LEAST_REQUESTS = 3.0
# Time that a batch of peers has to answer, in seconds.
REPLY_TIMEOUT_S = 0.05
# Number of peers that are asked first while the account counts as exhausted.
PROBE_BATCH = 2
# Fraction of the missing tokens below which an exchange counts as unsuccessful.
LEAST_PROGRESS = 0.25
# Number of final urgent batches, sent to the peers with spare tokens.
URGENT_BATCHES = 3


class OpenAsk(NamedTuple):
    """An `Ask` of this VM that has no answer yet."""

    account: str
    peer: str
    asked_at: float
    answered: asyncio.Future[None]


class GiftExchange:
    """Borrows tokens and shares from other VMs and answers their requests."""

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
        self._memories = ExchangeMemories(clock=clock)
        peers.set_handler(ASK_TOPIC, self.handle_ask)
        peers.set_handler(GRANT_TOPIC, self.handle_grant)
        peers.set_handler(RELEASE_TOPIC, self.handle_release)

    def request_tokens(self, account: str) -> None:
        """Start to borrow tokens for the account's waiting requests."""
        if account in self._gathering:
            return
        if self._memories.is_paused(account):
            self._limiter.refuse_hopeless(account)
            return
        task = asyncio.get_running_loop().create_task(self._gather(account))
        self._gathering[account] = task
        task.add_done_callback(lambda _task: self._gathering.pop(account, None))

    def handle_ask(self, sender: str, body: bytes) -> None:
        """Deduct what this VM can spare and send the grant."""
        try:
            ask = decode_msgpack(body, Ask, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        if not self._budget.may_send(ask.account):
            return
        grant = deduct_grant(
            self._limiter,
            ask,
            taker=sender,
            now=self._clock(),
            is_exhausted=self._memories.is_exhausted(ask.account),
        )
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

    def handle_grant(self, sender: str, body: bytes) -> None:
        """Apply a grant; one that was not asked for or came before is ignored."""
        try:
            grant = decode_msgpack(body, Grant, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        ask = self._open_asks_by_id.pop(grant.ask_id, None)
        if ask is None or ask.peer != sender:
            return
        self._memories.remember_spare(ask.account, sender, grant.spare_tokens)
        if grant.gift_tokens > 0 or grant.loan_parts > 0:
            self.use_grant(ask, grant)
            self._limiter.wake(ask.account)
        if not ask.answered.done():
            ask.answered.set_result(None)

    def use_grant(self, ask: OpenAsk, grant: Grant) -> None:
        """Add the loans of a grant to the account until they expire."""
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
        """Return tokens of an expired loan to its lender."""
        release = Release(lending.lending_id, account, tokens)
        self._send(lending.peer, RELEASE_TOPIC, encode_msgpack(release), account)

    def handle_release(self, sender: str, body: bytes) -> None:
        """Add returned tokens to the bucket if their loan has not expired here."""
        try:
            release = decode_msgpack(body, Release, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        if self._limiter.knows(release.account) and release.tokens > 0:
            state = self._limiter.state_of(release.account)
            state.take_back(release.lending_id, sender, release.tokens, self._clock())
            self._limiter.wake(release.account)

    def drop_expired_asks(self) -> None:
        """Drop asks whose answer would come too late to be used."""
        oldest = self._clock() - LOAN_LIFETIME_S
        for ask_id, ask in list(self._open_asks_by_id.items()):
            if ask.asked_at > oldest:
                break
            del self._open_asks_by_id[ask_id]

    async def close(self) -> None:
        """Cancel all running exchanges."""
        await cancel_all(self._gathering.values())

    async def _gather(self, account: str) -> None:
        was_exhausted = self._memories.is_exhausted(account)
        short_at_first = self._limiter.tokens_short(account)
        for number, (batch, is_urgent) in enumerate(self._batches(account)):
            await self._ask_batch(account, batch, is_urgent=is_urgent)
            short = self._limiter.tokens_short(account)
            if short <= 0:
                self._memories.remember_success(account)
                return
            is_probe = number == 0 and was_exhausted
            if is_probe and short > short_at_first * (1 - LEAST_PROGRESS):
                break
        short = self._limiter.tokens_short(account)
        if short > short_at_first * (1 - LEAST_PROGRESS):
            self._memories.remember_failure(account)
        self._limiter.refuse_hopeless(account)

    async def _ask_batch(
        self, account: str, batch: list[str], *, is_urgent: bool
    ) -> None:
        short = self._limiter.tokens_short(account)
        if short <= 0 or not batch:
            return
        tokens = self._tokens_wanted(account)
        parts = self._parts_wanted(account)
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
        """Yield batches of peers to ask, and whether the batch is urgent.

        The peers with most spare tokens are asked again at the end, urgently.
        """
        remaining = self._memories.ranked_peers(account, self._peers, self._rng)
        if self._memories.is_exhausted(account):
            probed, remaining = remaining[:PROBE_BATCH], remaining[PROBE_BATCH:]
            yield probed, False
        smallest = 1
        while remaining:
            size = max(smallest, self._peers_needed(account))
            batch, remaining = remaining[:size], remaining[size:]
            yield batch, False
            smallest += 1
        for _ in range(URGENT_BATCHES):
            yield self._memories.peers_with_spare(account), True

    def _peers_needed(self, account: str) -> int:
        """Return how many peers together have what is needed, if all are equal."""
        state = self._limiter.state_of(account)
        vms = max(1, len(self._peers.listed_vms()))
        spared = max(1.0, EXPECTED_PART * state.contract.burst_tokens / vms)
        by_tokens = self._tokens_wanted(account) / spared
        by_parts = self._parts_wanted(account) * vms / TOTAL_PARTS
        return math.ceil(max(by_tokens, by_parts))

    def _tokens_wanted(self, account: str) -> float:
        demand = self._limiter.state_of(account).demand(self._clock())
        return self._limiter.tokens_short(account) + LOOKAHEAD_S * demand

    def _parts_wanted(self, account: str) -> int:
        """Return the parts to borrow; 0 if the demand is small or short-lived."""
        now = self._clock()
        state = self._limiter.state_of(account)
        if state.recent_requests(now) < LEAST_REQUESTS:
            return 0
        missing = state.parts_missing(now)
        vms = max(1, len(self._peers.listed_vms()))
        return missing if missing * vms > LEAST_LOAN_PART * TOTAL_PARTS else 0

    def _end_in_time(self, account: str, lending: Lending) -> None:
        delay = lending.until_s - self._clock()
        if delay > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._limiter.wake, account)

    def _send(self, peer: str, topic: str, body: bytes, account: str) -> bool:
        self._budget.spend(len(topic) + len(body), account)
        return self._peers.send(peer, topic, body)
