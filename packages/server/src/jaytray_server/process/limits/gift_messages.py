"""Messages by which VMs exchange tokens and shares of client accounts."""

from typing import NamedTuple

ASK_TOPIC = "limits.ask"
GRANT_TOPIC = "limits.grant"
RELEASE_TOPIC = "limits.release"


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


def gift_id(ask_id: int) -> int:
    """Return the id of the gift that answers an ask."""
    return 2 * ask_id


def loan_id(ask_id: int) -> int:
    """Return the id of the loan that answers an ask."""
    return 2 * ask_id + 1
