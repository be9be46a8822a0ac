"""The two simulated sites: documents, accounts, load and fault times."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from jaytray_core.document.model import (
    Adapter,
    ClientAccount,
    Document,
    Model,
    Target,
    empty_document,
)
from tools.policy_model.targets import Call

FIRST_TOKEN_DEADLINE_S = 0.62
INTER_TOKEN_DEADLINE_S = 0.043
ACCELERATOR_MEMORY_MIB = 48_000
ACCELERATORS_PER_SERVER = 2
SLOTS_PER_ACCELERATOR = 32
MODEL_SIZES_MIB = (8_000, 12_000, 16_000, 24_000)
ADAPTER_MIB = 300
ADAPTER_FRACTION = 0.2
PREFIXES_PER_MODEL = 12
TOKENS_PER_BLOCK = 64
BURST_FACTOR = 4.0
BURST_FRACTION = 0.15
BURST_S = 8.0
SHIFT_FACTOR = 10.0


class Site(NamedTuple):
    """Size of a site; `requests_per_s` is its mean load summed over all models."""

    name: str
    domains: tuple[str, ...]
    servers: int
    models: int
    adapters: int
    loads_per_second: float
    concurrent_loads: int
    requests_per_s: float


class EventTimes(NamedTuple):
    """Times of the shift in demand, of the faults and of the end, in seconds."""

    shift_at_s: float
    dead_target_at_s: float
    dead_target_back_at_s: float
    lost_domain_at_s: float
    end_s: float


LAKESHORE = Site(
    "lakeshore", ("duluth", "green-bay", "toledo", "buffalo"), 10, 20, 80, 2.0, 4, 70.0
)
CONSORTIUM = Site("consortium", ("ahd-a", "sur-b", "raj-c"), 8, 17, 55, 1.0, 2, 52.0)
EVENT_TIMES = EventTimes(80.0, 140.0, 170.0, 210.0, 270.0)
ACCOUNT_WEIGHTS = (0.4, 0.3, 0.15, 0.1, 0.05)


def make_document(site: Site) -> Document:
    """Return the site's document; model sizes repeat in a fixed order."""
    models = {}
    for number in range(site.models):
        name = f"model-{number}"
        size = MODEL_SIZES_MIB[number % len(MODEL_SIZES_MIB)]
        models[name] = Model(
            name, "v1", size, 1, 8, 400, FIRST_TOKEN_DEADLINE_S, INTER_TOKEN_DEADLINE_S
        )
    adapters = {}
    for number in range(site.adapters):
        name = f"adapter-{number}"
        base = f"model-{number % (site.models // 2)}"
        adapters[name] = Adapter(name, base, "v1", ADAPTER_MIB)
    targets = {}
    for number in range(site.servers):
        name = f"server-{number}"
        targets[name] = Target(
            name,
            f"127.0.0.1:{9000 + number}",
            site.domains[number % len(site.domains)],
            ACCELERATORS_PER_SERVER,
            ACCELERATOR_MEMORY_MIB,
            True,
            SLOTS_PER_ACCELERATOR * ACCELERATORS_PER_SERVER,
            False,
        )
    accounts = {
        f"account-{number}": ClientAccount(f"account-{number}", 1e6, 10**6, 1.0)
        for number in range(len(ACCOUNT_WEIGHTS))
    }
    return empty_document("trial")._replace(
        version=1,
        accounts_by_name=accounts,
        models_by_name=models,
        adapters_by_name=adapters,
        targets_by_name=targets,
    )


class Workload:
    """Random calls to a site: popular and rare models, bursts, a shift in demand.

    At the shift the demand for one rare model rises by `SHIFT_FACTOR`, to about that
    for the most popular one.
    """

    def __init__(self, *, site: Site, document: Document, seed: int, vms: int) -> None:
        self._random = Random(seed)
        self._site = site
        self._document = document
        self._vms = vms
        self._burst_until_s: dict[str, float] = {}
        self._number = 0
        self._adapters_by_model: dict[str, list[str]] = {}
        for adapter in document.adapters_by_name.values():
            self._adapters_by_model.setdefault(adapter.model, []).append(adapter.name)
        names = list(document.models_by_name)
        self._random.shuffle(names)
        weights = [1.0 / (rank + 1) ** 0.8 for rank in range(len(names))]
        mean = 1 + BURST_FRACTION * (BURST_FACTOR - 1)
        self._rate_by_model = {
            name: site.requests_per_s * weight / sum(weights) / mean
            for name, weight in zip(names, weights, strict=True)
        }
        self._shifted_model = names[-4]

    def calls(self, now: float, tick_s: float, is_shifted: bool) -> Iterator[Call]:
        """Yield the calls that arrive during one tick."""
        for model, rate in self._rate_by_model.items():
            if is_shifted and model == self._shifted_model:
                rate *= SHIFT_FACTOR
            if self._is_bursting(model, now, tick_s):
                rate *= BURST_FACTOR
            for _ in range(self._poisson(rate * tick_s)):
                yield self._call(model, now)

    def _is_bursting(self, model: str, now: float, tick_s: float) -> bool:
        if self._burst_until_s.get(model, 0.0) > now:
            return True
        if (
            self._random.random()
            < tick_s * BURST_FRACTION / (1 - BURST_FRACTION) / BURST_S
        ):
            self._burst_until_s[model] = now + BURST_S
        return False

    def _poisson(self, mean: float) -> int:
        total, number = self._random.expovariate(1.0), 0
        while total < mean:
            number += 1
            total += self._random.expovariate(1.0)
        return number

    def _call(self, model: str, now: float) -> Call:
        random = self._random
        self._number += 1
        name = model
        adapters = self._adapters_by_model.get(model)
        if adapters and random.random() < ADAPTER_FRACTION:
            name = random.choice(adapters)
        blocks = random.randint(4, 16)
        prefix = random.randrange(PREFIXES_PER_MODEL)
        digests = tuple(f"{model}/{prefix}/{block}" for block in range(blocks))
        accounts = list(self._document.accounts_by_name)
        account = random.choices(accounts, weights=ACCOUNT_WEIGHTS)[0]
        return Call(
            f"request-{self._number}",
            name,
            model,
            account,
            random.randrange(self._vms),
            now,
            now + FIRST_TOKEN_DEADLINE_S,
            blocks * TOKENS_PER_BLOCK + random.randrange(TOKENS_PER_BLOCK),
            random.randint(40, 200),
            digests,
        )
