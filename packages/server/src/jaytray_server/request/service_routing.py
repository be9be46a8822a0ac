"""Which route a service call takes and which address it goes to.

The longest matching prefix among the document's routes wins. Addresses that failed
lately are passed over for a while, which grows with each further failure.
"""

import zlib
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.document.model import Document, Route, Service
from jaytray_core.errors import JaytrayError, Step

SERVICE_PREFIX = "/services/"
FIRST_PENALTY_S = 1.0
LONGEST_PENALTY_S = 30.0
_REPEATABLE_METHODS = frozenset(("GET", "HEAD"))


class AddressHealth:
    """Addresses of services that failed lately, as this VM saw it."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._penalties: dict[str, tuple[float, float]] = {}

    def failed(self, address: str) -> None:
        """Pass `address` over for a while."""
        last_s = self._penalties.get(address, (0.0, 0.0))[1]
        penalty_s = min(LONGEST_PENALTY_S, max(FIRST_PENALTY_S, 2 * last_s))
        self._penalties[address] = (self._clock() + penalty_s, penalty_s)

    def answered(self, address: str) -> None:
        """Take `address` as healthy again."""
        self._penalties.pop(address, None)

    def is_healthy(self, address: str) -> bool:
        """Return whether `address` may be chosen before others."""
        until_s = self._penalties.get(address, (-float("inf"), 0.0))[0]
        return self._clock() >= until_s


class IncomingCall(NamedTuple):
    """A caller's call to a service; `path` starts with the service's own `/`."""

    request_id: str
    method: str
    service: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes


def find_route(document: Document, call: IncomingCall) -> Route:
    """Return the route with the longest matching prefix; raises `route_unknown`."""
    matching = [
        route
        for route in document.routes_by_name.values()
        if route.service == call.service
        and call.path.startswith(route.path_prefix)
        and (not route.methods or call.method in route.methods)
    ]
    if not matching:
        path = f"{SERVICE_PREFIX}{call.service}{call.path}"
        raise JaytrayError(
            messages.ROUTE_UNKNOWN, step=Step.ROUTE, method=call.method, path=path
        )
    return max(matching, key=lambda route: len(route.path_prefix))


def is_repeatable(route: Route, method: str) -> bool:
    """Return whether a call by `route` may be sent more than once."""
    if route.is_repeatable is not None:
        return route.is_repeatable
    return method in _REPEATABLE_METHODS


def choose_address(
    service: Service, request_id: str, failed: list[str], health: AddressHealth
) -> str:
    """Return an address, one that failed only when there is no other."""
    untried = [a for a in service.addresses if a not in failed]
    healthy = [a for a in untried if health.is_healthy(a)]
    addresses = healthy or untried or list(service.addresses)
    return addresses[zlib.crc32(request_id.encode()) % len(addresses)]
