"""Tests for the stored records of quarantined requests and prompt parts."""

import asyncio

from testtools import TestCase

from jaytray_core.errors import JaytrayError
from jaytray_gateway.process.crash_guard import (
    MAX_BREAKS,
    QUARANTINE_S,
    CrashGuard,
)
from jaytray_gateway.process.leased_records import LeasedRecords, RecordKind
from jaytray_gateway.process.prompt_part_guard import (
    MAX_CRASHES,
    PART_QUARANTINE_S,
    SETTLE_S,
    PromptPartGuard,
)
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.test_directory import Harness
from packages.gateway.tests.process.test_small_parts import RUN_S, entry

# Longer than the pauses between watches and the delays of all ranks.
PROPAGATION_S = 6.0


class Member:
    """A directory, a guard and the records that connect them."""

    def __init__(self, own_id: str, harness: Harness) -> None:
        loop = asyncio.get_running_loop()
        self.harness = harness
        self.guard = PromptPartGuard(
            clock=loop.time,
            notify_peers=lambda _found: None,
            on_explained=lambda _incarnation: None,
        )
        self.crash_guard = CrashGuard(
            clock=loop.time, notify_peers=lambda _run_end: None
        )
        records = LeasedRecords(
            kinds_by_name={
                "part": RecordKind(
                    lease_s=PART_QUARANTINE_S,
                    items=self.guard.quarantined,
                    add=self.guard.quarantine,
                    end=self.guard.end_quarantine,
                ),
                "request": RecordKind(
                    lease_s=QUARANTINE_S,
                    items=self.crash_guard.quarantined,
                    add=self.crash_guard.quarantine,
                    end=self.crash_guard.end_quarantine,
                ),
            },
            directory=harness.directory,
            prefix="own/quarantine/",
            own_id=own_id,
            member_ids=lambda: frozenset("abc"),
            key_value=harness.reliable,
            clock=loop.time,
        )
        harness.tasks.append(asyncio.create_task(records.run()))

    def is_refused(self, part: str) -> bool:
        try:
            self.guard.check((part,))
        except JaytrayError:
            return True
        return False

    def is_request_refused(self, digest: str) -> bool:
        try:
            self.crash_guard.check(digest)
        except JaytrayError:
            return True
        return False

    async def crash_targets_with_request(self, digest: str) -> None:
        for number in range(MAX_BREAKS):
            sent_at_s = asyncio.get_running_loop().time()
            await asyncio.sleep(RUN_S)
            self.crash_guard.record_broken_response(
                digest, entry(f"t{number}"), sent_at_s=sent_at_s
            )

    async def crash_targets(self, part: str) -> None:
        for number in range(MAX_CRASHES):
            self.guard.record_break((part,), entry(f"t{number}"))
            await asyncio.sleep(SETTLE_S)

    def recorded_keys(self) -> list[str]:
        records = self.harness.directory.records_by_key
        return [key for key in records if key.startswith("own/quarantine/")]


class QuarantineRecordsTests(TestCase):
    def test_process_that_starts_later_refuses_a_harmful_part(self) -> None:
        async def check() -> None:
            harness = Harness()
            first = Member("a", harness)
            await first.crash_targets("harmful")
            await asyncio.sleep(PROPAGATION_S)
            later = Member("b", harness)
            self.assertFalse(later.is_refused("harmful"))
            await harness.put("own/members/b", b"x")
            await asyncio.sleep(PROPAGATION_S)
            self.assertTrue(later.is_refused("harmful"))
            await harness.end()

        run_virtual(check())

    def test_process_that_starts_later_refuses_a_harmful_request(self) -> None:
        async def check() -> None:
            harness = Harness()
            first = Member("a", harness)
            await first.crash_targets_with_request("digest")
            await asyncio.sleep(PROPAGATION_S)
            later = Member("b", harness)
            await harness.put("own/members/b", b"x")
            await asyncio.sleep(PROPAGATION_S)
            self.assertTrue(later.is_request_refused("digest"))
            self.assertFalse(later.is_request_refused("other"))
            await asyncio.sleep(QUARANTINE_S + PROPAGATION_S)
            self.assertFalse(later.is_request_refused("digest"))
            self.assertFalse(first.is_request_refused("digest"))
            self.assertEqual([], first.recorded_keys())
            await harness.end()

        run_virtual(check())

    def test_release_removes_the_record(self) -> None:
        async def check() -> None:
            harness = Harness()
            members = [Member(own_id, harness) for own_id in "abc"]
            await members[0].crash_targets("blamed")
            await asyncio.sleep(PROPAGATION_S)
            self.assertEqual(1, len(members[0].recorded_keys()))
            self.assertTrue(all(member.is_refused("blamed") for member in members))
            # The other members do not hear of the sound response.
            members[1].guard.record_begun_response(("blamed",))
            await asyncio.sleep(2 * PROPAGATION_S)
            self.assertEqual([], members[0].recorded_keys())
            self.assertFalse(any(member.is_refused("blamed") for member in members))
            await harness.end()

        run_virtual(check())

    def test_parts_of_any_form_have_a_short_key(self) -> None:
        async def check() -> None:
            harness = Harness()
            member = Member("a", harness)
            await member.crash_targets("\x00/" * 500)
            await asyncio.sleep(PROPAGATION_S)
            (key,) = member.recorded_keys()
            self.assertLess(len(key), 100)
            await harness.end()

        run_virtual(check())
