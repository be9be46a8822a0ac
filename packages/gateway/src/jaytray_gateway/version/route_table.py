"""The operator's routes, services and client accounts as one immutable version.

API keys are held as SHA-256 digests only. Durations are in seconds.
"""

import enum
import hashlib
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """Whether requests of a route may be retried, and whether responses are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route; `path_prefix` begins and ends with a slash.

    `max_attempts` is the number of targets that may run one request of a caller.
    `objective_s` is the latency objective, within which a response has its full
    value. `max_pause_s` is the longest pause between events of a stream, 0 if none
    is stated. `priority` 0 is the most urgent.
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
    """A model that a service's engines may load.

    `load_s`, `disk_load_s` and `memory_load_s` are the times of a load from the
    weight store, from the target's disk and from its memory.
    """

    name: str
    weights_mb: float
    load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_mb: float

    def load_time_s(
        self, *, in_memory: frozenset[str], on_disk: frozenset[str]
    ) -> float:
        """Return the time of a load at a target that keeps copies of these models."""
        if self.name in in_memory:
            return self.memory_load_s
        return self.disk_load_s if self.name in on_disk else self.load_s


class Engine(NamedTuple):
    """Properties shared by the model engines of one service.

    `weights_mb` is the memory for weights at each target. `loads_per_s` is the rate
    of loads that the weight store allows over all targets.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models_by_name: dict[str, EngineModel]


class Service(NamedTuple):
    """A group of interchangeable targets; `engine` is None if they run no models.

    A target that starts during traffic is cold for `cold_start_s`, and should then get
    `cold_per_s` requests per second at most; with 0, targets are never cold.
    """

    name: str
    engine: Engine | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class ClientAccount(NamedTuple):
    """Priority and rate limit of one client account.

    `rate_per_s` and `burst` are in tokens, or in requests if `counts_tokens` is
    False; a rate of 0 means no limit. `tokens_per_plain_request` is charged for a
    request that declares no token counts.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    tokens_per_plain_request: int
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests and on its time to send or be idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


# In force until the first route table has been read.
DEFAULT_CALLER_LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_timeout_s=3.0, idle_timeout_s=15.0
)


class RouteTable(NamedTuple):
    """One version of the operator's configuration.

    `routes_by_host` lists each host's routes with the longest prefix first.
    `needs_key` False means that the configuration declares no list of accounts, so that
    no route needs a key. With an empty list, keys are needed and none is known.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    accounts_by_name: dict[str, ClientAccount]
    account_by_key_digest: dict[str, str]
    limits: CallerLimits
    needs_key: bool = True


def digest_key(key: bytes) -> str:
    """Return the digest by which a caller's API key is looked up."""
    return hashlib.sha256(key).hexdigest()


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda r: len(r.path_prefix), reverse=True))
        for host, found in routes_by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of `host` with the longest prefix of `path`."""
    for route in table.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: Route, draw: float) -> str:
    """Choose a service by weight; `draw` is a uniform random number in [0, 1)."""
    if len(route.services) == 1:
        return route.services[0].service
    point = draw * sum(choice.weight for choice in route.services)
    for choice in route.services:
        point -= choice.weight
        if point < 0:
            return choice.service
    return route.services[-1].service
