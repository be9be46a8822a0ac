"""Template of a message shown to callers and operators."""

from typing import NamedTuple


class MessageTemplate(NamedTuple):
    """Stable code, HTTP status, text with `{field}` placeholders, and remedy."""

    code: str
    status: int
    text: str
    remedy: str
