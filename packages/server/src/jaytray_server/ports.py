"""Interfaces between the subsystems of the server.

Each interface is a tuple of functions. A subsystem is given the interfaces that it
needs, and tests pass small fakes; `process/runtime.py` connects the implementations.
"""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple

from jaytray_core.document.model import Document, TrafficClass
from jaytray_core.targets import TargetConnection

# Returns the document in force on this VM, version 0 if there is none yet.
CurrentDocument = Callable[[], Document]

# Handles one message of a peer: (sender's vm id, body). Must not block.
PeerHandler = Callable[[str, bytes], None]


class PeerNetwork(NamedTuple):
    """Messages between VMs: unreliable, unordered, possibly duplicated.

    `send` sends to any listed VM and returns False if the message was certainly
    dropped. `broadcast` reaches all VMs by way of the neighbours, each VM once unless
    it is cut off. `neighbours` returns the neighbours whose heartbeats arrived
    recently, a bounded set. `listed_vms` returns the VMs last listed, without those
    leaving. `linked_vms` returns those to which a link is open, and `send_to_all` sends
    to all in a cheaper way than one by one, or returns False if it can't; both are
    optional.
    """

    vm_id: str
    send: Callable[[str, str, bytes], bool]
    broadcast: Callable[[str, bytes], None]
    set_handler: Callable[[str, PeerHandler], None]
    neighbours: Callable[[], list[str]]
    listed_vms: Callable[[], list[str]]
    linked_vms: Callable[[], frozenset[str]] | None = None
    send_to_all: Callable[[str, bytes], bool] | None = None


class Reservation(NamedTuple):
    """Tokens charged to a client account when a request is admitted."""

    reservation_id: int
    account: str
    tokens: int


class Limiter(NamedTuple):
    """Rate and burst limits of client accounts on this VM.

    `reserve` takes (account, tokens, maximum wait in seconds) and raises
    `rate_exceeded` or `request_above_burst`. `settle` takes the number of tokens used,
    at most those reserved, and refunds the rest; a second call does nothing.
    """

    reserve: Callable[[str, int, float], Awaitable[Reservation]]
    settle: Callable[[Reservation, int], None]


class SlotRequest(NamedTuple):
    """A request for one of a target's running slots.

    `tokens` is the expected cost for fair queueing; `max_wait_s` is the time until the
    request's deadline.
    """

    target: str
    account: str
    weight: float
    tokens: int
    traffic_class: TrafficClass
    max_wait_s: float


# Acquires a running slot by fair queueing and releases it on exit; raises
# `queue_full` or `deadline_unreachable`.
AcquireSlot = Callable[[SlotRequest], AbstractAsyncContextManager[None]]


class RoutingRequest(NamedTuple):
    """The properties of a request that routing depends on.

    `name` is a model or an adapter. `prefix_digests` are the digests of prefixes of the
    prompt, shortest first. `excluded_targets` have been tried already. `model_version`
    is the version of the base model that a stream must go on at, empty for any.
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
    model_version: str = ""


class RoutingDecision(NamedTuple):
    """The chosen target and the reason, as logged in `routing_decision`.

    `needs_adapter_load` is set if the target must load the adapter first.
    `model_version` is the version of the base model there, empty if it has several.
    """

    target: str
    reason: str
    score: float
    candidates: int
    needs_adapter_load: bool
    model_version: str = ""


class Router(NamedTuple):
    """Choice of a replica for each request.

    `choose` raises `model_unknown` or `no_replica`. The other functions report this
    VM's own requests: `record_start` and `record_progress` take (target, request id,
    tokens still expected), `record_finish` takes (target, request id).
    `record_failure` reports that a target did not respond or crashed.
    """

    choose: Callable[[RoutingRequest], RoutingDecision]
    record_start: Callable[[str, str, int], None]
    record_progress: Callable[[str, str, int], None]
    record_finish: Callable[[str, str], None]
    record_failure: Callable[[str], None]


# Returns the connection pool of a target, or None if it is not declared.
GetTargetConnection = Callable[[str], TargetConnection | None]


class Metrics(NamedTuple):
    """Counters, gauges and timings; calls never fail and never block.

    `timing` takes milliseconds. Names are dotted and have no prefix.
    """

    increment: Callable[[str, int], None]
    gauge: Callable[[str, float], None]
    timing: Callable[[str, float], None]
