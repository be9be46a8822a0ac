"""Errors of the key-value service, common to all implementations."""

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_core.keyvalue import MAX_VALUE_BYTES

KEY_VALUE_PEER = "kv"


def service_unavailable(detail: str) -> JaytrayError:
    """Return the error of a call that certainly had no effect."""
    return JaytrayError(
        messages.KEY_VALUE_UNAVAILABLE,
        step=Step.KEY_VALUE,
        peer=KEY_VALUE_PEER,
        detail=detail,
    )


def service_uncertain(detail: str) -> JaytrayError:
    """Return the error of a call that may have taken effect."""
    return JaytrayError(
        messages.KEY_VALUE_UNCERTAIN,
        step=Step.KEY_VALUE,
        peer=KEY_VALUE_PEER,
        execution=Execution.MAY_HAVE_RUN,
        detail=detail,
    )


def exchange_failed(
    function: str, err: ExchangeError, *, is_read: bool
) -> JaytrayError:
    """Return the error of a call that got no complete response."""
    detail = f"{function}: {err.detail}"
    if is_read or err.progress is ExchangeProgress.NOT_SENT:
        return service_unavailable(detail)
    return service_uncertain(detail)


def value_too_large(key: str, limit: int = MAX_VALUE_BYTES) -> JaytrayError:
    """Return the error of a value above `limit` bytes."""
    return JaytrayError(
        messages.KEY_VALUE_TOO_LARGE,
        step=Step.KEY_VALUE,
        peer=KEY_VALUE_PEER,
        key=key,
        limit=limit,
    )
