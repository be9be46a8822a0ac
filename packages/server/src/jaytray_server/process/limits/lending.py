"""How much of its tokens and of its share a VM lends to a VM that asks."""

import math

from jaytray_server.process.limits.account_state import AccountState, Loan
from jaytray_server.process.limits.exchange_messages import (
    Ask,
    Grant,
    share_loan_id,
    token_loan_id,
)
from jaytray_server.process.limits.limiter import AccountLimiter

# Seconds of its own demand that a VM borrows, or reserves when it lends, in addition to
# the tokens for its waiting requests.
LOOKAHEAD_S = 0.5
# How long a lender excludes a token loan or a share loan from its capacity: the
# lifetime at the borrower, plus 5 % because the clocks may run at different rates.
TOKEN_LOAN_HOLD_S = 0.525
SHARE_LOAN_HOLD_S = 21.0
# Ratio of demand to refill rate above which a VM reserves tokens even from urgent asks.
OVERLOAD_FACTOR = 2.0


def deduct_grant(
    limiter: AccountLimiter, ask: Ask, *, borrower: str, now: float, is_exhausted: bool
) -> Grant:
    """Deduct from this VM's bucket what it can lend in reply to `ask`.

    With `is_exhausted`, when this VM itself borrowed without success recently, it
    lends nothing.
    """
    if is_exhausted or not limiter.is_declared(ask.account):
        return Grant(ask.ask_id, 0, 0, 0, 0)
    state = limiter.state_of(ask.account)
    available = state.available_parts()
    parts = max(0, min(ask.parts, -state.missing_parts(now)))
    spare = spare_tokens(state, now, is_urgent=ask.is_urgent)
    share_loan_tokens = math.floor(spare * parts / available) if parts else 0
    spare -= share_loan_tokens
    tokens = max(0, min(ask.tokens - share_loan_tokens, math.floor(spare)))
    if parts:
        share_loan = Loan(
            now + SHARE_LOAN_HOLD_S, share_loan_id(ask.ask_id), -1, borrower, 0, parts
        )
        state.lend(share_loan, tokens=share_loan_tokens, now=now)
    if tokens:
        token_loan = Loan(
            now + TOKEN_LOAN_HOLD_S, token_loan_id(ask.ask_id), -1, borrower, tokens, 0
        )
        state.lend(token_loan, tokens=tokens, now=now)
    return Grant(
        ask.ask_id, tokens, parts, share_loan_tokens, math.floor(spare) - tokens
    )


def spare_tokens(state: AccountState, now: float, *, is_urgent: bool) -> float:
    """Return the tokens beyond what this VM's own requests will need soon."""
    is_overloaded = state.demand(now) > OVERLOAD_FACTOR * state.bucket.rate
    kept_s = 0.0 if is_urgent and not is_overloaded else LOOKAHEAD_S
    needed = state.waiting_tokens() + kept_s * state.demand(now)
    return max(0.0, state.bucket.level - needed)
