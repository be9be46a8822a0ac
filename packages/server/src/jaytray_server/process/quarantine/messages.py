"""Messages between VMs about crashes and cleared requests."""

from typing import NamedTuple

CRASH_TOPIC = "quarantine.crash"
CLEAR_TOPIC = "quarantine.clear"


class ClearMessage(NamedTuple):
    """Invalidates evidence about `digest`.

    Sent when it got a complete response or an operator released it. Only `crash_ids`
    are invalidated, so that a late copy of the message does not hide a newer crash.
    """

    digest: str
    crash_ids: tuple[str, ...]
