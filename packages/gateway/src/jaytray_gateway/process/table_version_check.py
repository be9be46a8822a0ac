"""Holds a starting process back while its route table is older than the other members'.

After the store has returned from an older copy, it gives a starting process an older
route table, with keys that have been withdrawn since, until the operator has written
the newer one again. Members that were running keep theirs. The process asks them for
their version, and serves nothing while its own is lower. A store that never returned
from an older copy is believed at once.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.membership import Member

# Time for the first replies. Members answer within milliseconds; one that is switched
# off does not at all.
REPLY_TIMEOUT_S = 0.3
# Members that lost their records with the store's return register again within about
# 2 s, and only then can be asked, so the process goes on asking for longer than that.
ASK_AGAIN_S = 0.5
ASKING_S = 10.0
# Time for which a process waits for its first reply if a member has another key than
# its record states: then the copy's records are older than the members, which register
# again within about 2 s.
OUTDATED_RECORDS_S = 2.5
OUTDATED_AGAIN_S = 0.1
# Enough to find one that was not started lately too.
MAX_REPLIES = 16
# Longest time that a process waits for a newer table. The operator writes what the
# store has lost soon after its return; a member's version may also be in error.
MAX_WAIT_S = 30.0


class VersionReply(NamedTuple):
    """Version of a member's route table, None if its record's key is outdated."""

    version: int | None


# Returns the reply of a member, None without one in time.
AskVersion = Callable[[Member, float], Awaitable[VersionReply | None]]


class TableVersionCheck:
    """Whether this process's route table is at least as new as the other members'."""

    def __init__(
        self,
        *,
        directory: Directory,
        other_members: Callable[[], list[Member]],
        may_be_outdated: Callable[[], bool],
        ask: AskVersion,
        clock: MonotonicClock,
    ) -> None:
        self._directory = directory
        self._may_be_outdated = may_be_outdated
        self._other_members = other_members
        self._ask = ask
        self._clock = clock
        self._has_asked = False
        self._heard_version = 0
        self._replied_ids: set[str] = set()
        self._begun_s: float | None = None
        self._is_behind = False
        self._is_over = False
        self._has_table = asyncio.Event()
        directory.on_change(self._on_change)

    def is_confirmed(self) -> bool:
        """Return whether requests may be served by the route table in force."""
        if self._is_over:
            return True
        table = self._directory.route_table
        if table is None or self._begun_s is None:
            return False
        if self._clock() - self._begun_s > MAX_WAIT_S:
            self._end_wait(table.version)
            return True
        if not self._has_asked:
            return False
        heard = self._heard_version
        is_behind = table.version < heard
        if is_behind and not self._is_behind:
            get_logger().warning(
                "route_table_behind", version=table.version, heard_version=heard
            )
        elif self._is_behind and not is_behind:
            get_logger().info(
                "route_table_caught_up", version=table.version, heard_version=heard
            )
        self._is_behind = is_behind
        return not is_behind

    async def run(self) -> None:
        """Ask the other members for their versions; then wait until cancelled."""
        await self._has_table.wait()
        begun_s = self._clock()
        if not self._may_be_outdated():
            self._is_over = True
        while not self._is_over and self._clock() - begun_s < ASKING_S:
            has_outdated = await self._ask_members()
            is_over = self._clock() - begun_s >= OUTDATED_RECORDS_S
            if self._replied_ids or not has_outdated or is_over:
                self._has_asked = True
            pause_s = ASK_AGAIN_S if self._has_asked else OUTDATED_AGAIN_S
            await asyncio.sleep(pause_s)
        await asyncio.Event().wait()

    def _on_change(self) -> None:
        if self._directory.route_table is not None and self._begun_s is None:
            self._begun_s = self._clock()
            self._has_table.set()

    def _end_wait(self, version: int) -> None:
        self._is_over = True
        if self._is_behind or not self._has_asked:
            get_logger().error(
                "route_table_wait_ended",
                version=version,
                heard_version=self._heard_version,
            )

    async def _ask_members(self) -> bool:
        """Ask members that have not replied yet, all at the same time.

        Returns whether the record of one of them is outdated.
        """
        members = [
            member
            for member in self._other_members()
            if member.relay_address and member.vm_id not in self._replied_ids
        ]
        members = members[: MAX_REPLIES - len(self._replied_ids)]
        replies = await asyncio.gather(
            *(self._ask(member, REPLY_TIMEOUT_S) for member in members)
        )
        has_outdated = False
        for member, reply in zip(members, replies, strict=True):
            if reply is None:
                continue
            if reply.version is None:
                has_outdated = True
                continue
            self._replied_ids.add(member.vm_id)
            self._heard_version = max(self._heard_version, reply.version)
        return has_outdated
