"""Messages by which VMs tell one another of crashes and cleared requests."""

from typing import NamedTuple

CRASH_TOPIC = "quarantine.crash"
CLEAR_TOPIC = "quarantine.clear"


class ClearMessage(NamedTuple):
    """The evidence against `digest` is void: it got a whole answer, or was lifted."""

    digest: str
