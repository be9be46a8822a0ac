"""Determines which listed VMs run the same environment as this one.

The platform's list contains the VMs of all environments, but shares, placement and
links concern the VMs of one environment only. Each process registers its environment in
the key-value service. The registrations are read again only when the list contains an
unknown VM, so that an unchanged fleet causes no reads.
"""

from collections.abc import Awaitable, Callable

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import (
    ABSENT_REVISION,
    KeyValueRecord,
    KeyValueService,
)
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import owner_of
from jaytray_core.vm_list import VmEntry, VmList

KEY_PREFIX = "members/"
# Minimum time between two reads of the registrations, in seconds.
READ_INTERVAL_S = 2.0
# Time in seconds after which the registration of an unlisted VM is deleted.
UNLISTED_RETENTION_S = 3600.0


class EnvironmentMembers:
    """The registrations known to this VM.

    A known VM keeps its environment until a newer registration is read, so that
    neither an outage nor stale data makes a live VM disappear.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        environment: str,
        key_value: KeyValueService,
        clock: MonotonicClock,
    ) -> None:
        self._vm_id = vm_id
        self._environment = environment
        self._key_value = key_value
        self._clock = clock
        self._records_by_id: dict[str, KeyValueRecord] = {}
        self._unlisted_since_s: dict[str, float] = {}
        self._is_registered = False
        self._can_read = False
        self._next_read_s = clock()

    def in_environment(self, entries: list[VmEntry]) -> list[VmEntry]:
        """Return the entries of this environment, including this VM.

        While the registrations cannot be read, unknown VMs are included, so that a VM
        that starts during an outage and its peers find each other.
        """
        return [entry for entry in entries if self._is_in_environment(entry.vm_id)]

    async def refresh(self, entries: list[VmEntry]) -> None:
        """Register this VM, and read the registrations if a listed VM is unknown.

        A failure is logged; a later call retries.
        """
        listed = {entry.vm_id for entry in entries}
        is_complete = self._is_registered and listed <= self._records_by_id.keys()
        if is_complete or self._clock() < self._next_read_s:
            return
        self._next_read_s = self._clock() + READ_INTERVAL_S
        try:
            await self._register()
            await self._read()
            await self._delete_unlisted(listed)
        except JaytrayError as err:
            self._can_read = False
            get_logger().warning("members_unavailable", peer="kv", code=err.code)

    async def _register(self) -> None:
        if self._is_registered:
            return
        key = KEY_PREFIX + self._vm_id
        value = self._environment.encode()
        found = await self._key_value.get(key)
        if found is None or found.value != value:
            revision = found.revision if found else ABSENT_REVISION
            await self._key_value.compare_and_swap(key, revision, value, "")
            found = await self._key_value.get(key)
        # False after a lost response or a concurrent write; a later call retries.
        self._is_registered = found is not None and found.value == value

    async def _read(self) -> None:
        for record in await self._key_value.get_prefix(KEY_PREFIX):
            vm_id = record.key.removeprefix(KEY_PREFIX)
            known = self._records_by_id.get(vm_id)
            if known is None or record.revision > known.revision:
                self._records_by_id[vm_id] = record
        self._can_read = True

    async def _delete_unlisted(self, listed: set[str]) -> None:
        """Delete the old registrations that rendezvous hashing assigns to this VM."""
        now_s = self._clock()
        for vm_id, record in list(self._records_by_id.items()):
            if vm_id in listed:
                self._unlisted_since_s.pop(vm_id, None)
                continue
            since_s = self._unlisted_since_s.setdefault(vm_id, now_s)
            is_due = now_s - since_s > UNLISTED_RETENTION_S
            if is_due and owner_of(vm_id, listed) == self._vm_id:
                await self._key_value.compare_and_swap(
                    record.key, record.revision, None, ""
                )
                del self._records_by_id[vm_id]
                del self._unlisted_since_s[vm_id]

    def _is_in_environment(self, vm_id: str) -> bool:
        record = self._records_by_id.get(vm_id)
        if vm_id == self._vm_id or record is None:
            return vm_id == self._vm_id or not self._can_read
        return record.value == self._environment.encode()


def environment_vm_list(vm_list: VmList, members: EnvironmentMembers) -> VmList:
    """Return the platform's list restricted to the VMs of this environment."""
    list_all: Callable[[], Awaitable[list[VmEntry]]] = vm_list.list_vms

    async def list_vms() -> list[VmEntry]:
        entries = await list_all()
        await members.refresh(entries)
        return members.in_environment(entries)

    return VmList(list_vms=list_vms)
