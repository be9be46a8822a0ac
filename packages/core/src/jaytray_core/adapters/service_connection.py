"""A connection to one outside service."""

from collections.abc import Awaitable, Callable
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class ServiceConnection(NamedTuple, Generic[T]):
    """The service's functions and the one that closes its connections."""

    service: T
    close: Callable[[], Awaitable[None]]
