"""The share table: how the contracts of all accounts are divided among the VMs.

One value in the key-value service assigns each VM a number of parts out of
`TOTAL_PARTS`, the same for every account. The functions of this module return changed
copies that preserve the sum. Their safety rests on one rule: a VM may lower only its
own entry, or the entry of a VM that the platform's list has dropped, but may raise any
entry. Hence the parts that a VM last read for itself never exceed those in the table.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from jaytray_core.codec import decode_json, encode_json

TOTAL_PARTS = 1 << 20


class ShareEntry(NamedTuple):
    """The parts of one VM.

    `incarnation` identifies the process that may use them; it is empty before the VM's
    first process has registered, and after one has left.
    """

    parts: int
    incarnation: str


class ShareTable(NamedTuple):
    """All entries; their parts add up to `TOTAL_PARTS`."""

    entries_by_vm: dict[str, ShareEntry]


_NEW_ENTRY = ShareEntry(0, "")


def encode_table(table: ShareTable) -> bytes:
    """Return the table's stored form."""
    return encode_json(table)


def decode_table(value: bytes) -> ShareTable:
    """Return the table of a stored value; raises `malformed_message`."""
    return decode_json(value, ShareTable, peer="kv")


def create_table(vms: Iterable[str]) -> ShareTable:
    """Return a table that divides all parts evenly among `vms`."""
    return add_parts(ShareTable({}), spread_parts(TOTAL_PARTS, dict.fromkeys(vms, 0)))


def register(table: ShareTable, vm_id: str, incarnation: str) -> ShareTable:
    """Return the table with the process `incarnation` as the user of the VM's parts."""
    entry = table.entries_by_vm.get(vm_id, _NEW_ENTRY)
    return _replace(table, vm_id, entry._replace(incarnation=incarnation))


def give_away(
    table: ShareTable,
    vm_id: str,
    parts_by_receiver: Mapping[str, int],
    *,
    is_leaving: bool = False,
) -> ShareTable:
    """Return the table after the owner `vm_id` has given parts to other VMs.

    The entry of a leaving owner names no process, so that it is not given new parts.
    """
    entry = table.entries_by_vm[vm_id]
    given = sum(parts_by_receiver.values())
    if given > entry.parts or vm_id in parts_by_receiver:
        raise ValueError(f"{vm_id} cannot give {given} of {entry.parts} parts")
    lowered = entry._replace(parts=entry.parts - given)
    if is_leaving:
        lowered = lowered._replace(incarnation="")
    return add_parts(_replace(table, vm_id, lowered), parts_by_receiver)


def claim(
    table: ShareTable, dropped: Iterable[str], receivers: Iterable[str]
) -> ShareTable:
    """Return the table without the VMs `dropped`, their parts given to `receivers`."""
    kept = dict(table.entries_by_vm)
    parts = sum(kept.pop(vm_id).parts for vm_id in dropped)
    owned_by_vm = {vm: kept.get(vm, _NEW_ENTRY).parts for vm in receivers}
    return add_parts(ShareTable(kept), spread_parts(parts, owned_by_vm))


def spread_parts(parts: int, owned_by_vm: Mapping[str, int]) -> dict[str, int]:
    """Divide `parts` so that the smallest shares become as even as possible."""
    given = dict.fromkeys(owned_by_vm, 0)
    ranked = sorted(owned_by_vm, key=lambda vm: (owned_by_vm[vm], vm))
    total = parts
    for size, vm_id in enumerate(ranked, start=1):
        total += owned_by_vm[vm_id]
        following = owned_by_vm[ranked[size]] if size < len(ranked) else None
        if following is None or total <= following * size:
            level, rest = divmod(total, size)
            for position, receiver in enumerate(ranked[:size]):
                level_here = level + (1 if position < rest else 0)
                given[receiver] = level_here - owned_by_vm[receiver]
            break
    return {vm: amount for vm, amount in given.items() if amount}


def add_parts(table: ShareTable, parts_by_vm: Mapping[str, int]) -> ShareTable:
    """Return the table with parts added to some entries."""
    entries = dict(table.entries_by_vm)
    for vm_id, parts in parts_by_vm.items():
        entry = entries.get(vm_id, _NEW_ENTRY)
        entries[vm_id] = entry._replace(parts=entry.parts + parts)
    return ShareTable(entries)


def _replace(table: ShareTable, vm_id: str, entry: ShareEntry) -> ShareTable:
    return ShareTable({**table.entries_by_vm, vm_id: entry})
