"""Commits entries through the owner of their shard or, failing that, directly.

The owner batches the entries of all VMs. When it does not reply in time, this VM
writes the same entry itself. The claim id makes it harmless when both write it.
"""

import asyncio
import itertools

from jaytray_core.clock import MonotonicClock, WallClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.rendezvous import owner_of
from jaytray_server.ports import PeerNetwork
from jaytray_server.process.idempotency.group_commit import (
    CommitFuture,
    GroupCommitter,
    WritePacer,
)
from jaytray_server.process.idempotency.messages import (
    COMMIT_TOPIC,
    COMMITTED_TOPIC,
    CommitMessage,
    CommittedMessage,
)
from jaytray_server.process.idempotency.records import (
    PREFIX,
    SHARDS,
    Entry,
    Record,
    shard_of,
)
from jaytray_server.process.idempotency.shard_log import ShardLog

# Longest wait for the owner before this VM writes the entry itself.
OWNER_TIMEOUT_S = 0.4


class EntryCommitter:
    """Commits entries for this VM and, as the owner of shards, for other VMs.

    Call `register_handlers` once to register the message handlers.
    """

    def __init__(
        self,
        *,
        key_value: KeyValueService,
        peers: PeerNetwork,
        clock: MonotonicClock,
        wall_clock: WallClock,
        owner_timeout_s: float = OWNER_TIMEOUT_S,
    ) -> None:
        self._peers = peers
        self._owner_timeout_s = owner_timeout_s
        self._numbers = itertools.count(1)
        self._replies_by_number: dict[int, CommitFuture] = {}
        self.logs = [
            ShardLog(
                shard=shard, key_value=key_value, clock=clock, wall_clock=wall_clock
            )
            for shard in range(SHARDS)
        ]
        self._committers = [
            GroupCommitter(log=log, pacer=WritePacer(clock=clock)) for log in self.logs
        ]

    def register_handlers(self) -> None:
        """Register the handlers for messages of other VMs."""
        self._peers.set_handler(COMMIT_TOPIC, self._on_commit)
        self._peers.set_handler(COMMITTED_TOPIC, self._on_committed)

    @property
    def writes(self) -> int:
        """Return the number of writes that this VM has started."""
        return sum(committer.writes for committer in self._committers)

    def is_owner(self, shard: int) -> bool:
        """Return whether this VM batches the entries of `shard`."""
        return self._owner(shard) == self._peers.vm_id

    async def commit(self, entry: Entry) -> Record | None:
        """Commit the entry; return the state of its key afterwards.

        Raises `key_value_unavailable` or `key_value_uncertain`.
        """
        shard = shard_of(entry.key_digest)
        owner = self._owner(shard)
        if owner != self._peers.vm_id:
            try:
                return await self._commit_through_owner(owner, entry)
            except _OwnerCommitError:
                pass
        return await self._committers[shard].submit(entry)

    async def close(self) -> None:
        """Wait until all pending entries are written."""
        for committer in self._committers:
            await committer.close()

    def _owner(self, shard: int) -> str:
        members = {*self._peers.listed_vms(), self._peers.vm_id}
        return owner_of(f"{PREFIX}{shard}", members) or self._peers.vm_id

    async def _commit_through_owner(self, owner: str, entry: Entry) -> Record | None:
        number = next(self._numbers)
        message = encode_msgpack(CommitMessage(number, entry))
        future: CommitFuture = asyncio.get_running_loop().create_future()
        self._replies_by_number[number] = future
        try:
            if not self._peers.send(owner, COMMIT_TOPIC, message):
                raise _OwnerCommitError
            async with asyncio.timeout(self._owner_timeout_s):
                return await future
        except TimeoutError as err:
            raise _OwnerCommitError from err
        finally:
            del self._replies_by_number[number]

    def _on_commit(self, sender: str, body: bytes) -> None:
        message = decode_msgpack(body, CommitMessage, peer=sender)
        shard = shard_of(message.entry.key_digest)
        commit_future = self._committers[shard].submit(message.entry)

        def send_reply(future: CommitFuture) -> None:
            is_committed = not future.cancelled() and future.exception() is None
            record = future.result() if is_committed else None
            reply = CommittedMessage(message.number, is_committed, record)
            self._peers.send(sender, COMMITTED_TOPIC, encode_msgpack(reply))

        commit_future.add_done_callback(send_reply)

    def _on_committed(self, sender: str, body: bytes) -> None:
        message = decode_msgpack(body, CommittedMessage, peer=sender)
        future = self._replies_by_number.get(message.number)
        if future is None or future.done():
            return
        if message.is_committed:
            future.set_result(message.record)
        else:
            future.set_exception(_OwnerCommitError())


class _OwnerCommitError(Exception):
    """The owner of a shard did not commit an entry."""
