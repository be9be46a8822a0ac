"""How much of its tokens and of its share a VM lends to a VM that asks."""

import math

from jaytray_server.process.limits.account_state import AccountState, Lending
from jaytray_server.process.limits.gift_messages import Ask, Grant, gift_id, loan_id
from jaytray_server.process.limits.limiter import AccountLimiter

# Seconds of its own demand that a VM borrows, or reserves when it lends, in addition to
# the tokens for its waiting requests.
LOOKAHEAD_S = 0.5
# How long a lender excludes a token loan or a share loan from its capacity: the
# lifetime at the borrower, plus 5 % because the clocks may run at different rates.
GIFT_HOLD_S = 0.525
LOAN_HOLD_S = 21.0
# Ratio of demand to refill rate above which a VM reserves tokens even from urgent asks.
OVERLOAD_FACTOR = 2.0


def deduct_grant(
    limiter: AccountLimiter, ask: Ask, *, taker: str, now: float, is_exhausted: bool
) -> Grant:
    """Deduct from this VM's bucket what it can lend in answer to `ask`.

    With `is_exhausted`, when this VM itself borrowed without success recently, it
    lends nothing.
    """
    if is_exhausted or not limiter.knows(ask.account):
        return Grant(ask.ask_id, 0, 0, 0, 0)
    state = limiter.state_of(ask.account)
    at_hand = state.parts_at_hand()
    parts = max(0, min(ask.parts, -state.parts_missing(now)))
    spare = spare_tokens(state, now, is_urgent=ask.is_urgent)
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


def spare_tokens(state: AccountState, now: float, *, is_urgent: bool) -> float:
    """Return the tokens beyond what this VM's own requests will need soon."""
    is_overloaded = state.demand(now) > OVERLOAD_FACTOR * state.bucket.rate
    kept_s = 0.0 if is_urgent and not is_overloaded else LOOKAHEAD_S
    needed = state.tokens_waited_for() + kept_s * state.demand(now)
    return max(0.0, state.bucket.level - needed)
