"""Tests of route tables that take long to transfer over slow links."""

import asyncio
import random
from typing import NamedTuple

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.route_table_notices import RouteTableNotices
from jaytray_gateway.process.store_follower import StoreFollower
from jaytray_gateway.process.store_reach import StoreReach
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.slow_link import SlowLink, through_link
from packages.gateway.tests.process.test_directory import ADAPTER

BOUND_S = 3.0
# Members in the fleet, of which the test runs some.
MEMBERS = 61
FAST_BYTES_PER_S = 12_500_000.0
SLOW_BYTES_PER_S = 625_000.0
# About 2,000 routes, and about 300.
LARGE_BYTES = 510_000
SMALL_BYTES = 90_000
TARGETS = 40
CHURN_INTERVAL_S = 0.05


class Change(NamedTuple):
    """Versions of the route table that follow each other after `gap_s`."""

    versions: int
    table_bytes: int
    gap_s: float


class Fleet:
    """Members that follow one store, some of them behind slow links."""

    def __init__(self, *, fast: int, slow: int, seed: int) -> None:
        self._rng = random.Random(seed)
        clock = asyncio.get_running_loop().time
        self.store = KeyValueStore(clock=clock, reports_every_write=True)
        self.directories: list[Directory] = []
        self._revision = 0
        self._tasks: list[asyncio.Task[None]] = []
        for number in range(TARGETS):
            self.store.compare_and_swap(f"targets/t{number}", 0, b"ready", "")
        self.put_table(1, SMALL_BYTES)
        rates = [FAST_BYTES_PER_S] * fast + [SLOW_BYTES_PER_S] * slow
        ids = [f"vm{number}" for number in range(len(rates))]
        self.network = MemberNetwork(ids, random.Random(seed))
        for own_id, rate in zip(ids, rates, strict=True):
            self._add_member(own_id, SlowLink(bytes_per_s=rate))
        self._tasks.append(asyncio.create_task(self._change_targets()))

    def put_table(self, version: int, table_bytes: int) -> None:
        """Write a version of the route table."""
        value = b"%d" % version + b" " * table_bytes
        swap = self.store.compare_and_swap("op/table", self._revision, value, "")
        self._revision = swap.revision

    async def apply(self, change: Change) -> float:
        """Return the time from the last version's write to its use at all members."""
        last = change.versions + 1
        for version in range(2, last + 1):
            await asyncio.sleep(change.gap_s)
            self.put_table(version, change.table_bytes)
        written_s = asyncio.get_running_loop().time()
        while any(
            directory.route_table is None or directory.route_table.version < last
            for directory in self.directories
        ):
            await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - written_s

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _add_member(self, own_id: str, link: SlowLink) -> None:
        clock = asyncio.get_running_loop().time
        key_value = through_link(
            in_process_key_value(self.store, FaultSwitches()), link
        )
        directory = Directory(key_value=key_value, adapter=ADAPTER, clock=clock)
        directory.member_count = MEMBERS
        follower = StoreFollower(
            directory=directory,
            key_value=key_value,
            clock=clock,
            rng=self._rng,
            bound_s=BOUND_S,
            reach=StoreReach(),
        )
        RouteTableNotices(
            peers=self.network.peers_of(own_id),
            directory=directory,
            follower=follower,
        )
        self.directories.append(directory)
        self._tasks.append(asyncio.create_task(self._follow(follower)))

    async def _follow(self, follower: StoreFollower) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        await asyncio.gather(follower.run_reads(), follower.run_watch())

    async def _change_targets(self) -> None:
        number = 0
        while True:
            key = f"targets/t{number % TARGETS}"
            found = self.store.get(key)
            assert found is not None
            self.store.compare_and_swap(key, found.revision, b"ready", "")
            number += 1
            await asyncio.sleep(CHURN_INTERVAL_S)


async def lateness_s(change: Change, *, fast: int, slow: int, seed: int) -> float:
    fleet = Fleet(fast=fast, slow=slow, seed=seed)
    await asyncio.sleep(10.0 + seed * 0.23)
    late_s = await fleet.apply(change)
    await fleet.end()
    return late_s


class LargeRouteTableTests(TestCase):
    @parameterized.expand(
        [
            ("one_member", Change(1, LARGE_BYTES, 0.0), 0, 1, 20),
            ("several_members", Change(1, LARGE_BYTES, 0.0), 2, 6, 3),
            ("two_changes", Change(2, LARGE_BYTES, 1.2), 2, 6, 3),
            ("many_changes", Change(12, LARGE_BYTES, 0.33), 8, 16, 2),
            ("many_small_changes", Change(25, SMALL_BYTES, 0.08), 2, 6, 3),
        ]
    )
    def test_route_table_is_in_force_in_time_behind_a_slow_link(
        self, _name: str, change: Change, fast: int, slow: int, seeds: int
    ) -> None:
        # stc-meals-grown: a version was in force 3.9 s after it was confirmed.
        late_s = [
            run_virtual(lateness_s(change, fast=fast, slow=slow, seed=seed))
            for seed in range(seeds)
        ]
        self.assertEqual([], [late for late in late_s if late > BOUND_S])
