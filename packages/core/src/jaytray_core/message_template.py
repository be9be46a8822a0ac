"""The form of a message shown to callers and operators."""

from typing import NamedTuple


class MessageTemplate(NamedTuple):
    """One message: stable code, HTTP status, text with `{field}`s, and remedy."""

    code: str
    status: int
    text: str
    remedy: str
