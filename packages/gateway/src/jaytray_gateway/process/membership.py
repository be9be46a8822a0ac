"""Membership of gateway processes, by leased records in the key-value service.

A record holds the address for peers and the public CURVE key that the process generated
at its start, so only processes that may write to the key-value service can join. A
member whose lease has expired may still serve, because leases can expire during an
outage of the service. Such a member therefore keeps its share of rates and budgets
until it has had time to register again.
"""

import asyncio
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.process.store_reach import StoreReach

# Longer than the age of the copy at which a member stops serving, so that every member
# that may still serve is counted.
LEASE_TTL_S = 5.0
RENEW_INTERVAL_S = 1.2
RETRY_PAUSE_S = 0.3
# Time within which a running member whose record was removed is seen again: a renewal,
# a retry, the pause between other members' watches in a large fleet, and some calls.
DEPARTED_GRACE_S = 4.0
# End of the relay key of members that report to hubs and read digests. Earlier builds
# do not read records with further fields, and take this as a part of the key.
DIGESTS_MARK = "-d"


class Member(NamedTuple):
    """One gateway process: its VM, peer address and public CURVE key (Z85).

    `relay_address` is where it forwards requests of members that send `relay_key`,
    empty if it forwards none.
    """

    vm_id: str
    peer_address: str
    failure_domain: str
    curve_public_key: str
    relay_address: str = ""
    relay_key: str = ""

    def takes_digests(self) -> bool:
        """Return whether the member exchanges load reports by way of hubs."""
        return self.relay_key.endswith(DIGESTS_MARK)


def decode_members(values_by_key: dict[str, bytes], prefix: str) -> dict[str, Member]:
    """Return the members by VM id; unreadable records are logged and skipped."""
    members_by_id = {}
    for key, value in values_by_key.items():
        if not key.startswith(prefix):
            continue
        try:
            member = decode_json(value, Member, peer=key)
        except JaytrayError as err:
            get_logger().warning("member_unreadable", member=key, error=str(err))
            continue
        members_by_id[member.vm_id] = member
    return members_by_id


class RecentMembers:
    """Members that may still serve: registered now or until a short time ago."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self.ids: frozenset[str] = frozenset()
        self._clock = clock
        self._seen_at_s_by_id: dict[str, float] = {}

    def update(self, present: frozenset[str]) -> None:
        """Set the currently registered members."""
        now_s = self._clock()
        self._seen_at_s_by_id |= dict.fromkeys(present, now_s)
        self._seen_at_s_by_id = {
            vm_id: seen_at_s
            for vm_id, seen_at_s in self._seen_at_s_by_id.items()
            if now_s - seen_at_s < DEPARTED_GRACE_S
        }
        self.ids = frozenset(self._seen_at_s_by_id)


class Membership:
    """This process's record and its lease."""

    def __init__(
        self,
        *,
        own: Member,
        prefix: str,
        key_value: KeyValueService,
        reach: StoreReach,
    ) -> None:
        self.own = own
        self._key = prefix + own.vm_id
        self._key_value = key_value
        self._reach = reach
        self._lease_id = ""

    async def run(self) -> None:
        """Write the record and renew its lease until cancelled.

        Renews at once when a call of another task has failed, and often until one
        succeeds.
        """
        while True:
            try:
                is_kept = await self._renew()
            except JaytrayError as err:
                get_logger().info("member_lease_not_renewed", error=str(err))
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if is_kept:
                await wait_until_set(self._reach.lost, RENEW_INTERVAL_S)
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def leave(self) -> None:
        """Revoke the lease, which removes the record."""
        if self._lease_id:
            try:
                await self._key_value.revoke_lease(self._lease_id)
            except JaytrayError as err:
                get_logger().info("member_lease_not_ended", error=str(err))

    async def _renew(self) -> bool:
        if self._lease_id and await self._key_value.keep_lease(self._lease_id):
            return True
        self._lease_id = await self._key_value.grant_lease(LEASE_TTL_S)
        current = await self._key_value.get(self._key)
        revision = current.revision if current else ABSENT_REVISION
        outcome = await self._key_value.compare_and_swap(
            self._key, revision, encode_json(self.own), self._lease_id
        )
        get_logger().info(
            "member_recorded", is_written=outcome.is_swapped, lease=self._lease_id
        )
        if not outcome.is_swapped:
            self._lease_id = ""
        return outcome.is_swapped
