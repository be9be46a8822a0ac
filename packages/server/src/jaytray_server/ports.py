"""Interfaces between the subsystems of the server.

Each interface is a tuple of functions. A subsystem takes those that it needs and is
tested with small fakes; `process/runtime.py` puts the real ones together.
"""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple

from jaytray_core.document.model import Document, TrafficClass
from jaytray_core.targets import TargetConnection

# Returns the document in force on this VM; version 0 when there is none yet.
CurrentDocument = Callable[[], Document]

# Handles one message of a peer: (sender's vm id, body). Must not block.
PeerHandler = Callable[[str, bytes], None]


class PeerNetwork(NamedTuple):
    """Messages between VMs: unreliable, unordered, possibly doubled.

    `send` tries any listed VM and returns False when it is surely not reachable.
    `broadcast` reaches all VMs through neighbours, each VM once unless it is cut off.
    `neighbours` lists the bounded set of peers that were heard from recently.
    `listed_vms` is the last list of VMs, leaving ones excluded.
    """

    vm_id: str
    send: Callable[[str, str, bytes], bool]
    broadcast: Callable[[str, bytes], None]
    set_handler: Callable[[str, PeerHandler], None]
    neighbours: Callable[[], list[str]]
    listed_vms: Callable[[], list[str]]


class Reservation(NamedTuple):
    """Tokens charged to a client account when a request was admitted."""

    reservation_id: int
    account: str
    tokens: int


class Limiter(NamedTuple):
    """Rate and burst of client accounts on this VM.

    `reserve` takes (account, tokens, seconds that it may wait) and raises
    `rate_exceeded` or `request_above_burst`. `settle` takes the tokens that were
    used, at most those reserved, and returns the rest; a second call does nothing.
    """

    reserve: Callable[[str, int, float], Awaitable[Reservation]]
    settle: Callable[[Reservation, int], None]


class SlotRequest(NamedTuple):
    """A request for one of a target's running slots.

    `tokens` is the expected cost for fair queueing; `max_wait_s` the time after
    which waiting makes no sense.
    """

    target: str
    account: str
    weight: float
    tokens: int
    traffic_class: TrafficClass
    max_wait_s: float


# Waits in fair order for a running slot and gives it back on exit; raises
# `queue_full` or `deadline_unreachable`.
AcquireSlot = Callable[[SlotRequest], AbstractAsyncContextManager[None]]


class RoutingRequest(NamedTuple):
    """What routing needs to know of a request.

    `prefix_digests` are digests of growing prefixes of the prompt, shortest first.
    `excluded_targets` were tried already. `name` is a model or an adapter.
    """

    request_id: str
    name: str
    account: str
    traffic_class: TrafficClass
    prompt_tokens: int
    output_tokens: int
    prefix_digests: tuple[str, ...]
    excluded_targets: frozenset[str]
    deadline_s: float


class RoutingDecision(NamedTuple):
    """The chosen target and why, for the decision log line.

    `needs_adapter_load` tells that the adapter must be loaded there first.
    """

    target: str
    reason: str
    score: float
    candidates: int
    needs_adapter_load: bool


class Router(NamedTuple):
    """Choice of a replica for each request.

    `choose` raises `model_unknown` or `no_replica`. `started` and `finished` tell
    of own requests in flight: (target, request id, tokens still expected);
    `progressed` lowers the expectation; `failed` tells that the target did not
    answer or died, `slow` that it missed a deadline.
    """

    choose: Callable[[RoutingRequest], RoutingDecision]
    started: Callable[[str, str, int], None]
    progressed: Callable[[str, str, int], None]
    finished: Callable[[str, str], None]
    failed: Callable[[str], None]


# Returns the connection pool to a declared target, or None.
ConnectionTo = Callable[[str], TargetConnection | None]


class Metrics(NamedTuple):
    """Counters, gauges and timings; never fails and never blocks.

    `timing` takes milliseconds. Names are dotted, without a prefix.
    """

    increment: Callable[[str, int], None]
    gauge: Callable[[str, float], None]
    timing: Callable[[str, float], None]
