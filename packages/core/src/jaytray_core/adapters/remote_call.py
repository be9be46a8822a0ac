"""Remote calls with JSON arguments and a JSON response, for the control interfaces.

The body of a call is the JSON array of its arguments; tuples are encoded as arrays of
their fields in order. An error response has `X-Execution: not_run` if the peer
guarantees that the call had no effect.
"""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from jaytray_core.adapters.http_pool import HttpPool, HttpRequest, read_body
from jaytray_core.codec import encode_json
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress

EXECUTION_HEADER = "x-execution"
NOT_RUN = "not_run"
JSON_TYPE = ("content-type", "application/json")
_MAX_RESPONSE_BYTES = 64_000_000
# Longest time for the body of a response. A megabyte takes 2 s on a link of 5 Mbit/s.
MAX_BODY_S = 20.0


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
    body_s: float = MAX_BODY_S,
) -> RemoteResponse:
    """Send a request and read the complete response, its body within `body_s`.

    `needs_length` False also accepts a body that ends with its connection, for callers
    that notice if it is truncated.
    """
    async with pool.exchange(request) as response:
        try:
            async with asyncio.timeout(body_s):
                body = await read_body(
                    response, limit_bytes=limit_bytes, needs_length=needs_length
                )
        except TimeoutError as err:
            raise ExchangeError(
                progress=ExchangeProgress.TIMED_OUT, detail="body takes too long"
            ) from err
        is_not_run = response.headers.get(EXECUTION_HEADER) == NOT_RUN
        return RemoteResponse(response.status_code, is_not_run, body, response.headers)
