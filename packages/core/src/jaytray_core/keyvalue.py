"""Interface to the platform's key-value service.

An implementation is a `KeyValueService`: a tuple of async functions. Each function
raises `JaytrayError` with code `key_value_unavailable` if the call certainly had no
effect and `key_value_uncertain` if its response was lost and it may have taken effect.
Every waiting watch counts as one call against the rate limit of the service.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

MAX_VALUE_BYTES = 1_000_000
# Revision that a compare-and-swap expects for a key that must not exist.
ABSENT_REVISION = 0


class KeyValueRecord(NamedTuple):
    """One stored value; `revision` is the store-wide revision of its last write."""

    key: str
    value: bytes
    revision: int


class SwapResult(NamedTuple):
    """Outcome of a compare-and-swap.

    When `is_swapped`, `revision` is the new revision of the key; otherwise it is
    the revision found (0 when the key is absent).
    """

    is_swapped: bool
    revision: int


class WatchBatch(NamedTuple):
    """Changes after a revision; the next watch continues after `revision`.

    A deleted key is reported as a record with an empty value.
    """

    records: list[KeyValueRecord]
    revision: int


class PrefixRead(NamedTuple):
    """All records under a prefix, which include every change up to `revision`.

    They may also include some later changes, as a read may take several calls.
    """

    records: list[KeyValueRecord]
    revision: int


# (key) -> the record, or None when the key is absent.
GetFunction = Callable[[str], Awaitable[KeyValueRecord | None]]
# (prefix) -> all records whose key starts with the prefix, in key order.
GetPrefixFunction = Callable[[str], Awaitable[list[KeyValueRecord]]]
# (prefix) -> the same with the revision after which a watch misses nothing.
ReadPrefixFunction = Callable[[str], Awaitable[PrefixRead]]
# (key, expected revision, new value or None to delete, lease id or "") -> outcome.
SwapFunction = Callable[[str, int, bytes | None, str], Awaitable[SwapResult]]
# (time to live in seconds) -> lease id.
GrantLeaseFunction = Callable[[float], Awaitable[str]]
# (lease id) -> whether the lease was still alive and is now extended.
KeepLeaseFunction = Callable[[str], Awaitable[bool]]
# (lease id); deletes the keys attached to the lease.
RevokeLeaseFunction = Callable[[str], Awaitable[None]]
# (prefix, after revision, wait in seconds) -> changes, none if the wait has passed.
WatchFunction = Callable[[str, int, float], Awaitable[WatchBatch]]


# () -> how often the service was seen to return from a copy that lacks acknowledged
# writes. Revisions rise all the same, and earlier leases have ended.
CountRestoresFunction = Callable[[], int]


def _never_restored() -> int:
    return 0


class KeyValueService(NamedTuple):
    """The functions of one connection to the key-value service."""

    get: GetFunction
    get_prefix: GetPrefixFunction
    read_prefix: ReadPrefixFunction
    compare_and_swap: SwapFunction
    grant_lease: GrantLeaseFunction
    keep_lease: KeepLeaseFunction
    revoke_lease: RevokeLeaseFunction
    watch: WatchFunction
    count_restores: CountRestoresFunction = _never_restored
