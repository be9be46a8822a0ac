"""A connection to an external service."""

from collections.abc import Awaitable, Callable
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class ServiceConnection(NamedTuple, Generic[T]):
    """The functions of a service, and `close`, which closes its connections."""

    service: T
    close: Callable[[], Awaitable[None]]
