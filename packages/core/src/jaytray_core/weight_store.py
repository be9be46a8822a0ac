"""Interface to the platform's weight store, from which targets load weights.

The store limits the loads that are started per second and those in progress at once.
jaytray limits the rate of its orders accordingly; the store's own count is
authoritative.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple


class WeightStoreStatus(NamedTuple):
    """Limits and current use of the store."""

    loads_per_second: float
    concurrent_loads: int
    loads_in_flight: int


StatusFunction = Callable[[], Awaitable[WeightStoreStatus]]


class WeightStore(NamedTuple):
    """The functions of one connection to the weight store."""

    status: StatusFunction
