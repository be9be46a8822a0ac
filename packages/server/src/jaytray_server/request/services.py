"""Dependencies of request handling on the rest of the process.

The process builds one `RequestServices`, which all requests use. `Lifecycle` holds
whether this VM accepts new requests and counts the running responses.
"""

import enum
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock, WallClock
from jaytray_server.ports import (
    AcquireSlot,
    CurrentDocument,
    GetTargetConnection,
    Limiter,
    Metrics,
    Router,
)
from jaytray_server.process.deferred.store import DeferredStore
from jaytray_server.process.idempotency.idempotency import Idempotency
from jaytray_server.process.quarantine.quarantine import Quarantine
from jaytray_server.request.retry import RetryBudget
from jaytray_server.request.service_routing import AddressHealth
from jaytray_server.version.running_streams import EndStream


class Phase(enum.StrEnum):
    """Phase of the process's life cycle."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    CLOSED = "closed"


class Lifecycle:
    """Whether this VM accepts new requests, and the number of running responses.

    In DRAINING the VM reports to the load balancer that it is not ready, but serves
    the requests that it still gets. In CLOSED it refuses new requests while running
    responses finish.
    """

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.is_isolated = False
        self.running_responses = 0

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self.phase is Phase.READY and not self.is_isolated

    @contextmanager
    def running_response(self) -> Iterator[None]:
        """Count one response as running."""
        self.running_responses += 1
        try:
            yield
        finally:
            self.running_responses -= 1


class Timeouts(NamedTuple):
    """Limits in seconds for each step of a request."""

    body_read_s: float = 30.0
    first_token_s: float = 30.0
    idle_token_s: float = 10.0
    whole_response_s: float = 600.0
    slow_caller_s: float = 60.0
    cancel_s: float = 2.0
    deferred_start_s: float = 30.0


class SizeLimits(NamedTuple):
    """Limits in bytes on what a caller sends and on what is buffered for it."""

    body_bytes: int = 1_000_000
    header_bytes: int = 16_384
    url_bytes: int = 8_192
    stream_buffer_bytes: int = 65_536


# (model, prompt) -> digests of growing prefixes of the prompt, shortest first.
PrefixDigests = Callable[[str, str], tuple[str, ...]]
# (target, adapter) returns when the adapter is loaded there.
LoadAdapter = Callable[[str, str], Awaitable[None]]
# (key digest, function that ends the stream) -> a block that keeps it registered;
# raises `key_withdrawn`.
RegisterStream = Callable[[str, EndStream], AbstractContextManager[None]]


class RequestServices(NamedTuple):
    """Dependencies of request handling, provided by the process.

    `connection_to` takes a target's name, `connection_to_address` the `IP:port` of
    a plain service.
    """

    current_document: CurrentDocument
    register_stream: RegisterStream
    limiter: Limiter
    acquire_slot: AcquireSlot
    router: Router
    connection_to: GetTargetConnection
    connection_to_address: GetTargetConnection
    prefix_digests: PrefixDigests
    load_adapter: LoadAdapter
    metrics: Metrics
    clock: MonotonicClock
    wall_clock: WallClock
    lifecycle: Lifecycle
    retry_budget: RetryBudget
    address_health: AddressHealth
    idempotency: Idempotency
    quarantine: Quarantine
    deferred: DeferredStore
    timeouts: Timeouts
    sizes: SizeLimits
