"""Tests of route tables that hubs pass on, in a whole fleet in virtual time."""

import asyncio
import random
import zlib

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.codec import encode_msgpack
from jaytray_gateway.process.directory_exchange import MAX_SENT_VALUE_BYTES
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.directory_fleet import BOUND_S, HubFleet

FLEET = 24
SETTLE_S = 6.0
TABLE_BYTES = 34_000


def table(version: int, *, is_compressible: bool = True) -> bytes:
    """Return a route table as the adapter of these tests decodes it."""
    rng = random.Random(version)
    filler = b" \t" if is_compressible else b" \t\n\r"
    size = TABLE_BYTES if is_compressible else 4 * TABLE_BYTES
    return b"%d" % version + bytes(rng.choices(filler, k=size))


async def wait_until_in_force(fleet: HubFleet, version: int) -> float:
    """Return the time until all members that are not frozen have the version."""
    begun_s = fleet.clock()
    while fleet.clock() < begun_s + 2 * BOUND_S:
        tables = [m.directory.route_table for m in fleet.members if not m.is_frozen]
        if all(found and found.version >= version for found in tables):
            break
        await asyncio.sleep(0.01)
    return fleet.clock() - begun_s


def reads(fleet: HubFleet) -> int:
    return sum(call.function == "read" for call in fleet.calls)


class TableExchangeTests(TestCase):
    def test_values_of_the_tests_are_small_and_large_when_compressed(self) -> None:
        self.assertLess(len(zlib.compress(table(2))), MAX_SENT_VALUE_BYTES)
        large = table(2, is_compressible=False)
        self.assertGreater(len(zlib.compress(large)), MAX_SENT_VALUE_BYTES)

    @parameterized.expand([("small", True, 6), ("large", False, FLEET + 4)])
    def test_change_is_in_force_with_few_reads(
        self, _name: str, is_compressible: bool, most_reads: int
    ) -> None:
        async def check() -> None:
            fleet = HubFleet(members=FLEET, has_groups=True, has_notices=True)
            await asyncio.sleep(SETTLE_S)
            for version in (2, 3, 4):
                fleet.reset()
                fleet.put("op/table", table(version, is_compressible=is_compressible))
                self.assertLess(await wait_until_in_force(fleet, version), BOUND_S / 2)
                self.assertLessEqual(reads(fleet), most_reads)
                await asyncio.sleep(1.0)
            await fleet.end()
            self.assertEqual([], fleet.false_ages)

        run_virtual(check())

    def test_changes_in_quick_succession(self) -> None:
        async def check() -> None:
            fleet = HubFleet(members=FLEET, has_groups=True, has_notices=True)
            await asyncio.sleep(SETTLE_S)
            fleet.reset()
            for version in range(2, 14):
                fleet.put("op/table", table(version))
                await asyncio.sleep(0.1)
            self.assertLess(await wait_until_in_force(fleet, 13), BOUND_S / 2)
            self.assertLess(reads(fleet), FLEET)
            await fleet.end()

        run_virtual(check())

    @parameterized.expand([("frozen", True), ("store_rejects_them", False)])
    def test_change_is_in_force_in_time_without_the_sources(
        self, _name: str, is_frozen: bool
    ) -> None:
        async def check() -> None:
            fleet = HubFleet(members=FLEET, has_groups=True, has_notices=True)
            await asyncio.sleep(SETTLE_S)
            watching = {c.member for c in fleet.calls[-40:] if c.function == "watch"}
            freezes = []
            for member in fleet.members:
                if member.own_id not in watching:
                    continue
                if is_frozen:
                    freezes.append(asyncio.create_task(member.freeze(8.0)))
                else:
                    member.faults.set(Fault(FaultKind.DOWN))
            await asyncio.sleep(0.3)
            fleet.put("op/table", table(2))
            self.assertLess(await wait_until_in_force(fleet, 2), BOUND_S)
            await asyncio.gather(*freezes)
            await fleet.end()

        run_virtual(check())

    @parameterized.expand(
        [("empty", b""), ("no_zlib", b"xxxx"), ("cut", zlib.compress(table(2))[:50])]
    )
    def test_unusable_answer_is_no_table(self, _name: str, compressed: bytes) -> None:
        async def check() -> None:
            fleet = HubFleet(members=2)
            await asyncio.sleep(1.0)
            member = fleet.members[1]
            answer = encode_msgpack((1, 10**9, compressed))
            member.handlers["gateway.table_answer"]("vm0", answer)
            found = member.directory.route_table
            self.assertIsNotNone(found)
            self.assertEqual(1, found.version if found else 0)
            await fleet.end()

        run_virtual(check())
