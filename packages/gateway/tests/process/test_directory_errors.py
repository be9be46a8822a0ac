"""Tests that an unexpected error in applying one change stops no other."""

import asyncio

from testtools import TestCase

from jaytray_gateway.process.store_follower import FULL_READ_INTERVAL_S
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.test_directory import (
    BOUND_S,
    Harness,
    wait_for_propagation,
)


class DirectoryErrorTests(TestCase):
    def test_entry_that_fails_its_decoder_keeps_nothing_else_back(self) -> None:
        # The tasks that follow the service ended with it, again and again.
        async def run() -> None:
            harness = Harness()
            await harness.put("op/table", b"3")
            await harness.put("targets/t1", b"ready")
            await wait_for_propagation()
            await harness.put("targets/t1", b"ready/not a number")
            await harness.put("targets/t2", b"ready")
            await harness.put("op/table", b"4")
            await wait_for_propagation()
            directory = harness.directory
            assert directory.route_table is not None
            self.assertEqual(4, directory.route_table.version)
            self.assertEqual({"t2"}, set(directory.targets_by_id))
            await asyncio.sleep(FULL_READ_INTERVAL_S)
            self.assertLess(directory.age_s(), BOUND_S)
            await harness.end()

        run_virtual(run())

    def test_listener_that_fails_keeps_nothing_else_back(self) -> None:
        async def run() -> None:
            harness = Harness()
            heard: list[int] = []

            def fail() -> None:
                raise OverflowError("int too large to convert to float")

            harness.directory.on_change(fail)
            harness.directory.on_change(lambda: heard.append(1))
            await harness.put("op/table", b"3")
            await wait_for_propagation()
            await harness.put("op/table", b"4")
            await wait_for_propagation()
            assert harness.directory.route_table is not None
            self.assertEqual(4, harness.directory.route_table.version)
            self.assertEqual(2, len(heard))
            await harness.end()

        run_virtual(run())
