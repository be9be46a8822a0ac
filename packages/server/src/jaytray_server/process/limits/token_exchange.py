"""Exchange of spare tokens and spare shares between VMs.

A VM whose requests wait for tokens asks a few peers, then more, until it has enough.
The lender deducts a loan before it replies, and excludes it from its capacity until
the borrower can no longer use it. The borrower counts the lifetime of a loan from the
moment it asked, by its own clock. A lost, late or duplicated message can therefore
only lose tokens, never create them.

A token loan covers the requests that are waiting. A share loan is a part of the
lender's share that its own demand leaves unused, with the tokens that belong to it;
with it, further requests need no messages. When a loan expires, the borrower returns
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
from jaytray_server.process.limits.account_state import Loan
from jaytray_server.process.limits.exchange_history import ExchangeHistory
from jaytray_server.process.limits.exchange_messages import (
    ASK_TOPIC,
    GRANT_TOPIC,
    RELEASE_TOPIC,
    Ask,
    Grant,
    Release,
    share_loan_id,
    token_loan_id,
)
from jaytray_server.process.limits.lending import LOOKAHEAD_S, deduct_grant
from jaytray_server.process.limits.limiter import AccountLimiter
from jaytray_server.process.limits.message_budget import MessageBudget
from jaytray_server.process.limits.share_table import TOTAL_PARTS

# Lifetime of a token loan and of a share loan, from the moment the borrower asked.
TOKEN_LOAN_LIFETIME_S = 0.5
SHARE_LOAN_LIFETIME_S = 20.0
# Fraction of an even share of the burst that a peer is expected to have spare.
EXPECTED_SPARE_FRACTION = 0.5
# Share loans below this fraction of an even share are not worth their messages.
MIN_SHARE_LOAN_FRACTION = 0.25
# Minimum number of recent requests for a demand to count as lasting.
MIN_REQUESTS_FOR_SHARE_LOAN = 3.0
# Time that a batch of peers has to reply, in seconds.
REPLY_TIMEOUT_S = 0.05
# Number of peers that are asked first while the account counts as exhausted.
PROBE_BATCH_SIZE = 2
# Fraction of the missing tokens below which an exchange counts as unsuccessful.
MIN_PROGRESS_FRACTION = 0.25
# Number of final urgent batches, sent to the peers with spare tokens.
URGENT_BATCHES = 3


class PendingAsk(NamedTuple):
    """An `Ask` of this VM that has no reply yet."""

    account: str
    peer: str
    asked_at: float
    done: asyncio.Future[None]


class TokenExchange:
    """Borrows tokens and shares from other VMs and replies to their asks."""

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
        self._pending_asks_by_id: dict[int, PendingAsk] = {}
        self._tasks_by_account: dict[str, asyncio.Task[None]] = {}
        self._history = ExchangeHistory(clock=clock)
        peers.set_handler(ASK_TOPIC, self.handle_ask)
        peers.set_handler(GRANT_TOPIC, self.handle_grant)
        peers.set_handler(RELEASE_TOPIC, self.handle_release)

    def request_tokens(self, account: str) -> None:
        """Start to borrow tokens for the account's waiting requests."""
        if account in self._tasks_by_account:
            return
        if self._history.is_backing_off(account):
            self._limiter.refuse_unsatisfiable(account)
            return
        task = asyncio.get_running_loop().create_task(self._borrow(account))
        self._tasks_by_account[account] = task
        task.add_done_callback(lambda _task: self._tasks_by_account.pop(account, None))

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
            borrower=sender,
            now=self._clock(),
            is_exhausted=self._history.is_exhausted(ask.account),
        )
        given = grant.token_loan + grant.share_loan_tokens
        if given or grant.share_loan_parts:
            self._metrics.increment("limits.tokens_given", given)
            get_logger().debug(
                "limits_grant_sent",
                peer=sender,
                account=ask.account,
                tokens=given,
                parts=grant.share_loan_parts,
            )
        self._send(sender, GRANT_TOPIC, encode_msgpack(grant), ask.account)

    def handle_grant(self, sender: str, body: bytes) -> None:
        """Apply a grant; an unsolicited or duplicate one is ignored."""
        try:
            grant = decode_msgpack(body, Grant, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        ask = self._pending_asks_by_id.pop(grant.ask_id, None)
        if ask is None or ask.peer != sender:
            return
        self._history.record_spare(ask.account, sender, grant.spare_tokens)
        if grant.token_loan > 0 or grant.share_loan_parts > 0:
            self.apply_grant(ask, grant)
            self._limiter.admit_waiting(ask.account)
        if not ask.done.done():
            ask.done.set_result(None)

    def apply_grant(self, ask: PendingAsk, grant: Grant) -> None:
        """Add the loans of a grant to the account until they expire."""
        given = grant.token_loan + grant.share_loan_tokens
        self._metrics.increment("limits.tokens_received", given)
        state = self._limiter.state_of(ask.account)
        now = self._clock()
        token_loan = Loan(
            ask.asked_at + TOKEN_LOAN_LIFETIME_S,
            token_loan_id(grant.ask_id),
            1,
            ask.peer,
            grant.token_loan,
            0,
        )
        share_loan = Loan(
            ask.asked_at + SHARE_LOAN_LIFETIME_S,
            share_loan_id(grant.ask_id),
            1,
            ask.peer,
            0,
            grant.share_loan_parts,
        )
        for loan, tokens in (
            (token_loan, token_loan.tokens),
            (share_loan, grant.share_loan_tokens),
        ):
            if loan.tokens or loan.parts:
                state.borrow(loan, tokens=tokens, now=now)
                self._schedule_expiry(ask.account, loan)

    def return_tokens(self, account: str, loan: Loan, tokens: int) -> None:
        """Return tokens of an expired loan to its lender."""
        release = Release(loan.loan_id, account, tokens)
        self._send(loan.peer, RELEASE_TOPIC, encode_msgpack(release), account)

    def handle_release(self, sender: str, body: bytes) -> None:
        """Add returned tokens to the bucket if their loan has not expired here."""
        try:
            release = decode_msgpack(body, Release, peer=sender)
        except JaytrayError as err:
            get_logger().warning("limits_message_malformed", peer=sender, code=err.code)
            return
        if self._limiter.is_declared(release.account) and release.tokens > 0:
            state = self._limiter.state_of(release.account)
            state.take_back(release.loan_id, sender, release.tokens, self._clock())
            self._limiter.admit_waiting(release.account)

    def drop_expired_asks(self) -> None:
        """Drop asks whose reply would come too late to be used."""
        oldest = self._clock() - SHARE_LOAN_LIFETIME_S
        for ask_id, ask in list(self._pending_asks_by_id.items()):
            if ask.asked_at > oldest:
                break
            del self._pending_asks_by_id[ask_id]

    async def close(self) -> None:
        """Cancel all running exchanges."""
        await cancel_all(self._tasks_by_account.values())

    async def _borrow(self, account: str) -> None:
        was_exhausted = self._history.is_exhausted(account)
        missing_at_start = self._limiter.missing_tokens(account)
        for number, (batch, is_urgent) in enumerate(self._batches(account)):
            await self._ask_batch(account, batch, is_urgent=is_urgent)
            missing = self._limiter.missing_tokens(account)
            if missing <= 0:
                self._history.record_success(account)
                return
            is_probe = number == 0 and was_exhausted
            if is_probe and missing > missing_at_start * (1 - MIN_PROGRESS_FRACTION):
                break
        missing = self._limiter.missing_tokens(account)
        if missing > missing_at_start * (1 - MIN_PROGRESS_FRACTION):
            self._history.record_failure(account)
        self._limiter.refuse_unsatisfiable(account)

    async def _ask_batch(
        self, account: str, batch: list[str], *, is_urgent: bool
    ) -> None:
        missing = self._limiter.missing_tokens(account)
        if missing <= 0 or not batch:
            return
        tokens = self._tokens_wanted(account)
        parts = self._parts_wanted(account)
        replies = [
            self._ask(
                peer,
                account,
                tokens=math.ceil(tokens / len(batch)),
                parts=math.ceil(parts / len(batch)),
                is_urgent=is_urgent,
            )
            for peer in batch
        ]
        waited_for = [reply for reply in replies if reply is not None]
        if waited_for:
            await asyncio.wait(waited_for, timeout=REPLY_TIMEOUT_S)

    def _ask(
        self, peer: str, account: str, *, tokens: int, parts: int, is_urgent: bool
    ) -> asyncio.Future[None] | None:
        if not self._budget.may_send(account):
            return None
        ask = Ask(self._rng.getrandbits(53), account, tokens, parts, is_urgent)
        reply: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_asks_by_id[ask.ask_id] = PendingAsk(
            account, peer, self._clock(), reply
        )
        if not self._send(peer, ASK_TOPIC, encode_msgpack(ask), account):
            del self._pending_asks_by_id[ask.ask_id]
            return None
        return reply

    def _batches(self, account: str) -> Iterator[tuple[list[str], bool]]:
        """Yield batches of peers to ask, and whether the batch is urgent.

        The peers with most spare tokens are asked again at the end, urgently.
        """
        remaining = self._history.ranked_peers(account, self._peers, self._rng)
        if self._history.is_exhausted(account):
            probed, remaining = (
                remaining[:PROBE_BATCH_SIZE],
                remaining[PROBE_BATCH_SIZE:],
            )
            yield probed, False
        smallest = 1
        while remaining:
            size = max(smallest, self._peers_needed(account))
            batch, remaining = remaining[:size], remaining[size:]
            yield batch, False
            smallest += 1
        for _ in range(URGENT_BATCHES):
            yield self._history.peers_with_spare(account), True

    def _peers_needed(self, account: str) -> int:
        """Return how many peers can lend what is needed, if all have the same spare."""
        state = self._limiter.state_of(account)
        vms = max(1, len(self._peers.listed_vms()))
        expected_spare = max(
            1.0, EXPECTED_SPARE_FRACTION * state.contract.burst_tokens / vms
        )
        by_tokens = self._tokens_wanted(account) / expected_spare
        by_parts = self._parts_wanted(account) * vms / TOTAL_PARTS
        return math.ceil(max(by_tokens, by_parts))

    def _tokens_wanted(self, account: str) -> float:
        demand = self._limiter.state_of(account).demand(self._clock())
        return self._limiter.missing_tokens(account) + LOOKAHEAD_S * demand

    def _parts_wanted(self, account: str) -> int:
        """Return the parts to borrow; 0 if the demand is small or short-lived."""
        now = self._clock()
        state = self._limiter.state_of(account)
        if state.recent_requests(now) < MIN_REQUESTS_FOR_SHARE_LOAN:
            return 0
        missing = state.missing_parts(now)
        vms = max(1, len(self._peers.listed_vms()))
        return missing if missing * vms > MIN_SHARE_LOAN_FRACTION * TOTAL_PARTS else 0

    def _schedule_expiry(self, account: str, loan: Loan) -> None:
        delay = loan.until_s - self._clock()
        if delay > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._limiter.admit_waiting, account)

    def _send(self, peer: str, topic: str, body: bytes, account: str) -> bool:
        self._budget.spend(len(topic) + len(body), account)
        return self._peers.send(peer, topic, body)
