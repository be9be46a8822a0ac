"""A pool of HTTP connections to one peer that reuses only intact connections.

Requests go to httpx's transport directly, not through its client: redirects, cookies
and authentication are not wanted and take a quarter of the CPU time of a call. httpx
reuses a connection only after a complete exchange; a connection whose exchange failed,
timed out or was abandoned is closed. After a timeout all idle connections are dropped
too, because the fault that left one of them unusable may affect the others.
"""

import asyncio
import functools
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import httpx

from jaytray_core.adapters.held_bodies import PROCESS_BODIES, HeldBodies
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_core.response_heads import head_fault

Headers = list[tuple[str, str]]

DEFAULT_CONNECT_TIMEOUT_S = 0.5
# Shorter than the time after which servers close idle connections.
DEFAULT_IDLE_EXPIRY_S = 4.0
_MAX_IDLE_CONNECTIONS = 256
# Enough for the fixed paths that one peer is called at.
_CACHED_URLS = 8

_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.LocalProtocolError,
    httpx.UnsupportedProtocol,
)
# Passed to each transport, because creating the default context blocks for tens of
# milliseconds. Peers are called over plain HTTP, so it is never used.
_UNUSED_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
# Statuses whose responses never have a body.
_BODILESS_STATUSES = (204, 304)
# Parts of a body that are read before other tasks run; a peer may send small ones
# without end.
_PARTS_PER_TURN = 64


class HttpRequest(NamedTuple):
    """One request; `raw_path` is the path and query, percent-encoded.

    `read_timeout_s` limits each wait for data while the response is awaited or read.
    """

    method: str
    raw_path: str
    headers: Headers
    body: bytes
    read_timeout_s: float


class HttpPool:
    """Pool of connections to the HTTP server at `address` (`IP:port`)."""

    def __init__(
        self,
        *,
        address: str,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        idle_expiry_s: float = DEFAULT_IDLE_EXPIRY_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._base = httpx.URL(scheme="http", host=host, port=int(port), path="/")
        self._connect_timeout_s = connect_timeout_s
        self._idle_expiry_s = idle_expiry_s
        self._url_for = functools.lru_cache(_CACHED_URLS)(self._make_url)
        self._transport = self._make_transport()
        self._users_by_transport: dict[httpx.AsyncHTTPTransport, int] = {}

    @asynccontextmanager
    async def exchange(self, request: HttpRequest) -> AsyncIterator[httpx.Response]:
        """Send a request and yield its response before its body is read.

        Raises `ExchangeError`, also for failures while the body is read. The
        connection is closed after a failure, and if the block is left before the end
        of the body.
        """
        transport = self._transport
        users = self._users_by_transport.get(transport, 0)
        self._users_by_transport[transport] = users + 1
        try:
            response = await self._read_head(transport, request)
            try:
                _check_head(response)
                yield response
            finally:
                await response.aclose()
        except _NOT_SENT_ERRORS as err:
            raise _exchange_error(ExchangeProgress.NOT_SENT, err) from err
        except httpx.TimeoutException as err:
            self._replace_if_current(transport)
            raise _exchange_error(ExchangeProgress.TIMED_OUT, err) from err
        except (httpx.TransportError, httpx.StreamError) as err:
            raise _exchange_error(ExchangeProgress.BROKEN, err) from err
        finally:
            await self._release(transport)

    async def _read_head(
        self, transport: httpx.AsyncHTTPTransport, request: HttpRequest
    ) -> httpx.Response:
        """Send a request and read the head of its response.

        The time limits of httpx are those of single steps, which a server that sends
        interim responses without end never exceeds.
        """
        steps_s = self._connect_timeout_s + 2 * request.read_timeout_s
        try:
            async with asyncio.timeout(steps_s):
                return await transport.handle_async_request(
                    self._build_request(request)
                )
        except TimeoutError as err:
            raise httpx.ReadTimeout("no response head in time") from err

    def drop_idle_connections(self) -> None:
        """Use new connections from now on; exchanges in progress continue."""
        self._replace_if_current(self._transport)

    async def close(self) -> None:
        """Close all connections, also those with an exchange in progress."""
        for transport in {self._transport, *self._users_by_transport}:
            await transport.aclose()

    def _build_request(self, request: HttpRequest) -> httpx.Request:
        headers = request.headers
        if not any(name.lower() == "accept-encoding" for name, _ in headers):
            headers = [*headers, ("accept-encoding", "identity")]
        timeout = {
            "connect": self._connect_timeout_s,
            "read": request.read_timeout_s,
            "write": request.read_timeout_s,
            "pool": self._connect_timeout_s,
        }
        return httpx.Request(
            request.method,
            self._url_for(request.raw_path),
            headers=headers,
            content=request.body if request.body else None,
            extensions={"timeout": timeout},
        )

    def _make_url(self, raw_path: str) -> httpx.URL:
        return self._base.copy_with(raw_path=raw_path.encode("ascii"))

    def _make_transport(self) -> httpx.AsyncHTTPTransport:
        return httpx.AsyncHTTPTransport(
            trust_env=False,
            verify=_UNUSED_TLS_CONTEXT,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=_MAX_IDLE_CONNECTIONS,
                keepalive_expiry=self._idle_expiry_s,
            ),
        )

    def _replace_if_current(self, transport: httpx.AsyncHTTPTransport) -> None:
        if transport is self._transport:
            self._transport = self._make_transport()
            self._users_by_transport.setdefault(transport, 0)

    async def _release(self, transport: httpx.AsyncHTTPTransport) -> None:
        self._users_by_transport[transport] -= 1
        unused = [
            other
            for other, users in self._users_by_transport.items()
            if users <= 0 and other is not self._transport
        ]
        for other in unused:
            del self._users_by_transport[other]
            await other.aclose()


async def read_body(
    response: httpx.Response,
    *,
    limit_bytes: int,
    needs_length: bool = True,
    held: HeldBodies = PROCESS_BODIES,
) -> bytes:
    """Read the whole body; raises `ExchangeError` if it is not complete or too large.

    Truncation of a body that is ended by closing the connection cannot be detected. It
    is refused unless `needs_length` is False. What has arrived counts as `held`.
    """
    headers = response.headers
    has_length = "content-length" in headers or "transfer-encoding" in headers
    if (
        needs_length
        and not has_length
        and response.status_code not in _BODILESS_STATUSES
    ):
        raise ExchangeError(
            progress=ExchangeProgress.BROKEN, detail="body of unknown length"
        )
    with held.open() as body:
        parts = 0
        async for part in response.aiter_raw():
            body.extend(part)
            parts += 1
            if parts % _PARTS_PER_TURN == 0:
                await asyncio.sleep(0)
            if len(body) > limit_bytes:
                raise ExchangeError(
                    progress=ExchangeProgress.BROKEN,
                    detail="body exceeds the size limit",
                )
        return body.whole()


def _check_head(response: httpx.Response) -> None:
    """Raise `ExchangeError` if the head is not valid HTTP."""
    version = response.http_version.removeprefix("HTTP/").encode("latin-1")
    names = {name.lower().encode("latin-1") for name in response.headers}
    fault = head_fault(response.status_code, version, names)
    if fault is not None:
        raise ExchangeError(progress=ExchangeProgress.BROKEN, detail=fault)


def _exchange_error(progress: ExchangeProgress, err: Exception) -> ExchangeError:
    return ExchangeError(progress=progress, detail=str(err) or type(err).__name__)
