"""Interfaces between the gateway and the adapter of the platform it runs on.

The adapter converts between the platform's wire formats and the types defined here. It
makes no decisions and keeps no state.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.errors import JaytrayError
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import RouteTable

HeaderList = list[tuple[bytes, bytes]]


class RequestHead(NamedTuple):
    """Request line and headers of a caller's request; header names are lower case."""

    method: str
    request_target: bytes
    headers: HeaderList
    received_at_s: float


class Dispatch(NamedTuple):
    """Metadata that the gateway sends to a target along with the caller's request.

    `time_left_s` is the time that the target may take. `priority` 0 is the most
    urgent, and None selects the target's default. `resume_event_id` is the id of the
    last event that the caller received, empty for a request from the start.
    """

    target_id: str
    account: str
    time_left_s: float
    priority: int | None
    resume_event_id: str


class ResponseHead(NamedTuple):
    """Status and headers of a target's response.

    `is_not_run` means that the target states that it did not run the request, and
    `is_other_instance` that a different target has the address now. `is_signed`
    means that the response carries the target's signature; a success without it is
    not valid. `headers` are those to forward to the caller. `idle_timeout_s` is how
    long the target keeps an idle connection, None if not stated. `rate_limit_per_s` is
    the number of requests per second that the target accepts from all VMs together,
    None if it states no limit. `is_leaving` means that the target is about to stop and
    takes no more requests. `retry_after_s` is how long the target wants no requests
    from this VM, None if it states no such time. `max_rejections_per_s` is how many
    requests per second the target may have to turn away for want of room before it
    falls over, None if it does not state that it would. `cold_left_s` is the time for
    which the target stays cold, None if not stated.
    """

    status: int
    request_id: str
    is_not_run: bool
    is_other_instance: bool
    is_signed: bool
    has_content_encoding: bool
    headers: HeaderList
    idle_timeout_s: float | None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    max_rejections_per_s: float | None = None
    cold_left_s: float | None = None


class OrderResult(NamedTuple):
    """Outcome of an order to a target.

    `is_certain` is False if no response came, so that the order may still take
    effect. `is_unreachable` means that the order was certainly not sent.
    `is_accepted` is also True if there was nothing to do. `is_fenced_off` means that
    the target has seen a higher fencing number, and `is_outdated` that it has
    another order in progress or an `order_count` other than expected.
    """

    is_certain: bool
    is_unreachable: bool
    is_accepted: bool
    is_done: bool
    is_fenced_off: bool
    is_outdated: bool
    detail: str


class TargetOrder(NamedTuple):
    """An order to load or unload `model`, or its `adapter` if that is not empty."""

    is_load: bool
    model: str
    adapter: str
    expected_order_count: int
    leader_id: str
    fencing_number: int


class TargetReport(NamedTuple):
    """State of a target as reported by itself, about 100 ms old."""

    adapters_by_model: dict[str, frozenset[str]]
    is_busy: bool
    order_count: int


def _only_era(_revision: int) -> int:
    return 0


class PlatformAdapter(NamedTuple):
    """Key names and functions of a platform's adapter.

    `render_refusal` takes the error and the request id. `decode_route_table` and
    `decode_target` raise `JaytrayError` for invalid data, and `parse_request` raises
    it for a request that cannot be forwarded. `send_order` and `read_report` raise
    no other exception than `JaytrayError`. `era_start` takes a revision of the
    key-value service and returns what to subtract from it for the one that the service
    itself gave out; 0 if the service never returned from an older copy. A key of
    `evacuations_prefix` and the name of a failure domain has the operator evacuate it;
    the prefix is empty if the platform has no such keys.
    """

    route_table_key: str
    targets_prefix: str
    records_prefix: str
    decode_route_table: Callable[[bytes], RouteTable]
    decode_target: Callable[[str, bytes], TargetEntry]
    parse_request: Callable[[RequestHead, bytes], RoutedRequest]
    render_dispatch: Callable[[RoutedRequest, Dispatch], HeaderList]
    read_response_head: Callable[[int, HeaderList], ResponseHead]
    render_refusal: Callable[[JaytrayError, str], tuple[HeaderList, bytes]]
    send_order: Callable[[str, str, TargetOrder], Awaitable[OrderResult]]
    read_report: Callable[[str], Awaitable[TargetReport]]
    era_start: Callable[[int], int] = _only_era
    evacuations_prefix: str = ""
