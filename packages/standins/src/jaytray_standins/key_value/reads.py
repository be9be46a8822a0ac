"""Reads of the key-value store; a STALE fault makes them return an older revision."""

from jaytray_core.keyvalue import KeyValueRecord, PrefixRead
from jaytray_standins.faults import FaultKind, FaultSwitches
from jaytray_standins.key_value.store import KeyValueStore


def read_key(
    store: KeyValueStore, faults: FaultSwitches, key: str
) -> KeyValueRecord | None:
    """Return the record of `key`, subject to a STALE fault."""
    stale = faults.consume(FaultKind.STALE, "get")
    if stale is None:
        return store.get(key)
    records = store.get_as_of(key, stale.revision)
    return next((record for record in records if record.key == key), None)


def read_prefix(
    store: KeyValueStore, faults: FaultSwitches, prefix: str
) -> list[KeyValueRecord]:
    """Return the records under `prefix`, subject to a STALE fault."""
    stale = faults.consume(FaultKind.STALE, "get_prefix")
    if stale is None:
        return store.get_prefix(prefix)
    return store.get_as_of(prefix, stale.revision)


def read_prefix_at(
    store: KeyValueStore, faults: FaultSwitches, prefix: str
) -> PrefixRead:
    """Return the records under `prefix` and their revision; counts as `get_prefix`."""
    stale = faults.consume(FaultKind.STALE, "get_prefix")
    if stale is None:
        return PrefixRead(store.get_prefix(prefix), store.revision)
    return PrefixRead(store.get_as_of(prefix, stale.revision), stale.revision)
