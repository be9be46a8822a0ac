"""The platform's list of VMs, which shows changes with a delay."""

import collections

from jaytray_core.clock import MonotonicClock
from jaytray_core.vm_list import VmEntry


class VmListState:
    """Listed VMs; readers see each change `lag_s` after it was made."""

    def __init__(self, *, clock: MonotonicClock, lag_s: float = 0.0) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self._entry_by_id: dict[str, VmEntry] = {}
        self._versions: collections.deque[tuple[float, list[VmEntry]]] = (
            collections.deque([(float("-inf"), [])])
        )

    def put(self, entry: VmEntry) -> None:
        """Add a VM or change its entry."""
        self._entry_by_id[entry.vm_id] = entry
        self._record()

    def remove(self, vm_id: str) -> None:
        """Remove a VM from the list."""
        self._entry_by_id.pop(vm_id, None)
        self._record()

    def visible(self) -> list[VmEntry]:
        """Return the list as it was `lag_s` ago, by VM id."""
        horizon_s = self.clock() - self.lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= horizon_s:
            self._versions.popleft()
        return list(self._versions[0][1])

    def _record(self) -> None:
        entries = [self._entry_by_id[vm_id] for vm_id in sorted(self._entry_by_id)]
        self._versions.append((self.clock(), entries))
