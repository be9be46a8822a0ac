"""The base from which the store's eras are counted in fencing numbers.

A fencing number is the revision of the leader's record without its era, as long as the
era is the base; each later era makes it higher than all before. Builds that do not know
the era use the bare revision, so the numbers of old and new builds are comparable
during an upgrade.

The base is stored once, as the revision that is subtracted, and never rises. If the
store returns from a copy without it, any member that knows it writes it again. The
lowest base that was ever known is in force, as it makes the highest numbers.
"""

import asyncio
from collections.abc import Callable
from typing import TypedDict

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_json, encode_json
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import rank_members
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.membership import Member

# Key of the record, relative to the platform adapter's own prefix.
FENCING_BASE_KEY = "fencing_base"
CHECK_INTERVAL_S = 0.25
# Delay of a write for each member with a better rank, longer than it takes to see
# another member's write, and the longest.
RANK_DELAY_S = 1.5
MAX_RANK_DELAY_S = 3.0
# Time for which a later era may be without a base before it becomes the base. Members
# that know an earlier one notice a return of the store within three quarters of the
# bound on a change (2.3 s) and a call (0.9 s), and write after their rank's delay.
LATER_BASE_DELAY_S = 7.0


class _Record(TypedDict):
    # Start of the era that is the base, as a revision.
    base: int


class FencingBase:
    """This member's knowledge of the base; `base` is None while it is unknown."""

    def __init__(
        self,
        *,
        own_id: str,
        key: str,
        directory: Directory,
        other_members: Callable[[], list[Member]],
        era_start: Callable[[int], int],
        key_value: KeyValueService,
        clock: MonotonicClock,
    ) -> None:
        self.base: int | None = None
        self._own_id = own_id
        self._key = key
        self._directory = directory
        self._other_members = other_members
        self._era_start = era_start
        self._key_value = key_value
        self._clock = clock
        # Since when the record has been missing or too high.
        self._lacking_since_s: float | None = None
        directory.on_change(self._learn)

    async def run(self) -> None:
        """Read the base, and write it whenever it is missing, until cancelled."""
        while True:
            try:
                await self._synchronize()
            except JaytrayError as err:
                get_logger().info("fencing_base_not_written", error=str(err))
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _learn(self) -> None:
        """Take the base over from the directory's copy."""
        known = [base for base in (self.base, self._stored()) if base is not None]
        if self._directory.revision and not self._current_era():
            # There is no earlier era, so this one is the base.
            known.append(0)
        if known:
            self.base = min(known)

    def _current_era(self) -> int:
        return self._era_start(self._directory.revision)

    async def _synchronize(self) -> None:
        if not self._directory.revision:
            return
        self._learn()
        if self.base is not None and self.base == self._stored():
            self._lacking_since_s = None
            return
        now_s = self._clock()
        if self._lacking_since_s is None:
            self._lacking_since_s = now_s
        base, delay_s = self._base_to_write()
        if now_s - self._lacking_since_s >= delay_s + self._rank_delay_s():
            await self._write(base)

    def _base_to_write(self) -> tuple[int, float]:
        """Return the base to write, and the time to wait for others to do so.

        Without members of builds that use bare revisions, the base is 0: then numbers
        are at least as high as any that other builds have used.
        """
        if self.base is not None:
            return self.base, 0.0
        if all(member.relay_key for member in self._other_members()):
            return 0, 0.0
        # Builds that do not know the era state no key for relays either.
        return self._current_era(), LATER_BASE_DELAY_S

    def _stored(self) -> int | None:
        value = self._directory.records_by_key.get(self._key)
        return None if value is None else self._decode(value)

    def _decode(self, value: bytes) -> int | None:
        try:
            return decode_json(value, _Record, peer=self._key)["base"]
        except JaytrayError as err:
            get_logger().warning("fencing_base_unreadable", error=str(err))
            return None

    def _rank_delay_s(self) -> float:
        others = self._other_members()
        ids = {self._own_id, *(m.vm_id for m in others if m.relay_key)}
        rank = rank_members(self._key, ids).index(self._own_id)
        return min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)

    async def _write(self, base: int) -> None:
        found = await self._key_value.get(self._key)
        written = self._decode(found.value) if found else None
        if written is not None and (self.base is None or written <= self.base):
            # Another member has written it, which the directory will show.
            return
        outcome = await self._key_value.compare_and_swap(
            self._key,
            found.revision if found else ABSENT_REVISION,
            encode_json(_Record(base=base)),
            "",
        )
        get_logger().info(
            "fencing_base_written", base=base, is_written=outcome.is_swapped
        )
        if outcome.is_swapped:
            self.base = base
