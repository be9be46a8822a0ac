"""All permits that a request needs before it is sent to a target."""

import asyncio

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.brittle_targets import BrittleTargets
from jaytray_gateway.process.cold_permits import ColdPermits
from jaytray_gateway.process.paced_targets import PACE_RETRY_S, PacedTargets
from jaytray_gateway.process.permit_exchange import SendPermit
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_gateway.process.target_limits import TargetLimits


class TargetPermits:
    """Asks for the permits of limited, brittle, recovering and cold targets in turn."""

    def __init__(
        self,
        *,
        limits: TargetLimits,
        brittle: BrittleTargets,
        pace: PacedTargets,
        cold: ColdPermits,
        clock: MonotonicClock,
    ) -> None:
        self._limits = limits
        self._brittle = brittle
        self._pace = pace
        self._cold = cold
        self._clock = clock

    async def acquire(
        self, target: TargetEntry, *, max_wait_s: float, expires_at_s: float
    ) -> SendPermit:
        """Return a permit for a request that ends at `expires_at_s`, after any wait.

        The permit for a cold target is the last one, as it must be used at once.
        """
        permit = await self._limits.acquire(target, max_wait_s=max_wait_s)
        if not permit.is_granted:
            return permit
        if permit.wait_s:
            await asyncio.sleep(permit.wait_s)
        hold_s = expires_at_s - self._clock()
        permit = await self._brittle.acquire(target, hold_s=hold_s)
        if not permit.is_granted:
            return permit
        is_paced = is_permitted = False
        try:
            permit = await self._pace.acquire(target)
            is_paced = permit.is_granted
            if is_paced:
                permit = await self._cold.acquire(target, max_wait_s=max_wait_s)
                if permit.is_granted and permit.wait_s:
                    await asyncio.sleep(permit.wait_s)
                is_permitted = permit.is_granted
        finally:
            if not is_permitted:
                self._brittle.release(target, is_rejected=False)
            if is_paced and not is_permitted:
                self._pace.cancel(target)
        return permit

    async def wait_for_pace(
        self, wait_s_by_id: dict[str, float], *, until_s: float
    ) -> bool:
        """Wait for targets without a permit; returns whether to ask some again.

        They are those that are recovering, and are removed from `wait_s_by_id`.
        """
        paced = [t for t in wait_s_by_id if self._pace.is_paced(t)]
        if not paced or self._clock() + PACE_RETRY_S > until_s:
            return False
        await asyncio.sleep(PACE_RETRY_S)
        for target_id in paced:
            del wait_s_by_id[target_id]
        return True

    def try_use(self, target: TargetEntry) -> bool:
        """Return whether a request may be sent right now."""
        return self._cold.try_use(target)

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the permits for all other targets, which have left the directory."""
        self._cold.retain_targets(target_ids)
