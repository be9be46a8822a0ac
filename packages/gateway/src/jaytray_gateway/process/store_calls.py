"""Counts calls to the key-value service by the purpose that they serve.

A call of an interface function may be several calls on the wire, such as the pages of a
read. The purpose is therefore passed to the adapter by a context variable.
"""

import collections
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from contextvars import ContextVar
from typing import NamedTuple, ParamSpec, TypeVar

from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_gateway.process.metrics import GatewayMetrics

P = ParamSpec("P")
T = TypeVar("T")
OTHER_PURPOSE = "other"

_purpose: ContextVar[str] = ContextVar("store_call_purpose", default=OTHER_PURPOSE)


class StoreCall(NamedTuple):
    """A kind of call: what it serves, and the function of the interface."""

    purpose: str
    function: str


class StoreCalls:
    """The calls of this process since its start, and since they were last logged."""

    def __init__(self, *, metrics: GatewayMetrics) -> None:
        self.total_by_call: collections.Counter[StoreCall] = collections.Counter()
        self._metrics = metrics
        self._logged_by_call: collections.Counter[StoreCall] = collections.Counter()

    def record(self, function: str, outcome: str) -> None:
        """Count one call on the wire for the purpose of the current task."""
        purpose = _purpose.get()
        self.total_by_call[StoreCall(purpose, function)] += 1
        self._metrics.store_calls.labels(purpose, function, outcome).inc()

    def log(self) -> None:
        """Log the calls since the last time, unless there were none."""
        news = self.total_by_call - self._logged_by_call
        self._logged_by_call = self.total_by_call.copy()
        if news:
            get_logger().info(
                "store_calls",
                calls=news.total(),
                by_purpose=",".join(
                    f"{call.purpose}.{call.function}:{count}"
                    for call, count in sorted(news.items())
                ),
            )


def for_purpose(key_value: KeyValueService, purpose: str) -> KeyValueService:
    """Return the service with calls that count for `purpose`."""

    @contextmanager
    def labelled() -> Iterator[None]:
        token = _purpose.set(purpose)
        try:
            yield
        finally:
            _purpose.reset(token)

    return call_within(key_value, labelled)


def call_within(
    key_value: KeyValueService, context: Callable[[], AbstractContextManager[None]]
) -> KeyValueService:
    """Return the service with each call made within a new `context`."""

    def wrapped(function: Callable[P, Awaitable[T]]) -> Callable[P, Awaitable[T]]:
        async def call(*args: P.args, **kwargs: P.kwargs) -> T:
            with context():
                return await function(*args, **kwargs)

        return call

    return key_value._replace(
        get=wrapped(key_value.get),
        get_prefix=wrapped(key_value.get_prefix),
        read_prefix=wrapped(key_value.read_prefix),
        compare_and_swap=wrapped(key_value.compare_and_swap),
        grant_lease=wrapped(key_value.grant_lease),
        keep_lease=wrapped(key_value.keep_lease),
        revoke_lease=wrapped(key_value.revoke_lease),
        watch=wrapped(key_value.watch),
    )
