"""Exclusive runs of suspects: at most one per digest and one per target in the fleet.

Both limits are locks in the key-value service under a lease. While the service is down,
a suspect runs only on a VM that saw its crash, at most once at a time on each such VM.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import cancel_all

LOCK_PREFIX = "quarantine/solo/"
LEASE_S = 15.0
_RETRY_AFTER_S = 1.0

_log = get_logger()


class TargetLockedError(Exception):
    """Another suspect is running at the target."""


class ExclusiveRuns:
    """Locks held for the suspects that this VM runs."""

    def __init__(self, *, key_value: KeyValueService, vm_id: str) -> None:
        self._key_value = key_value
        self._vm_id = vm_id
        self._held: set[str] = set()

    @asynccontextmanager
    async def hold_locks(
        self, digest: str, target: str, *, saw_crash: bool
    ) -> AsyncIterator[None]:
        """Hold the locks of `digest` and `target` during the block.

        Raises `request_suspected` if the digest is already running, `TargetLockedError`
        if another suspect is running at the target.
        """
        names = (f"digests/{digest}", f"targets/{target}")
        if names[0] in self._held:
            raise suspect_error()
        if names[1] in self._held:
            raise TargetLockedError
        self._held.update(names)
        try:
            async with self._locked_by_lease(names, saw_crash=saw_crash):
                yield
        finally:
            self._held.difference_update(names)

    @asynccontextmanager
    async def _locked_by_lease(
        self, names: tuple[str, str], *, saw_crash: bool
    ) -> AsyncIterator[None]:
        lease_id = await self._acquire_locks(names, saw_crash=saw_crash)
        if not lease_id:
            yield
            return
        renewal = asyncio.create_task(self._keep_lease(lease_id))
        try:
            yield
        finally:
            await cancel_all([renewal])
            await self._revoke_lease(lease_id)

    async def _acquire_locks(self, names: tuple[str, str], *, saw_crash: bool) -> str:
        """Return the lease of the locks; it may be empty while the service is down."""
        lease_id = ""
        try:
            lease_id = await self._key_value.grant_lease(LEASE_S)
            has_digest = await self._acquire_lock(names[0], lease_id)
            has_target = has_digest and await self._acquire_lock(names[1], lease_id)
        except JaytrayError as err:
            _log.warning("solo_lock_failed", error=str(err))
            if saw_crash:
                return lease_id
            raise suspect_error() from err
        if has_digest and has_target:
            return lease_id
        await self._revoke_lease(lease_id)
        if has_digest:
            raise TargetLockedError
        raise suspect_error()

    async def _acquire_lock(self, name: str, lease_id: str) -> bool:
        key = LOCK_PREFIX + name
        value = f"{self._vm_id} {lease_id}".encode()
        try:
            result = await self._key_value.compare_and_swap(
                key, ABSENT_REVISION, value, lease_id
            )
        except JaytrayError as err:
            if err.code != messages.KEY_VALUE_UNCERTAIN.code:
                raise
            found = await self._key_value.get(key)
            return found is not None and found.value == value
        return result.is_swapped

    async def _keep_lease(self, lease_id: str) -> None:
        while True:
            await asyncio.sleep(LEASE_S / 3)
            try:
                await self._key_value.keep_lease(lease_id)
            except JaytrayError as err:
                _log.warning("solo_lease_not_kept", error=str(err))

    async def _revoke_lease(self, lease_id: str) -> None:
        try:
            await self._key_value.revoke_lease(lease_id)
        except JaytrayError as err:
            _log.info("solo_lease_left_to_expire", error=str(err))


def suspect_error() -> JaytrayError:
    """Return the error for a suspect that may not run here now."""
    return JaytrayError(
        messages.REQUEST_SUSPECTED, step=Step.DISPATCH, retry_after_s=_RETRY_AFTER_S
    )
