"""Workload of the benchmark: requests of client accounts that may prefer a VM."""

import random
from typing import NamedTuple

from jaytray_core.document.model import ClientAccount

ACCOUNTS = [
    ClientAccount("large-1", 2000.0, 16_000, 1.0),
    ClientAccount("large-2", 2000.0, 16_000, 1.0),
    ClientAccount("small-1", 300.0, 1_500, 1.0),
    ClientAccount("small-2", 300.0, 1_500, 1.0),
    ClientAccount("small-3", 300.0, 1_500, 1.0),
]
SMALLEST_CHARGE_TOKENS = 50
LARGEST_CHARGE_TOKENS = 350
# Charged tokens offered, as a fraction of the account's rate.
OFFERED_LOAD = 0.85
MIN_USED_FRACTION = 0.4
LONGEST_RUN_S = 8.0
MAX_WAIT_S = 0.3


class OfferedRequest(NamedTuple):
    """One request.

    A sticky request goes to its account's preferred VM; for any other,
    `vm_selector` in 0..1 selects the VM.
    """

    time_s: float
    account: str
    tokens: int
    used: int
    run_s: float
    is_sticky: bool
    vm_selector: float


def offered_requests(
    *, rng: random.Random, end_s: float, skew: float, overload: dict[str, float]
) -> list[OfferedRequest]:
    """Return Poisson arrivals up to `end_s`.

    A fraction `skew` of each account's requests goes to its preferred VM. `overload`
    holds factors for the load of some accounts.
    """
    mean = (SMALLEST_CHARGE_TOKENS + LARGEST_CHARGE_TOKENS) / 2
    requests = []
    for account in ACCOUNTS:
        load = OFFERED_LOAD * overload.get(account.name, 1.0)
        per_second = load * account.rate_tokens_per_s / mean
        time_s = rng.expovariate(per_second)
        while time_s < end_s:
            tokens = rng.randint(SMALLEST_CHARGE_TOKENS, LARGEST_CHARGE_TOKENS)
            used = int(tokens * rng.uniform(MIN_USED_FRACTION, 1.0))
            run_s = rng.uniform(0.5, LONGEST_RUN_S)
            is_sticky = rng.random() < skew
            requests.append(
                OfferedRequest(
                    time_s, account.name, tokens, used, run_s, is_sticky, rng.random()
                )
            )
            time_s += rng.expovariate(per_second)
    return sorted(requests)
