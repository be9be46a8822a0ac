"""The lease that makes one VM the only planner of a group of targets."""

import contextlib

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService

KEY_PREFIX = "placement/groups/"
LEASE_TTL_S = 9.0
# Fraction of the time to live that the lease holder leaves unused, as clocks run at
# different speeds.
SAFETY_MARGIN_FRACTION = 0.2


class GroupLease:
    """Acquires, renews and releases the lease of one group.

    `is_valid` counts from the monotonic time just before the last renewal request, so
    a holder that was paused detects by itself that its lease has expired.
    """

    def __init__(
        self,
        *,
        group: str,
        vm_id: str,
        key_value: KeyValueService,
        clock: MonotonicClock,
        ttl_s: float = LEASE_TTL_S,
    ) -> None:
        self._key = KEY_PREFIX + group
        self._vm_id = vm_id
        self._key_value = key_value
        self._clock = clock
        self._ttl_s = ttl_s
        self._lease_id = ""
        self._valid_until_s = float("-inf")
        # Number of times that this VM has acquired the lease.
        self.term = 0

    def is_valid(self) -> bool:
        """Return whether this VM may act as the holder now."""
        return self._clock() < self._valid_until_s

    async def acquire_or_renew(self) -> bool:
        """Renew or acquire the lease; return whether this VM holds it.

        Raises `key_value_unavailable` or `key_value_uncertain`.
        """
        asked_at_s = self._clock()
        if self._lease_id:
            if self._is_fresh(asked_at_s):
                return True
            if await self._key_value.keep_lease(self._lease_id):
                if self.is_valid():
                    self._extend(asked_at_s)
                    return True
                # The renewal came after the lease had expired by the local clock, so
                # acquire it again as a new holder.
                await self._key_value.revoke_lease(self._lease_id)
            self._drop()
        return await self._acquire()

    async def release(self) -> None:
        """Revoke the lease, for example when the VM leaves; failures are ignored."""
        lease_id = self._lease_id
        self._drop()
        if lease_id:
            with contextlib.suppress(JaytrayError):
                await self._key_value.revoke_lease(lease_id)

    def _is_fresh(self, now: float) -> bool:
        return self._valid_until_s - now > self._ttl_s / 2

    async def _acquire(self) -> bool:
        if await self._key_value.get(self._key) is not None:
            return False
        asked_at_s = self._clock()
        lease_id = await self._key_value.grant_lease(self._ttl_s)
        swapped = await self._key_value.compare_and_swap(
            self._key, ABSENT_REVISION, self._vm_id.encode(), lease_id
        )
        if not swapped.is_swapped:
            return False
        self._lease_id = lease_id
        self.term += 1
        self._extend(asked_at_s)
        return self.is_valid()

    def _extend(self, asked_at_s: float) -> None:
        self._valid_until_s = asked_at_s + self._ttl_s * (1 - SAFETY_MARGIN_FRACTION)

    def _drop(self) -> None:
        self._lease_id = ""
        self._valid_until_s = float("-inf")
