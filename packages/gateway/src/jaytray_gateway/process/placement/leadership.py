"""Leader election for placement, by a lease in the key-value service.

Only the leader sends orders to targets. Its fencing number is the revision at which
it wrote its record, so each new leader has a higher one; `fencing_base` tells from
which era it is counted, and without it no member becomes the leader. A leader counts
its lease from before it sent the last renewal and stops well before the lease expires.
It never revokes the lease, so a successor can take it only after it has expired, and
the former leader stopped sending orders before that. A member that does not reach the
targets, while others do, neither takes the lease nor keeps it.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import rank_members

# Duration of a lease as a fraction of the shortest time between two leaders' orders.
# A leader that cannot renew has lost contact with the key-value service, and requests
# for models wait until it is replaced.
LEASE_FRACTION = 0.45
# Fraction of the lease after which a leader that has not renewed it stops.
TRUSTED_FRACTION = 0.75
RENEWALS_PER_LEASE = 3.5
CHECK_INTERVAL_S = 0.25
# Delay before trying to take a free lease, for each member with a better rank.
RANK_DELAY_S = 0.3


class _LeaderRecord(NamedTuple):
    """Value of the leadership record."""

    vm_id: str


class Leadership:
    """Takes, renews and observes the placement lease for this member."""

    def __init__(
        self,
        *,
        own_id: str,
        key: str,
        lease_s: float,
        key_value: KeyValueService,
        clock: MonotonicClock,
        read_record: Callable[[], bytes | None],
        member_ids: Callable[[], frozenset[str]],
        restored_at_s: Callable[[], float],
        reaches_targets: Callable[[], bool],
        fencing_base: Callable[[], int | None],
    ) -> None:
        self._own_id = own_id
        self._key = key
        self._lease_s = lease_s * LEASE_FRACTION
        self._key_value = key_value
        self._clock = clock
        self._read_record = read_record
        self._member_ids = member_ids
        self._restored_at_s = restored_at_s
        self._reaches_targets = reaches_targets
        self._fencing_base = fencing_base
        self._revision = 0
        self._lease_id = ""
        self._trusted_until_s = -float("inf")
        self._is_stopped = False

    @property
    def fencing_number(self) -> int:
        """Return the fencing number of the current or last term, 0 before the first."""
        return self._revision - (self._fencing_base() or 0) if self._revision else 0

    def is_leader(self) -> bool:
        """Return whether this member may send orders now."""
        return not self._is_stopped and self._clock() < self._trusted_until_s

    def leader_id(self) -> str | None:
        """Return the VM id of the leader as last read from the key-value service."""
        value = self._read_record()
        if value is None:
            return None
        try:
            return decode_json(value, _LeaderRecord, peer=self._key).vm_id
        except JaytrayError as err:
            get_logger().warning("placement_record_unreadable", error=str(err))
            return None

    def stop(self) -> None:
        """Send no more orders and let the lease expire."""
        self._is_stopped = True

    def step_down(self, reason: str) -> None:
        """Stop acting as leader: the lease has ended or a newer leader exists."""
        get_logger().warning("placement_lost", reason=reason)
        self._lease_id = ""
        self._trusted_until_s = -float("inf")

    async def run(self) -> None:
        """Renew the lease, or wait to take it, until cancelled."""
        while not self._is_stopped:
            try:
                if self._lease_id and not self._reaches_targets():
                    self.step_down("other members reach the targets, this one does not")
                elif self._lease_id:
                    await self._renew()
                elif self.leader_id() is None and self._reaches_targets():
                    await self._try_acquire()
            except JaytrayError as err:
                get_logger().info("placement_lease_call_failed", error=str(err))
            if self._lease_id and self._clock() < self._trusted_until_s:
                await asyncio.sleep(self._lease_s / RENEWALS_PER_LEASE)
            else:
                await asyncio.sleep(CHECK_INTERVAL_S)
        await asyncio.Event().wait()

    async def _renew(self) -> None:
        begun_s = self._clock()
        if await self._key_value.keep_lease(self._lease_id):
            self._trusted_until_s = begun_s + self._lease_s * TRUSTED_FRACTION
        else:
            self.step_down("lease has expired")

    async def _try_acquire(self) -> None:
        ranked = rank_members(self._key, self._member_ids())
        rank = ranked.index(self._own_id) if self._own_id in ranked else len(ranked)
        await asyncio.sleep(rank * RANK_DELAY_S)
        if self.leader_id() is not None or self._is_stopped:
            return
        if self._fencing_base() is None:
            return
        # A lease that the service lost with its record is still trusted by its holder.
        if self._clock() < self._restored_at_s() + self._lease_s:
            return
        begun_s = self._clock()
        lease_id = await self._key_value.grant_lease(self._lease_s)
        value = encode_json(_LeaderRecord(self._own_id))
        outcome = await self._key_value.compare_and_swap(
            self._key, ABSENT_REVISION, value, lease_id
        )
        if not outcome.is_swapped:
            return
        self._lease_id = lease_id
        self._revision = outcome.revision
        self._trusted_until_s = begun_s + self._lease_s * TRUSTED_FRACTION
        get_logger().info("placement_taken", fencing_number=self.fencing_number)
