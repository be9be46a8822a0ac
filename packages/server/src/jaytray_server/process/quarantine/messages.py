"""Messages by which VMs tell one another of crashes and cleared requests."""

from typing import NamedTuple

CRASH_TOPIC = "quarantine.crash"
CLEAR_TOPIC = "quarantine.clear"


class ClearMessage(NamedTuple):
    """Evidence against `digest` is void: it got a whole answer, or was lifted.

    Only `crash_ids` are void, so that a late copy does not hide a newer crash.
    """

    digest: str
    crash_ids: tuple[str, ...]
