"""Tests of notices that reach all members by way of hubs, in virtual time."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.fleet_digests import SILENT_HUB_S
from jaytray_gateway.process.hub_notices import MIN_FORWARD_INTERVAL_S
from jaytray_gateway.process.hub_sums import HUB_TTL_S
from jaytray_gateway.process.peer_sends import send_to_others
from packages.gateway.tests.process.hub_fleet import HubFleet
from packages.gateway.tests.process.test_fleet_digests import SETTLED_S, run_fleet

# Two hops and the pause of a hub.
NOTICE_S = 0.05 + MIN_FORWARD_INTERVAL_S


class HubNoticeTests(TestCase):
    @parameterized.expand([("member",), ("hub",)])
    def test_each_other_member_hears_a_notice_once(self, kind: str) -> None:
        async def check(fleet: HubFleet) -> None:
            hub = fleet.hubs()[0]
            sender = hub if kind == "hub" else fleet.members_of(hub)[0]
            sent_before = fleet.network.sent_by_member[sender]
            send_to_others(fleet.by_id[sender].peers, "news", b"1")
            sent = fleet.network.sent_by_member[sender] - sent_before
            self.assertLessEqual(sent, len(fleet.hubs()) + len(fleet.members_of(hub)))
            await asyncio.sleep(NOTICE_S)
            for own, member in fleet.by_id.items():
                self.assertEqual([] if own == sender else [b"1"], member.heard)

        run_fleet(59, check)

    def test_frequent_notices_are_collected(self) -> None:
        """Guards against one message per notice and member at the leader's rate."""

        async def check(fleet: HubFleet) -> None:
            sender = fleet.by_id[fleet.members_of(fleet.hubs()[0])[0]]
            before = fleet.network.received_by_member.total()
            for number in range(32):
                send_to_others(sender.peers, "news", str(number).encode())
                await asyncio.sleep(1 / 32)
            received = fleet.network.received_by_member.total() - before
            # Digests and reports within this second are less than five each.
            self.assertLessEqual(received / 59, 1 / MIN_FORWARD_INTERVAL_S + 10)
            await asyncio.sleep(NOTICE_S)
            last = fleet.by_id[fleet.ids[-1]].heard
            self.assertEqual([str(number).encode() for number in range(32)], last)

        run_fleet(59, check)

    def test_lost_hub_costs_its_group_at_most_its_time_limit(self) -> None:
        async def check(fleet: HubFleet) -> None:
            hub = fleet.hubs()[0]
            group = fleet.members_of(hub)
            sender = next(own for own in fleet.ids if own not in (hub, *group))
            fleet.lose(hub)
            send_to_others(fleet.by_id[sender].peers, "news", b"1")
            await asyncio.sleep(HUB_TTL_S + SILENT_HUB_S)
            send_to_others(fleet.by_id[sender].peers, "news", b"2")
            await asyncio.sleep(NOTICE_S)
            for own, member in fleet.by_id.items():
                if own in group:
                    self.assertEqual([b"2"], member.heard)
                elif own != sender:
                    self.assertEqual([b"1", b"2"], member.heard)

        run_fleet(59, check)

    def test_member_without_digests_sends_to_each_other_one(self) -> None:
        """Guards against notices that are lost while a member has no hub yet."""

        async def check(fleet: HubFleet) -> None:
            sender = fleet.ids[5]
            fleet.lose(sender)
            fleet.network.cut_off.clear()
            fleet.by_id[sender] = fleet.start_member(sender, boot_epoch_ms=2)
            fleet.list_members(fleet.ids)
            send_to_others(fleet.by_id[sender].peers, "news", b"1")
            await asyncio.sleep(NOTICE_S)
            for own, member in fleet.by_id.items():
                self.assertEqual([] if own == sender else [b"1"], member.heard)

        run_fleet(59, check)

    def test_members_of_earlier_builds_are_sent_notices_directly(self) -> None:
        async def check(fleet: HubFleet) -> None:
            earlier = fleet.ids[40:]
            for own in fleet.ids:
                fleet.by_id[own].topology.update(
                    [] if own in earlier else fleet.ids[:40]
                )
            await asyncio.sleep(SETTLED_S)
            for sender in (fleet.ids[0], earlier[0]):
                send_to_others(fleet.by_id[sender].peers, "news", sender.encode())
            await asyncio.sleep(NOTICE_S)
            expected = [fleet.ids[0].encode(), earlier[0].encode()]
            for own, member in fleet.by_id.items():
                heard = [news for news in expected if news != own.encode()]
                self.assertEqual(heard, sorted(member.heard))

        run_fleet(59, check)

    def test_failing_handler_loses_no_other_notice(self) -> None:
        async def check(fleet: HubFleet) -> None:
            def fail(_sender: str, _body: bytes) -> None:
                raise ValueError("odd value")

            for member in fleet.by_id.values():
                member.peers.set_handler("odd", fail)
            sender = fleet.by_id[fleet.ids[0]]
            for topic in ("news", "odd", "news"):
                send_to_others(sender.peers, topic, b"1")
            await asyncio.sleep(NOTICE_S)
            self.assertEqual([b"1", b"1"], fleet.by_id[fleet.ids[-1]].heard)

        run_fleet(59, check)
