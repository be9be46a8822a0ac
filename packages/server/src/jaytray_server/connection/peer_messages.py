"""Messages between VMs: the envelope of every message, and the heartbeat.

An envelope is encoded as MessagePack in one ZeroMQ frame. Receivers drop envelopes
that are malformed or not from a listed VM, duplicate broadcasts, and heartbeats that
are not newer than the last one, so that none of these has an effect.
"""

from typing import NamedTuple

HEARTBEAT_TOPIC = "heartbeat"

# Largest envelope accepted, in bytes; large enough for a part of the document.
MAX_ENVELOPE_BYTES = 1_200_000


class Envelope(NamedTuple):
    """One message between two VMs.

    `origin`, `boot_epoch_ms` and `sequence` identify the message; `sender` is the VM
    that forwarded it, which differs from `origin` in a relayed broadcast.
    `needs_relay` asks receivers to forward a broadcast to their neighbours. In a
    heartbeat it says that the sender has not chosen the receiver as a neighbour and
    only answers its heartbeats; earlier builds ignore it there.
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
    """Periodic heartbeat on one link.

    `echo` is the highest heartbeat sequence received from the other end, which tells
    that end that its own link works. `key_value_age_ms` is the time since the sender,
    or any VM it receives heartbeats from, last reached the key-value service.
    """

    sequence: int
    echo: int
    key_value_age_ms: int
