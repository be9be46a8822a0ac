"""Typed form of a document.

A `Document` is immutable and belongs to one version. Field names end in the unit:
`_s` seconds, `_mib` mebibytes, `_tokens` tokens.
"""

import enum
from typing import NamedTuple

# The environment that trial documents are promoted to.
PRODUCTION = "production"


class TrafficClass(enum.StrEnum):
    """Whether a caller waits for the response or fetches it later."""

    INTERACTIVE = "interactive"
    DEFERRED = "deferred"


class ClientAccount(NamedTuple):
    """A client account; its rate and burst apply to all VMs together."""

    name: str
    rate_tokens_per_s: float
    burst_tokens: int
    weight: float


class Key(NamedTuple):
    """A key of a client account; `digest` is `sha256:` and 64 hex digits."""

    name: str
    account: str
    digest: str


class Model(NamedTuple):
    """A model that must stay reachable; each replica is on one accelerator.

    A request that sets no `max_tokens` is charged `max_output_tokens`.
    """

    name: str
    version: str
    memory_mib: int
    min_replicas: int
    max_replicas: int
    max_output_tokens: int
    first_token_deadline_s: float
    inter_token_deadline_s: float


class Adapter(NamedTuple):
    """An adapter, loaded on the same accelerator as a replica of its model."""

    name: str
    model: str
    version: str
    memory_mib: int


class Target(NamedTuple):
    """A model server; `address` is `IP:port`.

    `max_running_requests` limits the requests that jaytray runs on it at once. Only
    VMs of `environment` send requests to the target and place models on it, so that
    two documents can never place models in the same memory.
    """

    name: str
    address: str
    failure_domain: str
    accelerators: int
    accelerator_memory_mib: int
    checks_fencing: bool
    max_running_requests: int
    is_drained: bool
    environment: str = PRODUCTION


class Service(NamedTuple):
    """A plain service behind `/services/NAME/`; addresses are `IP:port`."""

    name: str
    addresses: tuple[str, ...]


class Route(NamedTuple):
    """Rule for calls to a service; the longest matching `path_prefix` applies.

    `is_repeatable` None means the default: only GET and HEAD may be repeated.
    `charge_tokens` is charged to the account's rate for each call.
    """

    name: str
    service: str
    path_prefix: str
    methods: tuple[str, ...]
    is_open: bool
    is_repeatable: bool | None
    traffic_class: TrafficClass
    timeout_s: float
    charge_tokens: int


class Document(NamedTuple):
    """All declarations of one environment at one version."""

    environment: str
    version: int
    accounts_by_name: dict[str, ClientAccount]
    keys_by_digest: dict[str, Key]
    models_by_name: dict[str, Model]
    adapters_by_name: dict[str, Adapter]
    targets_by_name: dict[str, Target]
    services_by_name: dict[str, Service]
    routes_by_name: dict[str, Route]
    drained_vms: frozenset[str]


def with_targets_of(document: Document, environment: str) -> Document:
    """Return `document` with only the targets of one environment."""
    targets = document.targets_by_name.items()
    return document._replace(
        targets_by_name={n: t for n, t in targets if t.environment == environment}
    )


def empty_document(environment: str) -> Document:
    """Return the empty document, which has version 0."""
    return Document(environment, 0, {}, {}, {}, {}, {}, {}, {}, frozenset())
