"""Interface to the platform's weight store, from which targets load weights.

The store limits the loads begun in a second and those at work at once. jaytray
paces its orders by these limits; the store's own count is the judge.
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
