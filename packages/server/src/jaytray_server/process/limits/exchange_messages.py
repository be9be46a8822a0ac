"""Messages between VMs that lend tokens and shares of client accounts."""

from typing import NamedTuple

ASK_TOPIC = "limits.ask"
GRANT_TOPIC = "limits.grant"
RELEASE_TOPIC = "limits.release"


class Ask(NamedTuple):
    """Request for a loan of tokens and of parts out of `TOTAL_PARTS`.

    An urgent request may use tokens that the lender would reserve for its own next
    requests.
    """

    ask_id: int
    account: str
    tokens: int
    parts: int
    is_urgent: bool


class Grant(NamedTuple):
    """Reply to an `Ask`; all amounts are 0 when nothing can be lent.

    `token_loan` is the size of the token loan. `share_loan_parts` is the size of the
    share loan, which comes with `share_loan_tokens`. `spare_tokens` is what the lender
    has left.
    """

    ask_id: int
    token_loan: int
    share_loan_parts: int
    share_loan_tokens: int
    spare_tokens: int


class Release(NamedTuple):
    """End of a loan, with the tokens that the borrower returns."""

    loan_id: int
    account: str
    tokens: int


def token_loan_id(ask_id: int) -> int:
    """Return the id of the token loan granted for an ask."""
    return 2 * ask_id


def share_loan_id(ask_id: int) -> int:
    """Return the id of the share loan granted for an ask."""
    return 2 * ask_id + 1
