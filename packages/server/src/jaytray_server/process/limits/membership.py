"""Which VMs are live, and which ones the platform's list no longer contains.

The list lags behind: it may still contain a dead VM, or not yet contain a new one. The
VM of an entry in the share table therefore counts as dropped only when several lists,
each read after the entry was known, have lacked it for at least `CLAIM_DELAY_S`.
Missing heartbeats are no evidence, because a paused VM may resume and spend its tokens.
"""

from collections.abc import Iterable, Sequence

from jaytray_core.clock import MonotonicClock
from jaytray_core.rendezvous import rank_members
from jaytray_core.vm_list import VmEntry, VmState

# In seconds; longer than the lag of the platform's list.
CLAIM_DELAY_S = 10.0
# Consecutive lists that must lack a VM before it counts as dropped.
ABSENT_LISTS = 3
# Time after which the next VM in rendezvous order takes over an unfinished task.
TAKEOVER_DELAY_S = 5.0


class Membership:
    """State derived from successive reads of the VM list."""

    def __init__(self, *, vm_id: str, clock: MonotonicClock) -> None:
        self._vm_id = vm_id
        self._clock = clock
        self._listed: frozenset[str] = frozenset()
        self.live: tuple[str, ...] = ()
        self._absences_by_vm: dict[str, tuple[float, int]] = {}
        self._pending_since_by_task: dict[str, float] = {}

    def handle_list(self, entries: Sequence[VmEntry], known: Iterable[str]) -> None:
        """Process a list that was just read; `known` are the VMs in the share table."""
        self._listed = frozenset(entry.vm_id for entry in entries)
        self.live = tuple(
            sorted(entry.vm_id for entry in entries if entry.state == VmState.LIVE)
        )
        absences: dict[str, tuple[float, int]] = {}
        for vm_id in {*known, self._vm_id} - self._listed:
            since, lists = self._absences_by_vm.get(vm_id, (self._clock(), 0))
            absences[vm_id] = (since, lists + 1)
        self._absences_by_vm = absences

    def is_listed(self) -> bool:
        """Return whether the last list contains this VM."""
        return self._vm_id in self._listed

    def is_dropped(self) -> bool:
        """Return whether the last `ABSENT_LISTS` lists all lacked this VM."""
        return self._absences_by_vm.get(self._vm_id, (0.0, 0))[1] >= ABSENT_LISTS

    def dropped_vms(self, known: Iterable[str]) -> list[str]:
        """Return the VMs among `known` that the platform has dropped."""
        if not self.is_listed():
            return []
        now = self._clock()
        return [
            vm_id
            for vm_id in known
            if vm_id in self._absences_by_vm
            and self._absences_by_vm[vm_id][1] >= ABSENT_LISTS
            and now - self._absences_by_vm[vm_id][0] >= CLAIM_DELAY_S
        ]

    def should_perform(self, task: str, candidates: Iterable[str]) -> bool:
        """Return whether this VM should perform `task` now.

        Among `candidates`, the first in rendezvous order acts at once; each further
        one acts `TAKEOVER_DELAY_S` later if the task is still pending.
        """
        ranked = rank_members(task, candidates)
        if self._vm_id not in ranked:
            return False
        since = self._pending_since_by_task.setdefault(task, self._clock())
        return self._clock() - since >= TAKEOVER_DELAY_S * ranked.index(self._vm_id)

    def retain_tasks(self, pending_tasks: Iterable[str]) -> None:
        """Drop the start times of all tasks but `pending_tasks`."""
        kept = set(pending_tasks)
        self._pending_since_by_task = {
            task: since
            for task, since in self._pending_since_by_task.items()
            if task in kept
        }
