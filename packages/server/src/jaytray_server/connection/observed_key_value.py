"""Wraps the key-value service to count calls and to report each response."""

from collections.abc import Awaitable, Callable
from typing import ParamSpec, TypeVar

from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_server.ports import Metrics

P = ParamSpec("P")
T = TypeVar("T")


def observe_key_value(
    service: KeyValueService, *, metrics: Metrics, on_contact: Callable[[], None]
) -> KeyValueService:
    """Return `service` with calls and failures counted and `on_contact` called."""

    def observed(
        name: str, call: Callable[P, Awaitable[T]]
    ) -> Callable[P, Awaitable[T]]:
        async def observe(*args: P.args, **kwargs: P.kwargs) -> T:
            metrics.increment(f"key_value.calls.{name}", 1)
            try:
                result = await call(*args, **kwargs)
            except JaytrayError:
                metrics.increment(f"key_value.failures.{name}", 1)
                raise
            on_contact()
            return result

        return observe

    return KeyValueService(
        get=observed("get", service.get),
        get_prefix=observed("get_prefix", service.get_prefix),
        read_prefix=observed("read_prefix", service.read_prefix),
        compare_and_swap=observed("compare_and_swap", service.compare_and_swap),
        grant_lease=observed("grant_lease", service.grant_lease),
        keep_lease=observed("keep_lease", service.keep_lease),
        revoke_lease=observed("revoke_lease", service.revoke_lease),
        watch=observed("watch", service.watch),
    )
