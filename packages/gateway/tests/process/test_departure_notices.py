"""Tests of notices about departed targets, between members of a fleet."""

import asyncio
import random

from testtools import TestCase

from jaytray_gateway.process.departure_notices import DepartureNotices
from jaytray_gateway.process.directory import TargetDeparture
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_directory import Harness, wait_for_propagation

# Several times the delay of a message between members.
NOTICE_S = 0.1
# A member without other trouble sees a change within this time.
WATCH_S = 0.7


class Fleet:
    """Members with a copy of the same store each."""

    def __init__(self, *, members: int) -> None:
        ids = [f"vm{number}" for number in range(members)]
        self.network = MemberNetwork(ids, random.Random(1))
        self.store = KeyValueStore(clock=asyncio.get_running_loop().time)
        self.harnesses = [Harness(self.store) for _ in ids]
        for own, harness in zip(ids, self.harnesses, strict=True):
            DepartureNotices(
                peers=self.network.peers_of(own), directory=harness.directory
            )

    def known(self) -> list[int]:
        """Return the number of targets that each member sends requests to."""
        return [len(h.directory.targets_of("svc")) for h in self.harnesses]

    async def end(self) -> None:
        for harness in self.harnesses:
            await harness.end()


class DepartureNoticeTests(TestCase):
    def test_first_member_to_know_notifies_the_others(self) -> None:
        # stc-meals-grown inc1: slow links held up the changes at some members.
        async def check(left: bytes | None) -> None:
            fleet = Fleet(members=3)
            first, *slow = fleet.harnesses
            await first.put("targets/t1", b"ready")
            await wait_for_propagation()
            for harness in slow:
                harness.faults.set(Fault(FaultKind.SILENT, "watch"))
                harness.faults.set(Fault(FaultKind.SILENT, "get_prefix"))
            await first.put("targets/t1", left)
            await asyncio.sleep(WATCH_S + NOTICE_S)
            self.assertEqual([0, 0, 0], fleet.known())
            await fleet.end()

        run_virtual(check(b"leaving"))
        run_virtual(check(None))

    def test_target_that_registers_again_is_used(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=2)
            first, second = fleet.harnesses
            await first.put("targets/t1", b"ready")
            await wait_for_propagation()
            await first.put("targets/t1", None)
            await first.put("targets/t1", b"ready")
            await wait_for_propagation()
            self.assertEqual([1, 1], fleet.known())
            outdated = TargetDeparture("t1", "1", removed_at=1)
            second.directory.apply_departures([outdated])
            self.assertEqual([1, 1], fleet.known())
            await fleet.end()

        run_virtual(check())

    def test_outdated_entry_does_not_bring_a_leaving_target_back(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=1)
            (harness,) = fleet.harnesses
            await harness.put("targets/t1", b"ready")
            await wait_for_propagation()
            harness.directory.apply_departures([TargetDeparture("t1", "1")])
            await harness.put("targets/t1", b"ready")
            await wait_for_propagation()
            self.assertEqual([0], fleet.known())
            await fleet.end()

        run_virtual(check())

    def test_departure_of_another_start_is_ignored(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=1)
            (harness,) = fleet.harnesses
            await harness.put("targets/t1", b"ready")
            await wait_for_propagation()
            harness.directory.apply_departures([TargetDeparture("t1", "0")])
            self.assertEqual([1], fleet.known())
            await fleet.end()

        run_virtual(check())
