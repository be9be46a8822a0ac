"""Tests that a starting process serves no older route table than other members."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from jaytray_gateway.process.membership import Member
from jaytray_gateway.process.table_version_check import (
    MAX_WAIT_S,
    OUTDATED_RECORDS_S,
    REPLY_TIMEOUT_S,
    TableVersionCheck,
    VersionReply,
)
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.test_directory import Harness

# Time for the first read of the store.
READ_S = 0.05


def member(vm_id: str) -> Member:
    return Member(vm_id, "127.0.0.1:1", "a", "key", "127.0.0.1:2", "relay")


class Start:
    """A process that starts while the store has version 3 of the route table."""

    def __init__(self, version_by_id: dict[str, int | None]) -> None:
        self.harness = Harness()
        self.version_by_id = version_by_id
        self.has_returned = True
        # Members that have started again since their records were written.
        self.restarted: set[str] = set()
        self.check = TableVersionCheck(
            directory=self.harness.directory,
            other_members=lambda: [member(vm_id) for vm_id in self.version_by_id],
            may_be_outdated=lambda: self.has_returned,
            ask=self._ask,
            clock=asyncio.get_running_loop().time,
        )
        self.task = asyncio.create_task(self.check.run())

    async def _ask(self, asked: Member, timeout_s: float) -> VersionReply | None:
        if asked.vm_id in self.restarted:
            return VersionReply(None)
        version = self.version_by_id[asked.vm_id]
        if version is None:
            await asyncio.sleep(timeout_s)
            return None
        return VersionReply(version)


def run_start(
    versions: dict[str, int | None], check: Callable[[Start], Awaitable[None]]
) -> None:
    async def run() -> None:
        start = Start(versions)
        await start.harness.put("op/table", b"3")
        await check(start)
        start.task.cancel()
        await start.harness.end()

    run_virtual(run())


class TableVersionCheckTests(TestCase):
    def test_nothing_is_served_before_the_replies(self) -> None:
        async def check(start: Start) -> None:
            self.assertFalse(start.check.is_confirmed())
            await asyncio.sleep(READ_S)
            self.assertFalse(start.check.is_confirmed())
            await asyncio.sleep(REPLY_TIMEOUT_S)
            self.assertTrue(start.check.is_confirmed())

        run_start({"a": 3, "silent": None}, check)

    def test_single_process_serves_at_once(self) -> None:
        async def check(start: Start) -> None:
            await asyncio.sleep(READ_S)
            self.assertTrue(start.check.is_confirmed())

        run_start({}, check)

    def test_members_are_not_asked_if_the_store_never_returned(self) -> None:
        # Each start would cost calls to 16 members, and a silent one would delay it.
        async def check(start: Start) -> None:
            start.has_returned = False
            await asyncio.sleep(READ_S)
            self.assertTrue(start.check.is_confirmed())

        run_start({"silent": None}, check)

    def test_older_table_than_a_members_is_not_served(self) -> None:
        # The withdrawn key of version 4 was served after the drill.
        async def check(start: Start) -> None:
            await asyncio.sleep(5.0)
            self.assertFalse(start.check.is_confirmed())
            await start.harness.put("op/table", b"4")
            await asyncio.sleep(1.0)
            self.assertTrue(start.check.is_confirmed())

        run_start({"a": 3, "b": 4}, check)

    def test_member_that_registers_again_later_is_asked_too(self) -> None:
        async def check(start: Start) -> None:
            await asyncio.sleep(2.0)
            self.assertTrue(start.check.is_confirmed())
            start.version_by_id["a"] = 4
            await asyncio.sleep(1.0)
            self.assertFalse(start.check.is_confirmed())

        run_start({}, check)

    def test_members_with_outdated_records_have_time_to_register_again(self) -> None:
        # Soak seed 900203 of 14 s: the copy's record of the only other member that ran
        # was that of its earlier start.
        async def check(start: Start) -> None:
            start.restarted = {"a"}
            await asyncio.sleep(1.0)
            self.assertFalse(start.check.is_confirmed())
            start.restarted = set()
            await asyncio.sleep(1.0)
            self.assertFalse(start.check.is_confirmed())

        run_start({"a": 4, "dead": None}, check)

    def test_outdated_records_hold_a_start_back_for_a_short_time_only(self) -> None:
        async def check(start: Start) -> None:
            start.restarted = {"a"}
            await asyncio.sleep(OUTDATED_RECORDS_S + 1.0)
            self.assertTrue(start.check.is_confirmed())

        run_start({"a": 4}, check)

    def test_wait_for_a_table_that_never_comes_ends(self) -> None:
        async def check(start: Start) -> None:
            await asyncio.sleep(MAX_WAIT_S - 1.0)
            self.assertFalse(start.check.is_confirmed())
            await asyncio.sleep(2.0)
            self.assertTrue(start.check.is_confirmed())

        run_start({"a": 4}, check)
