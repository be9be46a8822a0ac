"""A minimal wire format for tests, as the adapter of a platform.

Requests carry `x-id`, `x-key`, `x-model`, `x-parts`, `x-deadline`, `x-last` and
`x-original`;
responses carry `x-id`, `x-seal`, `x-not-run`, `x-limit`, `x-leaving` and
`retry-after`.
"""

from typing import Any

from jaytray_core.errors import JaytrayError
from jaytray_gateway.ports import (
    Dispatch,
    HeaderList,
    PlatformAdapter,
    RequestHead,
    ResponseHead,
)
from jaytray_gateway.request.routed_request import PromptPart, RoutedRequest
from jaytray_gateway.version.route_table import digest_key


def first_value(headers: HeaderList, name: bytes) -> bytes:
    return next((value for key, value in headers if key == name), b"")


def parse_request(head: RequestHead, body: bytes) -> RoutedRequest:
    key = first_value(head.headers, b"x-key")
    deadline = first_value(head.headers, b"x-deadline")
    return RoutedRequest(
        request_id=first_value(head.headers, b"x-id").decode(),
        method=head.method.encode(),
        request_target=head.request_target,
        host="h",
        path=head.request_target.decode(),
        headers=(),
        body=body,
        deadline_s=float(deadline) if deadline else None,
        key_digest=digest_key(key) if key else None,
        model=first_value(head.headers, b"x-model").decode(),
        adapter="",
        has_token_counts=False,
        prompt_tokens=0,
        output_tokens=0,
        prompt_parts=tuple(
            PromptPart(part, 10)
            for part in first_value(head.headers, b"x-parts").decode().split(",")
        ),
        last_event_id=first_value(head.headers, b"x-last").decode(),
        original_request_id=first_value(head.headers, b"x-original").decode(),
        received_at_s=head.received_at_s,
    )


def render_dispatch(request: RoutedRequest, dispatch: Dispatch) -> HeaderList:
    return [
        (b"host", b"h"),
        (b"x-id", request.request_id.encode()),
        (b"x-account", dispatch.account.encode()),
        (b"x-last", (dispatch.resume_event_id or request.last_event_id).encode()),
        (b"x-parts", ",".join(p.part_id for p in request.prompt_parts).encode()),
        (b"content-length", b"%d" % len(request.body)),
    ]


def read_response_head(status: int, headers: HeaderList) -> ResponseHead:
    limit = first_value(headers, b"x-limit")
    retry_after = first_value(headers, b"retry-after")
    return ResponseHead(
        status=status,
        request_id=first_value(headers, b"x-id").decode(),
        is_not_run=bool(first_value(headers, b"x-not-run")),
        is_other_instance=status == 421,
        is_signed=bool(first_value(headers, b"x-seal")),
        has_content_encoding=False,
        headers=[pair for pair in headers if pair[0].startswith(b"x-")],
        idle_timeout_s=None,
        rate_limit_per_s=float(limit) if limit else None,
        retry_after_s=float(retry_after) if retry_after else None,
        is_leaving=bool(first_value(headers, b"x-leaving")),
    )


def render_refusal(err: JaytrayError, _request_id: str) -> tuple[HeaderList, bytes]:
    headers: HeaderList = [(b"x-code", err.code.encode())]
    if err.retry_after_s:
        headers.append((b"retry-after", b"%.2f" % err.retry_after_s))
    return headers, err.execution.value.encode()


def not_used(*_arguments: Any) -> Any:
    raise AssertionError("not used by request handling")


ADAPTER = PlatformAdapter(
    route_table_key="table",
    targets_prefix="targets/",
    records_prefix="own/",
    decode_route_table=not_used,
    decode_target=not_used,
    parse_request=parse_request,
    render_dispatch=render_dispatch,
    read_response_head=read_response_head,
    render_refusal=render_refusal,
    send_order=not_used,
    read_report=not_used,
)
