"""Tests that fencing numbers of old and new builds compare, and rise over restores."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.membership import Member
from jaytray_gateway.process.placement.fencing_base import (
    LATER_BASE_DELAY_S,
    FencingBase,
)
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.request.wire_format import ADAPTER

KEY = "own/fencing_base"
ERA = 1 << 32
OLD_BUILD = Member("old", "127.0.0.1:1", "a", "key")
NEW_BUILD = Member("new", "127.0.0.1:2", "a", "key", "127.0.0.1:3", "relay")


class Site:
    """A store whose era the test sets, and members that follow it."""

    def __init__(self, *, era: int) -> None:
        self.era = era
        self.store = KeyValueStore(clock=asyncio.get_running_loop().time)
        self.key_value = in_process_key_value(self.store, FaultSwitches())
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, own_id: str, *others: Member) -> FencingBase:
        clock = asyncio.get_running_loop().time
        directory = Directory(key_value=self.key_value, adapter=ADAPTER, clock=clock)
        base = FencingBase(
            own_id=own_id,
            key=KEY,
            directory=directory,
            other_members=lambda: list(others),
            era_start=lambda revision: revision // ERA * ERA,
            key_value=self.key_value,
            clock=clock,
        )
        self.tasks.append(asyncio.create_task(self._follow(directory)))
        self.tasks.append(asyncio.create_task(base.run()))
        return base

    async def _follow(self, directory: Directory) -> None:
        while True:
            found = self.store.get(KEY)
            directory.records_by_key = {KEY: found.value} if found else {}
            directory.revision = self.era * ERA + 7
            await asyncio.sleep(0.5)

    async def lose_base(self) -> None:
        """Return from a copy that is older than the base."""
        found = self.store.get(KEY)
        assert found is not None
        self.store.compare_and_swap(KEY, found.revision, None, "")
        self.era += 1


def run_with_site(check: Callable[[Site], Awaitable[None]], *, era: int) -> None:
    async def run() -> None:
        site = Site(era=era)
        await check(site)
        for task in site.tasks:
            task.cancel()

    run_virtual(run())


class FencingBaseTests(TestCase):
    def test_numbers_compare_with_those_of_builds_without_eras(self) -> None:
        async def check(site: Site) -> None:
            base = site.start("a", OLD_BUILD)
            await asyncio.sleep(LATER_BASE_DELAY_S - 1.0)
            self.assertIsNone(base.base)
            await asyncio.sleep(3.0)
            self.assertEqual(3 * ERA, base.base)

        run_with_site(check, era=3)

    def test_numbers_compare_with_those_of_builds_that_count_all_eras(self) -> None:
        async def check(site: Site) -> None:
            base = site.start("a", NEW_BUILD)
            await asyncio.sleep(2.5)
            self.assertEqual(0, base.base)

        run_with_site(check, era=3)

    def test_base_is_known_at_once_in_the_first_era(self) -> None:
        async def check(site: Site) -> None:
            base = site.start("a", OLD_BUILD)
            await asyncio.sleep(0.3)
            self.assertEqual(0, base.base)

        run_with_site(check, era=0)

    def test_lost_base_is_written_again_and_not_replaced_by_a_later_one(self) -> None:
        async def check(site: Site) -> None:
            knows = site.start("a", OLD_BUILD)
            await asyncio.sleep(LATER_BASE_DELAY_S + 2.0)
            await site.lose_base()
            started = site.start("b", OLD_BUILD)
            await asyncio.sleep(LATER_BASE_DELAY_S + 2.0)
            self.assertEqual((ERA, ERA), (knows.base, started.base))

        run_with_site(check, era=1)

    def test_members_that_start_together_agree(self) -> None:
        async def check(site: Site) -> None:
            bases = [site.start("a", NEW_BUILD), site.start("b", OLD_BUILD)]
            await asyncio.sleep(LATER_BASE_DELAY_S + 5.0)
            self.assertEqual([0, 0], [base.base for base in bases])

        run_with_site(check, era=2)
