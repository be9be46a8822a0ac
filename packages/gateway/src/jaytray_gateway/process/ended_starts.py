"""Starts of targets that have ended, against entries that are older than their end.

The store may return from an older copy, which has entries of targets that have left or
ended since. A start that was seen leaving never takes requests again. One whose entry
was removed is believed again only if its entry has a later heartbeat than the last one
seen.
"""

from collections import OrderedDict
from typing import NamedTuple

from jaytray_gateway.process.target_entry import TargetEntry

# Bound on each memory. Far more targets than end between a copy and its return.
MAX_STARTS = 2_000


class _RemovedStart(NamedTuple):
    incarnation: str
    heartbeat_count: int


class EndedStarts:
    """The last start of each target that was seen leaving, and that was removed."""

    def __init__(self) -> None:
        self._leaving_incarnation_by_id: OrderedDict[str, str] = OrderedDict()
        self._removed_by_id: OrderedDict[str, _RemovedStart] = OrderedDict()

    def note_leaving(self, target: TargetEntry) -> None:
        """Record that a start has been seen leaving."""
        self._leaving_incarnation_by_id[target.target_id] = target.incarnation
        if len(self._leaving_incarnation_by_id) > MAX_STARTS:
            self._leaving_incarnation_by_id.popitem(last=False)

    def note_removed(self, target: TargetEntry) -> None:
        """Record that the entry of a start has been removed."""
        if target.heartbeat_count is None:
            return
        self._removed_by_id[target.target_id] = _RemovedStart(
            target.incarnation, target.heartbeat_count
        )
        if len(self._removed_by_id) > MAX_STARTS:
            self._removed_by_id.popitem(last=False)

    def is_leaving(self, entry: TargetEntry) -> bool:
        """Return whether the entry's start has been seen leaving."""
        known = self._leaving_incarnation_by_id.get(entry.target_id)
        return known == entry.incarnation

    def was_removed(self, target_id: str) -> bool:
        """Return whether an entry of the target may be older than its removal."""
        return target_id in self._removed_by_id

    def is_outdated(self, entry: TargetEntry) -> bool:
        """Return whether an entry is no newer than the one that was removed.

        A newer one ends the memory of the removal.
        """
        removed = self._removed_by_id.get(entry.target_id)
        if removed is None or removed.incarnation != entry.incarnation:
            return False
        count = entry.heartbeat_count
        if count is not None and count <= removed.heartbeat_count:
            return True
        del self._removed_by_id[entry.target_id]
        return False
