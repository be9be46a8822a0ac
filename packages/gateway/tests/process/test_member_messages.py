"""Tests of load reports in fleets where some members are of an earlier build."""

import asyncio
import random

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.codec import decode_json, encode_json, encode_msgpack
from jaytray_gateway.connection.target_pool import TargetConnectionPool
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.load_forecasts import LoadForecasts
from jaytray_gateway.process.load_view import PEER_REPORT_TTL_S, TargetLoad
from jaytray_gateway.process.member_messages import MemberMessages, Report
from jaytray_gateway.process.membership import Member, RecentMembers
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.replicas import Replicas
from jaytray_gateway.process.target_reach import TargetReach
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.hub_fleet import HubFleet, SimulatedMember
from packages.gateway.tests.process.test_directory import ADAPTER
from packages.gateway.tests.process.test_fleet_digests import SETTLED_S


def member_messages(member: SimulatedMember, ids: list[str]) -> MemberMessages:
    clock = asyncio.get_running_loop().time
    key_value = in_process_key_value(KeyValueStore(clock=clock), FaultSwitches())
    directory = Directory(key_value=key_value, adapter=ADAPTER, clock=clock)
    recent_members = RecentMembers(clock=clock)
    recent_members.update(frozenset(ids))
    messages = MemberMessages(
        peers=member.peers,
        loads=member.loads,
        recent_members=recent_members,
        replicas=Replicas(directory=directory, clock=clock),
        replica_demand=member.demand,
        forecasts=LoadForecasts(clock=clock),
        reach=TargetReach(
            directory=directory,
            pools=TargetConnectionPool(clock=clock),
            clock=clock,
            rng=random.Random(1),
        ),
        relays=member.relays,
        topology=member.topology,
        hub_rates=member.digests.hub_rates,
    )
    member.peers.set_handler("gateway.report", messages._handle_report)
    return messages


class MixedFleetTests(TestCase):
    @parameterized.expand([(20, 0), (20, 3), (20, 18), (20, 20), (15, 0), (15, 7)])
    def test_all_members_know_the_load_and_the_leader_the_demand(
        self, count: int, earlier_count: int
    ) -> None:
        """Guards against members that count twice or not at all during an upgrade."""

        async def scenario() -> None:
            fleet = HubFleet(count)
            earlier, later = fleet.ids[:earlier_count], fleet.ids[earlier_count:]
            tasks, messages_by_id = [], {}
            for own, member in fleet.by_id.items():
                # Members of earlier builds know no groups.
                member.topology.update([] if own in earlier else later)
                member.start_requests(1)
                messages_by_id[own] = member_messages(member, fleet.ids)
                tasks.append(asyncio.create_task(messages_by_id[own].run()))
                member.leader = later[-1] if later else earlier[-1]
            await asyncio.sleep(SETTLED_S + PEER_REPORT_TTL_S)
            for member in fleet.by_id.values():
                member.demand.add("m", 100.0)
                self.assertEqual(count, member.running())
            await asyncio.sleep(1.0)
            leader = fleet.by_id[later[-1] if later else earlier[-1]]
            rate = leader.demand.rates()["m"]
            total = messages_by_id[leader.peers.vm_id].replica_rates()["m"]
            self.assertGreaterEqual(total / rate, count - 0.5)
            self.assertLessEqual(total / rate, count * 1.5)
            for task in tasks:
                task.cancel()
            await fleet.end()

        run_virtual(scenario())

    def test_report_of_an_earlier_build_counts_as_before(self) -> None:
        async def scenario() -> None:
            fleet = HubFleet(20)
            member = fleet.by_id["gw-000"]
            messages = member_messages(member, [*fleet.ids, "old"])
            report = Report({"t": TargetLoad(2, {0: 9})}, {"m": 4.0}, {"t": ["m"]})
            messages._handle_report("old", encode_msgpack(report))
            await asyncio.sleep(SETTLED_S / 2)
            self.assertEqual(TargetLoad(2, {0: 9}), member.loads.load_of("t"))
            self.assertEqual({"m"}, member.loads.replicas_in_use("t"))
            self.assertEqual({"m": 4.0}, messages.replica_rates())
            await asyncio.sleep(PEER_REPORT_TTL_S)
            self.assertEqual(TargetLoad(0, {}), member.loads.load_of("t"))
            await fleet.end()

        run_virtual(scenario())

    def test_record_tells_whether_a_member_uses_hubs(self) -> None:
        """Guards against a record that earlier builds cannot read."""
        own_key = RelayMembers(clock=lambda: 0.0, rng=random.Random(1)).own_key
        member = Member("vm", "127.0.0.1:1", "a", "key", "127.0.0.1:2", own_key)
        self.assertTrue(member.takes_digests())
        self.assertFalse(member._replace(relay_key="0" * 32).takes_digests())
        self.assertEqual(6, len(decode_json(encode_json(member), list[str], peer="vm")))
