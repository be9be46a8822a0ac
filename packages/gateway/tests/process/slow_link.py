"""A slow network link between a member and the key-value service."""

import asyncio

from jaytray_core.keyvalue import (
    KeyValueRecord,
    KeyValueService,
    PrefixRead,
    WatchBatch,
)

# Values are sent as base64 text.
ENCODED_SIZE_FACTOR = 4 / 3
# Key, revision and names of a record, and headers of a response.
OVERHEAD_BYTES = 200
# Responses that are sent at the same time take turns in pieces of this size.
PIECE_BYTES = 16_384


class SlowLink:
    """Carries the responses of one member's calls at `bytes_per_s` together."""

    def __init__(self, *, bytes_per_s: float) -> None:
        self.carried_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._turn = asyncio.Lock()

    async def carry(self, records: list[KeyValueRecord]) -> None:
        """Return when a response with these records has arrived."""
        left = OVERHEAD_BYTES + sum(
            OVERHEAD_BYTES + round(len(record.value) * ENCODED_SIZE_FACTOR)
            for record in records
        )
        self.carried_bytes += left
        while left > 0:
            piece = min(left, PIECE_BYTES)
            async with self._turn:
                await asyncio.sleep(piece / self._bytes_per_s)
            left -= piece


def through_link(service: KeyValueService, link: SlowLink) -> KeyValueService:
    """Return the service as it is reached over `link`."""

    async def watch(prefix: str, after: int, wait_s: float) -> WatchBatch:
        batch = await service.watch(prefix, after, wait_s)
        await link.carry(batch.records)
        return batch

    async def read_prefix(prefix: str) -> PrefixRead:
        found = await service.read_prefix(prefix)
        await link.carry(found.records)
        return found

    async def get(key: str) -> KeyValueRecord | None:
        record = await service.get(key)
        await link.carry([record] if record else [])
        return record

    return service._replace(watch=watch, read_prefix=read_prefix, get=get)
