"""Messages between VMs: one envelope for everything, and the heartbeat in it.

An envelope is MessagePack in one ZeroMQ frame. Receivers drop what does not
decode, what is not from a listed VM, and what they saw before, so that malformed,
stale, doubled and reordered envelopes change nothing.
"""

from typing import NamedTuple

HEARTBEAT_TOPIC = "heartbeat"

# Largest envelope accepted, in bytes; a part of the document fits.
MAX_ENVELOPE_BYTES = 1_200_000


class Envelope(NamedTuple):
    """One message between two VMs.

    `origin`, `boot_epoch_ms` and `sequence` identify the message; `sender` is the VM
    that passed it on, which differs from `origin` in a relayed broadcast.
    `needs_relay` asks receivers to pass a broadcast on to their neighbours.
    """

    origin: str
    boot_epoch_ms: int
    sequence: int
    sender: str
    is_broadcast: bool
    needs_relay: bool
    topic: str
    body: bytes


class Heartbeat(NamedTuple):
    """Periodic sign of life on one link.

    `echo` is the highest heartbeat sequence received from the other end, by which
    it learns that its own direction works. `key_value_age_ms` is the time since the
    sender, or any VM it hears from, last reached the key-value service.
    """

    sequence: int
    echo: int
    key_value_age_ms: int
