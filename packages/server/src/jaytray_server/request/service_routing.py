"""Selection of the route and the address of a service call.

The route with the longest matching prefix applies. An address that failed recently
is avoided for a time that doubles with each further failure, up to a maximum.
"""

import re
import zlib
from typing import NamedTuple
from urllib.parse import unquote

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.document.model import Document, Route, Service
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.request.refusals import invalid_request

SERVICE_PREFIX = "/services/"
INITIAL_PENALTY_S = 1.0
MAX_PENALTY_S = 30.0
_DOT_SEGMENTS = (".", "..")
_SEPARATORS = re.compile(r"[/\\]")
_REPEATABLE_METHODS = frozenset(("GET", "HEAD"))


class AddressHealth:
    """Health of the addresses of services, as observed by this VM."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._penalties: dict[str, tuple[float, float]] = {}

    def record_failure(self, address: str) -> None:
        """Record a failure; `address` is avoided for a time."""
        last_s = self._penalties.get(address, (0.0, 0.0))[1]
        penalty_s = min(MAX_PENALTY_S, max(INITIAL_PENALTY_S, 2 * last_s))
        self._penalties[address] = (self._clock() + penalty_s, penalty_s)

    def record_success(self, address: str) -> None:
        """Record a response; `address` is healthy again."""
        self._penalties.pop(address, None)

    def is_healthy(self, address: str) -> bool:
        """Return whether `address` is not being avoided."""
        until_s = self._penalties.get(address, (-float("inf"), 0.0))[0]
        return self._clock() >= until_s


class IncomingCall(NamedTuple):
    """A caller's call to a service.

    `path` starts with the service's own `/` and is decoded, for matching routes;
    `raw_path` is what the service gets.
    """

    request_id: str
    method: str
    service: str
    path: str
    raw_path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes


def find_route(document: Document, call: IncomingCall) -> Route:
    """Return the route with the longest matching prefix; raises `route_unknown`."""
    matching = [
        route
        for route in document.routes_by_name.values()
        if route.service == call.service
        and _matches_prefix(call.path, route.path_prefix)
        and (not route.methods or call.method in route.methods)
    ]
    if not matching:
        path = f"{SERVICE_PREFIX}{call.service}{call.path}"
        raise JaytrayError(
            messages.ROUTE_UNKNOWN, step=Step.ROUTE, method=call.method, path=path
        )
    return max(matching, key=lambda route: len(route.path_prefix))


def split_service_path(raw_path: str) -> tuple[str, str, str]:
    """Return the name of the service, its decoded path and its raw path.

    Raises `invalid_request` for a path that a service might resolve to one outside
    the matched prefix.
    """
    name, _, rest = raw_path.removeprefix(SERVICE_PREFIX).partition("/")
    path = unquote(f"/{rest}")
    if any(segment in _DOT_SEGMENTS for segment in _SEPARATORS.split(path)):
        raise invalid_request("path: segments '.' and '..' are not allowed")
    if not path.isprintable():
        raise invalid_request("path: control characters are not allowed")
    return unquote(name), path, f"/{rest}"


def _matches_prefix(path: str, prefix: str) -> bool:
    """Return whether `prefix` covers `path` by whole segments."""
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")


def is_repeatable(route: Route, method: str) -> bool:
    """Return whether a call by `route` may be sent more than once."""
    if route.is_repeatable is not None:
        return route.is_repeatable
    return method in _REPEATABLE_METHODS


def choose_address(
    service: Service, request_id: str, failed: list[str], health: AddressHealth
) -> str:
    """Return an address, one that failed only if there is no other."""
    untried = [a for a in service.addresses if a not in failed]
    healthy = [a for a in untried if health.is_healthy(a)]
    addresses = healthy or untried or list(service.addresses)
    return addresses[zlib.crc32(request_id.encode()) % len(addresses)]
