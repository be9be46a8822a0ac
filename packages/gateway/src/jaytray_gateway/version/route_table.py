"""The operator's routes, services and client accounts, as one immutable version.

Keys are held as SHA-256 digests only. Durations are in seconds.
"""

import enum
import hashlib
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """One service of a split and its share of the route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route; `path_prefix` begins and ends with a slash.

    `max_attempts` is the number of targets one caller's attempt may be sent to.
    `objective_s` is the latency within which an answer has its full value, and
    `max_pause_s` the longest pause between events of a stream (0: none stated).
    `priority` 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool
    max_pause_s: float
    services: tuple[WeightedService, ...]


class EngineModel(NamedTuple):
    """A model that a service's engines may load; load times by source."""

    name: str
    weights_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_mb: float


class Engine(NamedTuple):
    """Properties shared by the model engines of one service.

    `weights_mb` is the memory for weights of one target; `loads_per_s` the rate at
    which the weight store allows loads over all targets.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models_by_name: dict[str, EngineModel]


class Service(NamedTuple):
    """A group of equal targets; `engine` is None for a plain service."""

    name: str
    engine: Engine | None


class ClientAccount(NamedTuple):
    """Contract of one client account.

    `rate_per_s` and `burst` are tokens, or requests when `counts_tokens` is False;
    a rate of 0 means no limit. `tokens_per_plain_request` is the charge of a
    request that declares no tokens.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    tokens_per_plain_request: int
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


# Applied until the first route table states others.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_timeout_s=3.0, idle_timeout_s=15.0
)


class RouteTable(NamedTuple):
    """One version of the operator's declarations.

    `routes_by_host` lists each host's routes with the longest prefix first.
    `account_by_key_digest` is empty when no account is declared: then routes need
    no key.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    accounts_by_name: dict[str, ClientAccount]
    account_by_key_digest: dict[str, str]
    limits: CallerLimits


def digest_key(key: bytes) -> str:
    """Return the digest under which a caller's key is known."""
    return hashlib.sha256(key).hexdigest()


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda r: len(r.path_prefix), reverse=True))
        for host, found in routes_by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of `host` with the longest prefix that begins `path`."""
    for route in table.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: Route, draw: float) -> str:
    """Return the service for `draw`, uniform in [0, 1), by the split's weights."""
    if len(route.services) == 1:
        return route.services[0].service
    point = draw * sum(choice.weight for choice in route.services)
    for choice in route.services:
        point -= choice.weight
        if point < 0:
            return choice.service
    return route.services[-1].service
