"""Members that can forward requests to targets that this VM does not reach."""

import random
import secrets
from collections.abc import Set
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.membership import DIGESTS_MARK, Member

# Age up to which a member's report of its links is trusted: a few report intervals of a
# large fleet.
REPORT_TTL_S = 3.0


class _LinkReport(NamedTuple):
    received_at_s: float
    cut_off_services: frozenset[str]


class RelayMembers:
    """The members' relay addresses, and the services that they reach.

    `own_key` is the secret that other members send with requests for this one to
    forward. It is published in the member's record, which only members can read.
    """

    def __init__(self, *, clock: MonotonicClock, rng: random.Random) -> None:
        self.own_key = secrets.token_hex(16) + DIGESTS_MARK
        self._clock = clock
        self._rng = rng
        self._member_by_id: dict[str, Member] = {}
        self._report_by_id: dict[str, _LinkReport] = {}
        # Keys of starts of members that forward nothing more.
        self._ended_key_by_id: dict[str, str] = {}

    def update(self, members: list[Member]) -> None:
        """Set the other members that are registered now."""
        self._member_by_id = {member.vm_id: member for member in members}
        for gone in self._report_by_id.keys() - self._member_by_id.keys():
            del self._report_by_id[gone]
        self._ended_key_by_id = {
            vm_id: key
            for vm_id, key in self._ended_key_by_id.items()
            if vm_id in self._member_by_id
            and self._member_by_id[vm_id].relay_key == key
        }

    def record_report(self, vm_id: str, cut_off_services: Set[str]) -> None:
        """Record which services a member reports to be cut off from it."""
        self._report_by_id[vm_id] = _LinkReport(
            self._clock(), frozenset(cut_off_services)
        )

    def avoid_until_restart(self, member: Member) -> None:
        """Choose a member no more until its record is that of another start.

        The start that it names is stopping, or over.
        """
        self._ended_key_by_id[member.vm_id] = member.relay_key

    def choose(self, service: str, tried: Set[str]) -> Member | None:
        """Return a member that reaches the service and is not in `tried`."""
        oldest_s = self._clock() - REPORT_TTL_S
        usable = [
            member
            for vm_id, member in self._member_by_id.items()
            if member.relay_address
            and vm_id not in tried
            and self._ended_key_by_id.get(vm_id) != member.relay_key
            and (report := self._report_by_id.get(vm_id)) is not None
            and report.received_at_s >= oldest_s
            and service not in report.cut_off_services
        ]
        return self._rng.choice(usable) if usable else None
