"""Interface to targets: model engines and plain services.

Orders load and unload models and adapters at a target. A target that checks fencing
numbers refuses an order whose number is lower than the highest one that it has
received; others ignore the number. Load reports and cache events are delayed, and
some may be missing.
"""

import enum
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple


class OrderKind(enum.StrEnum):
    """The operation that an order requests."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class Order(NamedTuple):
    """One order to a target.

    `order_id` makes the order idempotent at the target. `name` is a model or an
    adapter; `model` is the base model of an adapter, else the model itself.
    """

    order_id: str
    kind: OrderKind
    name: str
    model: str
    version: str
    accelerator: int
    memory_mib: int
    fencing_number: int


class OrderReply(NamedTuple):
    """Reply to an order; `detail` is the reason if it was not accepted."""

    order_id: str
    is_accepted: bool
    detail: str


class ResidentState(enum.StrEnum):
    """Life cycle of a model or an adapter on an accelerator."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class Resident(NamedTuple):
    """One model or adapter that occupies memory of an accelerator."""

    name: str
    model: str
    version: str
    accelerator: int
    memory_mib: int
    state: ResidentState


class LoadReport(NamedTuple):
    """State of a target at `taken_at_s` of the target's own clock.

    `settled_order_ids` are recent orders that can have no further effect.
    `boot_id` changes whenever the target restarts with empty accelerators.
    `tokens_pending` is the number of output tokens that running requests have yet to
    produce.
    """

    target: str
    boot_id: str
    taken_at_s: float
    residents: list[Resident]
    settled_order_ids: list[str]
    highest_fencing_number: int
    running_requests: int
    queued_requests: int
    tokens_pending: int
    is_leaving: bool


class CacheEventKind(enum.StrEnum):
    """Change of a target's prompt prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(NamedTuple):
    """A prefix of a prompt was stored in or evicted from a target's cache.

    `sequence` grows by one for each event, so that a reader can detect gaps.
    """

    sequence: int
    kind: CacheEventKind
    model: str
    prefix_digest: str
    tokens: int


class InferRequest(NamedTuple):
    """A request to a model engine.

    `body` is the JSON body of an OpenAI completion and has no key of the caller. The
    response continues after `resume_after_tokens` output tokens, whose text is
    `resume_text`. A smaller `priority` is more urgent. `deadline_s` is the time that
    remains for the first token.
    """

    request_id: str
    path: str
    model: str
    body: bytes
    resume_after_tokens: int
    resume_text: str
    priority: int
    deadline_s: float


class StreamPiece(NamedTuple):
    """One piece of a streamed response.

    `end_index` is the number of output tokens up to and including this piece. `data`
    is the JSON of one server-sent event. `is_end` marks the last piece; only that one
    has in `output_tokens` the length of the whole response, as reported by the target.
    """

    request_id: str
    end_index: int
    text: str
    data: bytes
    is_end: bool
    output_tokens: int
    finish_reason: str


class WholeResponse(NamedTuple):
    """A complete response of a target, with the request id that the target echoed."""

    request_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ServiceCall(NamedTuple):
    """A call to a plain service; it has no key of the caller."""

    request_id: str
    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    timeout_s: float


# The functions below raise `JaytrayError`s whose `execution` is `not_run` only if no
# byte of the request can have been sent or the target reported it.
InferFunction = Callable[[InferRequest], Awaitable[WholeResponse]]
StreamFunction = Callable[
    [InferRequest], AbstractAsyncContextManager[AsyncIterator[StreamPiece]]
]
CallServiceFunction = Callable[[ServiceCall], Awaitable[WholeResponse]]
# (request id); asks the target to stop producing the response.
CancelFunction = Callable[[str], Awaitable[None]]
OrderFunction = Callable[[Order], Awaitable[OrderReply]]
LoadReportFunction = Callable[[], Awaitable[LoadReport]]
# (after sequence) -> events with a higher sequence, oldest first.
CacheEventsFunction = Callable[[int], Awaitable[list[CacheEvent]]]
CloseFunction = Callable[[], Awaitable[None]]


class TargetConnection(NamedTuple):
    """The functions of one connection pool to one target."""

    target: str
    infer: InferFunction
    stream: StreamFunction
    call_service: CallServiceFunction
    cancel: CancelFunction
    order: OrderFunction
    load_report: LoadReportFunction
    cache_events: CacheEventsFunction
    close: CloseFunction
