"""Tests of asking another member for its route table's version over the relay port."""

import asyncio

from testtools import TestCase

from jaytray_gateway.connection.table_version_call import ask_table_version
from jaytray_gateway.process.table_version_check import VersionReply
from packages.gateway.tests.request.cases import OK
from packages.gateway.tests.request.support import open_fleet

TIMEOUT_S = 2.0
# Time for the members to report their links to each other.
REPORTED_S = 0.3


class TableVersionCallTests(TestCase):
    def test_member_states_its_version_to_those_that_know_its_key(self) -> None:
        async def run() -> None:
            async with open_fleet([OK], vms=2) as fleet:
                await asyncio.sleep(REPORTED_S)
                member = fleet.vms[0].relays.choose("svc", frozenset())
                assert member is not None
                reply = await ask_table_version(member, TIMEOUT_S)
                self.assertEqual(VersionReply(1), reply)
                outdated = member._replace(relay_key="of an earlier start")
                reply = await ask_table_version(outdated, TIMEOUT_S)
                self.assertEqual(VersionReply(None), reply)

        asyncio.run(run())

    def test_member_that_is_gone_gives_no_version(self) -> None:
        async def run() -> None:
            async with open_fleet([OK], vms=2) as fleet:
                await asyncio.sleep(REPORTED_S)
                member = fleet.vms[0].relays.choose("svc", frozenset())
            assert member is not None
            self.assertIsNone(await ask_table_version(member, TIMEOUT_S))

        asyncio.run(run())
