"""Interfaces between the gateway and the adapter of the platform it runs on.

The adapter parses and renders; it decides nothing and keeps no state. Everything
here is in the gateway's own terms.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.errors import JaytrayError
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import RouteTable

HeaderList = list[tuple[bytes, bytes]]


class RequestHead(NamedTuple):
    """Request line and headers of a caller's request; header names in lower case."""

    method: str
    target: bytes
    headers: HeaderList
    received_at_s: float


class Dispatch(NamedTuple):
    """What the gateway tells a target beside the caller's own request.

    `time_left_s` is the time that the target may take. `priority` 0 is the most
    urgent, None leaves the target's default. `resume_after` is the id of the last
    event that the caller has, empty for a run from the start.
    """

    target_id: str
    account: str
    time_left_s: float
    priority: int | None
    resume_after: str


class AnswerHead(NamedTuple):
    """Status and headers of a target's answer.

    `is_not_run` is the target's statement that it did not run the request, and
    `is_other_instance` that another target has the address. `is_sealed` tells that
    the answer carries the target's signature; a success without it is no answer.
    `headers` are those to pass on. `idle_timeout_s` is how long the target keeps an
    idle connection, None when not stated.
    """

    status: int
    request_id: str
    is_not_run: bool
    is_other_instance: bool
    is_sealed: bool
    is_encoded: bool
    headers: HeaderList
    idle_timeout_s: float | None


class OrderResult(NamedTuple):
    """Outcome of an order to a target.

    `is_certain` is False when no answer came: the order may still take effect.
    `is_unreachable` tells that it surely did not leave.
    `is_accepted` also holds when there was nothing to do. `is_fenced_off` tells that
    the target has seen a higher fencing number, `is_outdated` that it has another
    order under way or another `order_count` than expected.
    """

    is_certain: bool
    is_unreachable: bool
    is_accepted: bool
    is_done: bool
    is_fenced_off: bool
    is_outdated: bool
    detail: str


class TargetOrder(NamedTuple):
    """Load or unload `model`, or one adapter of it when `adapter` is not empty."""

    is_load: bool
    model: str
    adapter: str
    expected_order_count: int
    holder: str
    fencing_number: int


class TargetReport(NamedTuple):
    """A target's own account of its state, some 100 ms old."""

    adapters_by_model: dict[str, frozenset[str]]
    is_busy: bool
    order_count: int


class PlatformAdapter(NamedTuple):
    """The functions of the adapter.

    `render_refusal` takes the error and the request's id.
    `decode_route_table` and `decode_target` raise `JaytrayError` for bytes that
    cannot be used. `parse_request` raises it for a request that cannot be forwarded.
    `send_order` and `read_report` raise nothing but `JaytrayError`.
    """

    route_table_key: str
    targets_prefix: str
    own_prefix: str
    decode_route_table: Callable[[bytes], RouteTable]
    decode_target: Callable[[str, bytes], TargetEntry]
    parse_request: Callable[[RequestHead, bytes], RoutedRequest]
    render_dispatch: Callable[[RoutedRequest, Dispatch], HeaderList]
    read_answer_head: Callable[[int, HeaderList], AnswerHead]
    render_refusal: Callable[[JaytrayError, str], tuple[HeaderList, bytes]]
    send_order: Callable[[str, str, TargetOrder], Awaitable[OrderResult]]
    read_report: Callable[[str], Awaitable[TargetReport]]
