"""Remote calls with JSON arguments and a JSON response, for the control interfaces.

The body of a call is the JSON array of its arguments; tuples are encoded as arrays of
their fields in order. An error response has `X-Execution: not_run` if the peer
guarantees that the call had no effect.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from jaytray_core.adapters.http_pool import HttpPool, HttpRequest, read_body
from jaytray_core.codec import encode_json
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress

EXECUTION_HEADER = "x-execution"
NOT_RUN = "not_run"
JSON_TYPE = ("content-type", "application/json")
_MAX_RESPONSE_BYTES = 64_000_000


class RemoteResponse(NamedTuple):
    """Status, body and headers of a complete response.

    `is_not_run` says whether the peer guarantees that the call had no effect. Names in
    `headers` match in any case.
    """

    status: int
    is_not_run: bool
    body: bytes
    headers: Mapping[str, str]


async def remote_call(
    pool: HttpPool, path: str, arguments: Sequence[Any], *, timeout_s: float
) -> RemoteResponse:
    """POST `arguments`; raises `ExchangeError` unless the response is complete."""
    body = encode_json(list(arguments))
    request = HttpRequest("POST", path, [JSON_TYPE], body, timeout_s)
    return await fetch_response(pool, request)


async def remote_read(pool: HttpPool, path: str, *, timeout_s: float) -> RemoteResponse:
    """GET `path`; raises `ExchangeError` also for a response with an error status."""
    response = await fetch_response(pool, HttpRequest("GET", path, [], b"", timeout_s))
    if response.status >= 300:
        detail = f"status {response.status}"
        raise ExchangeError(progress=ExchangeProgress.BROKEN, detail=detail)
    return response


async def fetch_response(
    pool: HttpPool,
    request: HttpRequest,
    *,
    limit_bytes: int = _MAX_RESPONSE_BYTES,
    needs_length: bool = True,
) -> RemoteResponse:
    """Send a request and read the complete response.

    `needs_length` False also accepts a body that ends with its connection, for callers
    that notice if it is truncated.
    """
    async with pool.exchange(request) as response:
        body = await read_body(
            response, limit_bytes=limit_bytes, needs_length=needs_length
        )
        is_not_run = response.headers.get(EXECUTION_HEADER) == NOT_RUN
        return RemoteResponse(response.status_code, is_not_run, body, response.headers)
