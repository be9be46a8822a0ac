"""Group commit for one shard: many entries in one write.

Entries that arrive during a write are collected for the next one. At a low rate of
writes an entry is written at once; as the write budget is used up, each batch waits
longer.
"""

import asyncio

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_server.process.idempotency.records import Entry, Record
from jaytray_server.process.idempotency.shard_log import ShardLog

# Sustained writes per second of one shard, and the size of a burst.
SHARD_WRITES_PER_S = 6.0
SHARD_WRITE_BURST = 12.0
MAX_PENDING_ENTRIES = 2_000

CommitFuture = asyncio.Future[Record | None]


class WritePacer:
    """A token bucket of writes that computes the delay before the next one."""

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        rate_per_s: float = SHARD_WRITES_PER_S,
        burst: float = SHARD_WRITE_BURST,
    ) -> None:
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._writes_left = burst
        self._refilled_at_s = clock()

    def delay_s(self) -> float:
        """Return the delay before the next write, 0 with half of the budget left."""
        self._refill()
        used_fraction = 1.0 - self._writes_left / (self._burst / 2)
        return max(0.0, used_fraction) / self._rate_per_s

    def spend(self) -> None:
        """Count one write."""
        self._refill()
        self._writes_left -= 1.0

    def _refill(self) -> None:
        now_s = self._clock()
        gained = (now_s - self._refilled_at_s) * self._rate_per_s
        self._writes_left = min(self._burst, self._writes_left + gained)
        self._refilled_at_s = now_s


class GroupCommitter:
    """Collects the entries of one shard and writes them in batches."""

    def __init__(self, *, log: ShardLog, pacer: WritePacer) -> None:
        self._log = log
        self._pacer = pacer
        self._pending: list[tuple[Entry, CommitFuture]] = []
        self._task: asyncio.Task[None] | None = None
        self.writes = 0

    def submit(self, entry: Entry) -> CommitFuture:
        """Return a future of the record of the entry's key after the commit.

        If the future is cancelled before the write starts, the entry is not written.
        The future fails with the error of the write.
        """
        future: CommitFuture = asyncio.get_running_loop().create_future()
        self._pending.append((entry, future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return future

    async def close(self) -> None:
        """Wait until all pending entries are written."""
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while self._pending:
            await asyncio.sleep(self._pacer.delay_s())
            batch = self._pending[:MAX_PENDING_ENTRIES]
            del self._pending[:MAX_PENDING_ENTRIES]
            batch = [(e, f) for e, f in batch if not f.cancelled()]
            if batch:
                await self._commit(batch)

    async def _commit(self, batch: list[tuple[Entry, CommitFuture]]) -> None:
        self._pacer.spend()
        self.writes += 1
        try:
            await self._log.append([entry for entry, _ in batch])
        except JaytrayError as err:
            for _, future in _unresolved(batch):
                future.set_exception(err)
            return
        for entry, future in _unresolved(batch):
            future.set_result(self._log.records_by_key.get(entry.key_digest))


def _unresolved(
    batch: list[tuple[Entry, CommitFuture]],
) -> list[tuple[Entry, CommitFuture]]:
    return [(entry, future) for entry, future in batch if not future.done()]
