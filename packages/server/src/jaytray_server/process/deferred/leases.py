"""Locks on the shards whose deferred jobs this VM runs, all under one lease.

The lease is checked against the monotonic clock right before each job, so that a VM
that was paused until its lease expired starts no job.
"""

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_core.rendezvous import owner_of
from jaytray_server.ports import PeerNetwork
from jaytray_server.process.deferred.records import SHARDS, lock_key

LEASE_S = 15.0
# The lease is renewed when at most this fraction of it is left.
RENEW_BELOW_FRACTION = 0.6


class ShardLeases:
    """Acquires, renews and releases this VM's shard locks."""

    def __init__(
        self, *, key_value: KeyValueService, peers: PeerNetwork, clock: MonotonicClock
    ) -> None:
        self._key_value = key_value
        self._peers = peers
        self._clock = clock
        self._lease_id = ""
        self._valid_until_s = -float("inf")
        self._shards: set[int] = set()

    @property
    def is_valid(self) -> bool:
        """Return whether the lease is certainly still valid."""
        return self._clock() < self._valid_until_s

    def held_shards(self) -> list[int]:
        """Return the shards whose jobs this VM may run now."""
        return sorted(self._shards) if self.is_valid else []

    async def renew(self) -> None:
        """Renew the lease and lock the shards that this VM owns.

        Raises `JaytrayError` when the key-value service fails.
        """
        wanted = {shard for shard in range(SHARDS) if self._is_owner(shard)}
        if not wanted and not self._shards:
            return
        await self._keep_lease()
        for shard in sorted(self._shards - wanted):
            await self._unlock(shard)
        for shard in sorted(wanted - self._shards):
            if await self._lock(shard):
                self._shards.add(shard)

    async def release(self) -> None:
        """Release all shards, at a planned stop.

        Raises `JaytrayError` when the key-value service fails.
        """
        lease_id, self._lease_id = self._lease_id, ""
        self._shards.clear()
        self._valid_until_s = -float("inf")
        if lease_id:
            await self._key_value.revoke_lease(lease_id)

    def _is_owner(self, shard: int) -> bool:
        members = {*self._peers.listed_vms(), self._peers.vm_id}
        return owner_of(lock_key(shard), members) == self._peers.vm_id

    async def _keep_lease(self) -> None:
        asked_at_s = self._clock()
        if self._valid_until_s - asked_at_s > LEASE_S * RENEW_BELOW_FRACTION:
            return
        if self._lease_id and await self._key_value.keep_lease(self._lease_id):
            self._valid_until_s = asked_at_s + LEASE_S
            return
        self._shards.clear()
        self._lease_id = await self._key_value.grant_lease(LEASE_S)
        self._valid_until_s = asked_at_s + LEASE_S

    async def _lock(self, shard: int) -> bool:
        value = self._lease_id.encode()
        key = lock_key(shard)
        try:
            result = await self._key_value.compare_and_swap(
                key, ABSENT_REVISION, value, self._lease_id
            )
        except JaytrayError as err:
            if err.code != messages.KEY_VALUE_UNCERTAIN.code:
                raise
            found = await self._key_value.get(key)
            return found is not None and found.value == value
        if result.is_swapped:
            return True
        found = await self._key_value.get(key)
        return found is not None and found.value == value

    async def _unlock(self, shard: int) -> None:
        self._shards.discard(shard)
        found = await self._key_value.get(lock_key(shard))
        if found is not None and found.value == self._lease_id.encode():
            await self._key_value.compare_and_swap(found.key, found.revision, None, "")
