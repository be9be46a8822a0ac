"""Routes, scripted responses and requests that several test modules use."""

from typing import TypedDict

from jaytray_gateway.ports import HeaderList
from jaytray_gateway.version.route_table import RequestKind
from packages.gateway.tests.request.harness import ROUTE, default_headers
from packages.gateway.tests.request.scripted_target import ScriptedResponse

IDEMPOTENT = ROUTE._replace(kind=RequestKind.IDEMPOTENT)
STREAM = ROUTE._replace(kind=RequestKind.STREAM, max_attempts=1)
RESUMABLE = STREAM._replace(is_resumable=True, max_attempts=2)

OK = ScriptedResponse()
DISCONNECT = ScriptedResponse(body=None)
NOT_RUN = ScriptedResponse(status=503, is_signed=False, is_not_run=True, body=b"")
OTHER_INSTANCE = ScriptedResponse(status=421, is_signed=False, body=b"")
ERROR = ScriptedResponse(status=500, body=b"bad")
UNSIGNED = ScriptedResponse(is_signed=False)
TRUNCATED = ScriptedResponse(body=b"ok", is_stream=True, is_complete=False)
SLOW = ScriptedResponse(delay_s=5.0)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
REST = b"id: 3\ndata: c\n\n"
# A stream that breaks off after its second event.
CUT = ScriptedResponse(body=EVENTS, is_stream=True, is_complete=False)
# Head of a stream of ten bytes to the request `r1`.
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n"
    b"content-type: text/event-stream\r\ncontent-length: 10\r\n\r\n"
)


class PartsOfRequest(TypedDict):
    """Arguments of `send_request`."""

    headers: HeaderList
    body: bytes


def with_parts(parts: str) -> PartsOfRequest:
    """Return a request with these prompt parts and a body of its own."""
    headers = [*default_headers(), (b"x-parts", parts.encode())]
    return PartsOfRequest(headers=headers, body=parts.encode())
