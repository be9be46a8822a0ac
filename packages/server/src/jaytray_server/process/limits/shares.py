"""This VM's share of all contracts, read from and recorded in the share table.

The parts in use never exceed this VM's entry in the table. A decrease takes effect
locally before it is written by compare-and-swap. An increase takes effect only after
the new entry was read, and after the longest time for which any VM can still spend what
the former owner of the parts has lent.

A starting process writes its incarnation before it uses any parts. A write of an
earlier process that is still in flight then finds a different revision and fails.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_server.process.limits.share_table import (
    ShareEntry,
    ShareTable,
    claim,
    create_table,
    decode_table,
    encode_table,
    give_away,
    register,
)

SHARES_KEY = "limits/shares"

# Called with the parts in use when they change.
PartsHandler = Callable[[int], None]


class TableRead(NamedTuple):
    """The share table at one revision."""

    table: ShareTable
    revision: int
    size_bytes: int


class _PendingTransfer(NamedTuple):
    """A decrease that took effect locally and whose write has no known outcome yet."""

    parts: int
    base_revision: int
    value: bytes


class OwnShare:
    """The parts that this process may use, never more than its entry in the table.

    `incarnation` identifies this process as a writer. `settle_s` is the delay before an
    increase takes effect.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        incarnation: str,
        key_value: KeyValueService,
        clock: MonotonicClock,
        settle_s: float,
        on_parts: PartsHandler,
        key: str = SHARES_KEY,
    ) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._key_value = key_value
        self._clock = clock
        self._settle_s = settle_s
        self._on_parts = on_parts
        self._key = key
        self._recorded = 0
        self._usable = 0
        self._increase_target = 0
        self._increase_at = float("inf")
        self._pending_transfer: _PendingTransfer | None = None
        self.last_read: TableRead | None = None

    @property
    def parts(self) -> int:
        """Return the parts in use."""
        return self._usable

    @property
    def is_registered(self) -> bool:
        """Return whether the last table read names this process."""
        return self._own_entry().incarnation == self._incarnation

    async def read(self) -> TableRead | None:
        """Read the table and apply this VM's entry; None when there is no table."""
        record = await self._key_value.get(self._key)
        if record is None:
            return None
        read = TableRead(decode_table(record.value), record.revision, len(record.value))
        self._apply_read(read)
        return self.last_read

    async def create(self, vms: list[str]) -> None:
        """Create the table with even shares unless it exists."""
        table = create_table(vms)
        await self._swap(encode_table(table), ABSENT_REVISION)

    async def register(self) -> None:
        """Record that this process uses the VM's parts from now on."""
        read = self.last_read
        if read is None or self.is_registered:
            return
        is_first_process = self._own_entry().incarnation == ""
        table = register(read.table, self._vm_id, self._incarnation)
        is_swapped = await self._swap(encode_table(table), read.revision)
        if is_swapped and is_first_process:
            # Parts are added only for started processes. These therefore date from the
            # creation of the table, and nothing can have been lent out of them.
            self._increase_at = self._clock()
            self.apply_due_increase()

    async def claim(self, dropped: list[str], receivers: list[str]) -> bool:
        """Divide the parts of VMs that the platform has dropped among `receivers`."""
        read = self.last_read
        if read is None or not receivers:
            return False
        table = claim(read.table, dropped, receivers)
        return await self._swap(encode_table(table), read.revision)

    async def give_away(
        self, parts_by_receiver: dict[str, int], *, is_leaving: bool = False
    ) -> bool:
        """Lower this VM's share, then record the parts that others receive.

        Returns whether the change was recorded. If the response is lost, the share
        stays lowered until `settle_transfer` has determined the outcome.
        """
        read = self.last_read
        given = sum(parts_by_receiver.values())
        is_possible = 0 < given <= self._own_entry().parts
        if read is None or self._pending_transfer is not None or not is_possible:
            return False
        table = give_away(
            read.table, self._vm_id, parts_by_receiver, is_leaving=is_leaving
        )
        self._pending_transfer = _PendingTransfer(
            given, read.revision, encode_table(table)
        )
        self._update_usable()
        try:
            return await self.settle_transfer()
        except JaytrayError as err:
            if err.template is messages.KEY_VALUE_UNAVAILABLE:
                self._pending_transfer = None
                self._update_usable()
            raise

    async def settle_transfer(self) -> bool:
        """Repeat the pending write and return whether it was recorded.

        Repeating it is safe: only one write can succeed on its base revision.
        """
        pending = self._pending_transfer
        if pending is None:
            return False
        is_recorded = await self._swap(pending.value, pending.base_revision)
        if self._pending_transfer is pending:
            # This write can no longer succeed; a read shows whether an earlier attempt
            # or another VM's write was first.
            await self.read()
        return is_recorded

    def apply_due_increase(self) -> None:
        """Use parts that were added to this VM's entry at least `settle_s` ago."""
        if self._clock() >= self._increase_at:
            self._increase_at = float("inf")
            self._set_usable(self._target())

    def stop_using(self) -> None:
        """Use no parts until the entry is read again; for a VM that was dropped."""
        self._recorded = 0
        self.last_read = None
        self._update_usable()

    async def _swap(self, value: bytes, revision: int) -> bool:
        result = await self._key_value.compare_and_swap(self._key, revision, value, "")
        if result.is_swapped:
            self._apply_read(
                TableRead(decode_table(value), result.revision, len(value))
            )
        return result.is_swapped

    def _apply_read(self, read: TableRead) -> None:
        if self.last_read is not None and read.revision < self.last_read.revision:
            return
        self.last_read = read
        pending = self._pending_transfer
        if pending is not None and read.revision > pending.base_revision:
            # Either recorded in the entry just read, or no longer able to succeed.
            self._pending_transfer = None
        self._recorded = self._own_entry().parts if self.is_registered else 0
        self._update_usable()

    def _own_entry(self) -> ShareEntry:
        if self.last_read is None:
            return ShareEntry(0, "")
        entries = self.last_read.table.entries_by_vm
        return entries.get(self._vm_id, ShareEntry(0, ""))

    def _target(self) -> int:
        return max(
            0,
            self._recorded
            - (self._pending_transfer.parts if self._pending_transfer else 0),
        )

    def _update_usable(self) -> None:
        target = self._target()
        if target < self._usable:
            self._set_usable(target)
        if target <= self._usable:
            self._increase_at = float("inf")
        elif self._increase_at == float("inf") or target > self._increase_target:
            self._increase_at = self._clock() + self._settle_s
        self._increase_target = target

    def _set_usable(self, parts: int) -> None:
        if parts != self._usable:
            self._usable = parts
            self._on_parts(parts)


async def ignore_unavailable(call: Awaitable[object]) -> bool:
    """Await a call to the key-value service; return False if it did not respond.

    The outcome of an uncertain write is not determined here, because callers read it
    back later.
    """
    try:
        await call
    except JaytrayError as err:
        if err.template not in (
            messages.KEY_VALUE_UNAVAILABLE,
            messages.KEY_VALUE_UNCERTAIN,
        ):
            raise
        return False
    return True
