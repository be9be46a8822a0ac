"""Which VMs are live, and which the platform's list has dropped for good.

The list lags: it may still show a VM that is dead, or not yet one that is new. An
entry of the table of shares counts as gone only when several lists, each read after
the entry was known, lacked its VM for `CLAIM_DELAY_S`. A missing heartbeat says
nothing, since the VM may be paused and go on spending afterwards.
"""

from collections.abc import Iterable, Sequence

from jaytray_core.clock import MonotonicClock
from jaytray_core.rendezvous import rank_members
from jaytray_core.vm_list import VmEntry, VmState

# Longer than the platform's list lags behind, in seconds.
CLAIM_DELAY_S = 10.0
# Lists that must lack a VM before it counts as gone, or this VM as dropped.
ABSENT_LISTS = 3
# Time after which the next VM takes up a duty that the first one leaves undone.
TAKEOVER_S = 5.0


class Membership:
    """Knowledge from successive reads of the list of VMs."""

    def __init__(self, *, vm_id: str, clock: MonotonicClock) -> None:
        self._vm_id = vm_id
        self._clock = clock
        self._listed: frozenset[str] = frozenset()
        self.live: tuple[str, ...] = ()
        self._absences_by_vm: dict[str, tuple[float, int]] = {}
        self._duty_since: dict[str, float] = {}

    def handle_list(self, entries: Sequence[VmEntry], known: Iterable[str]) -> None:
        """Take in a list that was just read; `known` are the VMs of the table."""
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
        """Return whether the last list shows this VM."""
        return self._vm_id in self._listed

    def is_dropped(self) -> bool:
        """Return whether several lists in a row lacked this VM."""
        return self._absences_by_vm.get(self._vm_id, (0.0, 0))[1] >= ABSENT_LISTS

    def gone(self, known: Iterable[str]) -> list[str]:
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

    def has_duty(self, duty: str, candidates: Iterable[str]) -> bool:
        """Return whether it is this VM's turn among `candidates` for `duty`.

        The first by rendezvous hashing acts at once, each further one later.
        """
        ranked = rank_members(duty, candidates)
        if self._vm_id not in ranked:
            return False
        since = self._duty_since.setdefault(duty, self._clock())
        return self._clock() - since >= TAKEOVER_S * ranked.index(self._vm_id)

    def forget_duties(self, open_duties: Iterable[str]) -> None:
        """Drop the start times of duties that are done."""
        kept = set(open_duties)
        self._duty_since = {
            duty: since for duty, since in self._duty_since.items() if duty in kept
        }
