"""Tests of fleets that look up at which software version streams began.

Real directories, records and messages in virtual time; members are lost, started again
and cut off while targets of a service are replaced by those of another version.
"""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, NamedTuple
from unittest import mock

from hypothesis import given, settings, strategies
from testtools import TestCase

from jaytray_gateway.process import stream_origins
from jaytray_gateway.process.leased_records import LeasedRecords, RecordKind
from jaytray_gateway.process.software_versions import (
    VERSION_MEMORY_S,
    SoftwareVersions,
)
from jaytray_gateway.process.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.member_network import MemberNetwork
from packages.gateway.tests.process.test_directory import Harness

TARGETS = 4
# Interval at which a target writes its entry again.
HEARTBEAT_S = 1.2
RECORDS_PREFIX = "own/software/"


class Member:
    """What one process knows of versions and streams."""

    def __init__(self, own: str, fleet: "Fleet") -> None:
        clock = asyncio.get_running_loop().time
        self.harness = Harness(fleet.store)
        directory = self.harness.directory
        self.versions = SoftwareVersions(directory=directory, clock=clock)
        self.origins = StreamOrigins(
            peers=fleet.network.peers_of(own),
            directory=directory,
            versions=self.versions,
            clock=clock,
        )
        directory.on_change(self.origins.update)
        records = LeasedRecords(
            kinds_by_name={
                "version": RecordKind(
                    lease_s=VERSION_MEMORY_S,
                    items=self.versions.recordable,
                    add=self.versions.add_recorded,
                    end=self.versions.end_recorded,
                )
            },
            directory=directory,
            prefix=RECORDS_PREFIX,
            own_id=own,
            member_ids=lambda: frozenset(fleet.network.listed),
            key_value=self.harness.reliable,
            clock=clock,
        )
        self.harness.tasks.append(asyncio.create_task(records.run()))

    def cut_off(self) -> None:
        self.harness.faults.set(Fault(FaultKind.DOWN))


class Lookup(NamedTuple):
    """The version that began a stream, and the one that was found for it, if any."""

    began: str
    found: str | None


class Fleet:
    """Members before targets of one service, and streams that begin and break."""

    def __init__(self, *, members: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = KeyValueStore(clock=asyncio.get_running_loop().time)
        self.network = MemberNetwork(
            [f"vm{number}" for number in range(members)], self.rng
        )
        self.by_id = {own: Member(own, self) for own in self.network.member_ids}
        self.lookups: list[Lookup] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run_target(self, name: str, version: str) -> None:
        """Register a target and write its entry again until cancelled."""
        harness = next(iter(self.by_id.values())).harness
        while True:
            await harness.put(f"targets/{name}", f"ready {version}".encode())
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.8, 1.0))

    async def run_stream(self, number: int) -> None:
        """Begin a stream at a member, and continue it at another one."""
        began_at = self.rng.choice(sorted(self.by_id))
        targets = sorted(self.by_id[began_at].harness.directory.targets_by_id.items())
        if not targets:
            return
        origin = StreamOrigin("svc", self.rng.choice(targets)[1].software_version)
        key = stream_key("barns", f"r{number}")
        self.by_id[began_at].origins.record(key, origin)
        await asyncio.sleep(self.rng.uniform(0.05, 3.0))
        # Callers may come to a member that is cut off.
        found = await self.by_id[self.rng.choice(sorted(self.by_id))].origins.find(
            key, "svc", request_id="r"
        )
        version = found.software_version if found else None
        self.lookups.append(Lookup(origin.software_version, version))

    def reachable(self) -> list[str]:
        return sorted(set(self.by_id) - self.network.cut_off)

    async def restart(self, own: str) -> None:
        """End a member; it is listed on, and starts without memory a moment later."""
        member = self.by_id.pop(own)
        self.network.cut_off.add(own)
        await member.harness.end()
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self.by_id[own] = Member(own, self)
        self.network.cut_off.discard(own)

    async def cut_off(self, own: str) -> None:
        """Cut a member off from the others and from the key-value service."""
        self.network.cut_off.add(own)
        self.by_id[own].cut_off()
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.by_id[own].harness.faults.clear()
        self.network.cut_off.discard(own)

    async def play(self, *, replaced: int, faults: bool) -> list[Lookup]:
        """Replace targets by ones of version v2 one by one, while streams run."""
        targets = {
            f"t{number}": asyncio.create_task(self.run_target(f"t{number}", "v1"))
            for number in range(TARGETS)
        }
        await asyncio.sleep(2.0)
        self.start(self.run_streams())
        if faults:
            self.start(self.run_faults())
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        for number in range(replaced):
            name = f"n{number}"
            targets[name] = asyncio.create_task(self.run_target(name, "v2"))
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
            targets.pop(f"t{number}").cancel()
            await next(iter(self.by_id.values())).harness.put(
                f"targets/t{number}", None
            )
        await asyncio.gather(*self.tasks)
        for task in targets.values():
            task.cancel()
        for member in self.by_id.values():
            await member.harness.end()
        return self.lookups

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.add(asyncio.create_task(coroutine))

    async def run_streams(self) -> None:
        streams = []
        for number in range(150):
            await asyncio.sleep(self.rng.expovariate(20.0))
            streams.append(asyncio.create_task(self.run_stream(number)))
        await asyncio.gather(*streams)

    async def run_faults(self) -> None:
        for _ in range(4):
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            own = self.rng.choice(self.reachable())
            await self.rng.choice((self.restart, self.cut_off))(own)


def play(*, members: int, seed: int, replaced: int, faults: bool) -> list[Lookup]:
    async def run() -> list[Lookup]:
        fleet = Fleet(members=members, seed=seed)
        return await fleet.play(replaced=replaced, faults=faults)

    return run_virtual(run())


def wrong(lookups: list[Lookup]) -> list[Lookup]:
    return [found for found in lookups if found.found not in (None, found.began)]


class FleetTests(TestCase):
    @settings(max_examples=20)
    @given(
        members=strategies.sampled_from([2, 3, 8, 20]),
        replaced=strategies.integers(0, TARGETS),
        seed=strategies.integers(0, 10_000),
    )
    def test_no_stream_is_taken_for_one_of_another_version(
        self, members: int, replaced: int, seed: int
    ) -> None:
        lookups = play(members=members, seed=seed, replaced=replaced, faults=True)
        self.assertEqual([], wrong(lookups))

    def test_streams_are_found_without_faults(self) -> None:
        for members in (1, 2, 8):
            lookups = play(members=members, seed=members, replaced=2, faults=False)
            self.assertEqual([], [found for found in lookups if found.found is None])

    def test_nearly_all_streams_are_found_in_a_large_fleet(self) -> None:
        lookups = play(members=40, seed=1, replaced=2, faults=False)
        found = sum(lookup.found is not None for lookup in lookups)
        self.assertGreater(found, 0.95 * len(lookups))

    def test_most_streams_are_found_with_faults(self) -> None:
        for replaced in (0, 2):
            lookups = play(members=8, seed=1, replaced=replaced, faults=True)
            found = sum(lookup.found is not None for lookup in lookups)
            self.assertGreater(found, 0.8 * len(lookups))

    def test_stale_copies_of_the_directory_would_mislead(self) -> None:
        async def trust_any_copy(*_arguments: object) -> bool:
            return True

        with (
            mock.patch.object(stream_origins, "MAX_COPY_AGE_S", 1e9),
            mock.patch.object(stream_origins, "COPIES", 0),
            mock.patch(
                "jaytray_gateway.process.directory.Directory.wait_until_current",
                trust_any_copy,
            ),
        ):
            lookups = [
                lookup
                for seed in range(20)
                for lookup in play(members=3, seed=seed, replaced=4, faults=True)
            ]
        self.assertNotEqual([], wrong(lookups))


class StartedLaterTests(TestCase):
    def test_member_learns_of_a_version_whose_targets_are_gone(self) -> None:
        async def check() -> None:
            fleet = Fleet(members=2, seed=1)
            harness = fleet.by_id["vm0"].harness
            await harness.put("targets/t0", b"ready v1")
            await harness.put("targets/n0", b"ready v2")
            await asyncio.sleep(3.0)
            await harness.put("targets/t0", None)
            await asyncio.sleep(1.0)
            await fleet.restart("vm0")
            await fleet.restart("vm1")
            await asyncio.sleep(3.0)
            versions = fleet.by_id["vm1"].versions
            self.assertEqual({"v1", "v2"}, versions.recent("svc"))
            await asyncio.sleep(VERSION_MEMORY_S + 5.0)
            self.assertEqual({"v2"}, versions.recent("svc"))
            for member in fleet.by_id.values():
                await member.harness.end()

        run_virtual(check())
