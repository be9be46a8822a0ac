"""A view of the key-value service that puts one prefix before all keys.

Subsystems of different environments share the service; the prefix separates the
records of one environment from those of the others.
"""

from jaytray_core.keyvalue import (
    KeyValueRecord,
    KeyValueService,
    PrefixRead,
    SwapResult,
    WatchBatch,
)


def scope_key_value(service: KeyValueService, *, prefix: str) -> KeyValueService:
    """Return `service` with `prefix` added to each key and removed from each record."""

    def unscoped(record: KeyValueRecord) -> KeyValueRecord:
        return record._replace(key=record.key.removeprefix(prefix))

    async def get(key: str) -> KeyValueRecord | None:
        record = await service.get(prefix + key)
        return None if record is None else unscoped(record)

    async def get_prefix(key_prefix: str) -> list[KeyValueRecord]:
        return [unscoped(r) for r in await service.get_prefix(prefix + key_prefix)]

    async def read_prefix(key_prefix: str) -> PrefixRead:
        read = await service.read_prefix(prefix + key_prefix)
        return read._replace(records=[unscoped(r) for r in read.records])

    async def compare_and_swap(
        key: str, expected_revision: int, value: bytes | None, lease_id: str
    ) -> SwapResult:
        return await service.compare_and_swap(
            prefix + key, expected_revision, value, lease_id
        )

    async def watch(key_prefix: str, after_revision: int, wait_s: float) -> WatchBatch:
        batch = await service.watch(prefix + key_prefix, after_revision, wait_s)
        return batch._replace(records=[unscoped(r) for r in batch.records])

    return service._replace(
        get=get,
        get_prefix=get_prefix,
        read_prefix=read_prefix,
        compare_and_swap=compare_and_swap,
        watch=watch,
    )
