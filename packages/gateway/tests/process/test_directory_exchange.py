"""Tests of copies that are updated from the copies of hubs."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.keyvalue import WatchBatch
from jaytray_gateway.process import directory_exchange, store_follower
from jaytray_gateway.process.directory import Directory, TargetDeparture
from jaytray_gateway.process.directory_exchange import (
    DirectoryExchange,
    UpdateResult,
    _Answer,
)
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.virtual_loop import run_virtual
from packages.gateway.tests.process.directory_fleet import (
    CALL_S,
    MAX_AGE_S,
    HubFleet,
)

Trouble = Callable[[HubFleet], Awaitable[None]]
SETTLE_S = 6.0


class AgeOfAnswerExchange(DirectoryExchange):
    """Broken: takes a copy to be as old as the hub said when the answer arrives."""

    def _apply(self, answer: _Answer, asked_s: float) -> UpdateResult:
        return super()._apply(answer, self._clock())


class EndOfCallDirectory(Directory):
    """Broken: counts the age from the end of a call."""

    def apply_batch(
        self, batch: WatchBatch, begun_s: float, *, is_from_hub: bool = False
    ) -> None:
        as_of_s = begun_s if is_from_hub else self._clock()
        super().apply_batch(batch, as_of_s, is_from_hub=is_from_hub)


class PatientExchange(DirectoryExchange):
    """Broken: waits for a hub however long it takes."""

    async def update(self, ends_s: float) -> UpdateResult:
        self._timeout_s = 10.0
        return await super().update(inf)


class ForgetfulExchange(DirectoryExchange):
    """Broken: ignores what a hub says of restores and outages."""

    def _apply(self, answer: _Answer, asked_s: float) -> UpdateResult:
        restores = self._directory.restores or 0
        answer = answer._replace(restores=restores, outage_age_s=None)
        return super()._apply(answer, asked_s)


async def unreachable_hub(fleet: HubFleet) -> None:
    fleet.network.cut_off.add("vm0")
    await asyncio.sleep(8.0)


async def silent_hub(fleet: HubFleet) -> None:
    await fleet.members[0].freeze(8.0)


async def silent_hubs(fleet: HubFleet) -> None:
    await asyncio.gather(*(member.freeze(8.0) for member in fleet.members[:2]))


async def frozen_hub(fleet: HubFleet) -> None:
    await fleet.members[0].freeze(5.0)
    await asyncio.sleep(3.0)


async def restarted_hub(fleet: HubFleet) -> None:
    await fleet.members[0].stop()
    fleet.members[0].start()
    await asyncio.sleep(4.0)


async def hub_without_store(fleet: HubFleet) -> None:
    fleet.members[0].faults.set(Fault(FaultKind.SILENT))
    await asyncio.sleep(8.0)


async def hub_behind(fleet: HubFleet) -> None:
    fleet.members[0].faults.set(Fault(FaultKind.SLOW, delay_s=0.5))
    await asyncio.sleep(8.0)


async def slow_messages(fleet: HubFleet) -> None:
    fleet.network.delays_s = (0.0, 0.5)
    await asyncio.sleep(8.0)


async def lost_messages(fleet: HubFleet) -> None:
    fleet.network.loss = 0.2
    await asyncio.sleep(8.0)


async def frozen_member(fleet: HubFleet) -> None:
    await fleet.members[5].freeze(4.0)
    await asyncio.sleep(1.0)
    fleet.max_age_s_by_id.clear()
    await asyncio.sleep(3.0)


TROUBLES: list[tuple[Trouble]] = [
    (unreachable_hub,),
    (silent_hub,),
    (silent_hubs,),
    (frozen_hub,),
    (restarted_hub,),
    (hub_without_store,),
    (hub_behind,),
    (slow_messages,),
    (lost_messages,),
    (frozen_member,),
]


async def understated_ages(
    exchange: type[DirectoryExchange], directory: type[Directory]
) -> int:
    """Return how often a copy lacked a change that it claimed to have."""
    fleet = HubFleet(exchange_class=exchange, directory_class=directory)
    fleet.network.delays_s = (0.0, 0.5)
    await asyncio.sleep(SETTLE_S)
    await fleet.end()
    return len(fleet.false_ages)


async def trouble_ages_s(
    trouble: Trouble, seed: int, exchange: type[DirectoryExchange]
) -> tuple[float, int]:
    """Return the highest age of a copy, and how often one lacked a change."""
    fleet = HubFleet(seed=seed, exchange_class=exchange)
    await asyncio.sleep(SETTLE_S + 0.17 * seed)
    fleet.reset()
    await trouble(fleet)
    await fleet.end()
    followers = set(fleet.member_ids) - set(fleet.hubs)
    return max(fleet.max_age_s_by_id[m] for m in followers), len(fleet.false_ages)


async def calls_in_step(seed: int, exchange: type[DirectoryExchange]) -> int:
    """Return the most calls to the store of ten members within 20 ms."""
    fleet = HubFleet(seed=seed, members=12, exchange_class=exchange)
    await asyncio.sleep(SETTLE_S + 0.17 * seed)
    fleet.reset()
    await silent_hubs(fleet)
    await fleet.end()
    times = [call.at_s for call in fleet.calls_of_followers()]
    return max(sum(0 <= t - begin < 0.02 for t in times) for begin in times)


async def bytes_of_large_table() -> tuple[int, set[int]]:
    """Return the bytes of a group's messages and the store reads of a member."""
    fleet = HubFleet()
    await asyncio.sleep(SETTLE_S)
    fleet.reset()
    # Not compressible to what a hub sends.
    fleet.put("op/table", b"2" + bytes(fleet.rng.choices(b" \t\n\r", k=500_000)))
    await asyncio.sleep(5.0)
    await fleet.end()
    tables = [member.directory.route_table for member in fleet.members]
    assert all(table is not None and table.version == 2 for table in tables)
    calls = fleet.calls_of_followers()
    reads = Counter(call.member for call in calls if call.function == "read")
    return fleet.message_bytes, set(reads.values())


async def members_that_noticed_restore(exchange: type[DirectoryExchange]) -> int:
    fleet = HubFleet(exchange_class=exchange)
    await asyncio.sleep(SETTLE_S)
    copied = fleet.store.copy_state()
    await asyncio.sleep(1.0)
    fleet.store.restore(copied)
    await asyncio.sleep(2.0)
    await fleet.end()
    return sum(member.directory.restored_at_s > 0 for member in fleet.members)


async def members_with_expired_target(
    exchange: type[DirectoryExchange], *, is_over: bool, seed: int = 1
) -> int:
    """Return the followers that send requests to a target whose entry expired.

    Its entry is removed while the hub has no connection to the store, or after that.
    """
    fleet = HubFleet(exchange_class=exchange, seed=seed)
    fleet.put("targets/expired", b"ready")
    await asyncio.sleep(SETTLE_S)
    fleet.members[0].faults.set(Fault(FaultKind.DOWN))
    await asyncio.sleep(0.9 if is_over else 3.0)
    if is_over:
        fleet.members[0].faults.clear()
        await asyncio.sleep(0.4)
    fleet.put("targets/expired", None)
    await asyncio.sleep(1.5)
    await fleet.end()
    ids_by_follower = [
        {target.target_id for target in member.directory.targets_of("svc")}
        for member in fleet.members[2:]
    ]
    return sum("expired" in ids for ids in ids_by_follower)


def count_departures(
    count_by_member: Counter[str], own_id: str, departures: list[TargetDeparture]
) -> None:
    count_by_member[own_id] += len(departures)


class DirectoryExchangeTests(TestCase):
    def test_members_follow_a_hub_instead_of_the_store(self) -> None:
        # Guards against members that watch the store as well: each call has a price.
        async def check() -> None:
            fleet = HubFleet()
            await asyncio.sleep(SETTLE_S)
            fleet.reset()
            await asyncio.sleep(10.0)
            await fleet.end()
            self.assertLess(max(fleet.max_age_s_by_id.values()), 1.4)
            watching = {c.member for c in fleet.calls if c.function == "watch"}
            self.assertEqual({"vm0"}, watching)
            followers = len(fleet.member_ids) - 1
            asked = fleet.messages["gateway.directory_ask"]
            self.assertLess(asked / followers / 10.0, 2.0)

        run_virtual(check())

    def test_only_the_hub_announces_a_departure(self) -> None:
        # Guards against a whole group that announces what its hub has announced.
        async def check() -> None:
            fleet = HubFleet()
            await asyncio.sleep(SETTLE_S)
            announcing: Counter[str] = Counter()
            for member in fleet.members:
                member.directory.on_departure(
                    partial(count_departures, announcing, member.own_id)
                )
            await asyncio.sleep(5.0)
            await fleet.end()
            self.assertEqual({"vm0"}, set(announcing))

        run_virtual(check())

    @parameterized.expand(TROUBLES)
    def test_copies_stay_young_and_true(self, trouble: Trouble) -> None:
        # Guards against a bound that is missed, or an age that is understated, while a
        # hub or a link is in trouble.
        for seed in range(4):
            age_s, understated = run_virtual(
                trouble_ages_s(trouble, seed, DirectoryExchange)
            )
            self.assertLess(age_s, MAX_AGE_S + CALL_S)
            self.assertEqual(0, understated)

    def test_check_finds_an_old_copy(self) -> None:
        self.patch(store_follower, "READ_AGE_FRACTIONS", (1.0, 1.0))
        age_s, _ = run_virtual(trouble_ages_s(silent_hubs, 1, PatientExchange))
        self.assertGreater(age_s, MAX_AGE_S + CALL_S)

    def test_check_finds_an_understated_age(self) -> None:
        check = understated_ages
        self.assertEqual(0, run_virtual(check(DirectoryExchange, Directory)))
        self.assertNotEqual(0, run_virtual(check(AgeOfAnswerExchange, Directory)))
        self.assertNotEqual(
            0, run_virtual(check(DirectoryExchange, EndOfCallDirectory))
        )

    def test_members_do_not_call_the_store_in_step(self) -> None:
        # Guards against a burst of calls above the store's rate when hubs are lost:
        # all copies of a group come from one hub and are as old.
        for seed in range(6):
            self.assertLessEqual(run_virtual(calls_in_step(seed, DirectoryExchange)), 4)

    def test_check_finds_calls_in_step(self) -> None:
        self.patch(store_follower, "READ_AGE_FRACTIONS", (0.7, 0.7))
        found = [run_virtual(calls_in_step(seed, PatientExchange)) for seed in range(6)]
        self.assertGreater(max(found), 4)

    def test_large_value_is_read_once_from_the_store(self) -> None:
        # Guards against a hub whose link is taken by a large route table, and against
        # a table that is transferred with every question.
        sent_bytes, reads = run_virtual(bytes_of_large_table())
        self.assertLess(sent_bytes, 500_000)
        self.assertEqual({1}, reads)
        self.patch(directory_exchange, "MAX_SENT_VALUE_BYTES", 1_000_000)
        self.patch(directory_exchange, "MAX_ANSWER_BYTES", 1_000_000)
        sent_bytes, _ = run_virtual(bytes_of_large_table())
        self.assertGreater(sent_bytes, 500_000)

    def test_restore_is_noticed_through_a_hub(self) -> None:
        # Guards against members that go on with what the store has lost.
        check = members_that_noticed_restore
        self.assertEqual(8, run_virtual(check(DirectoryExchange)))
        self.assertLess(run_virtual(check(ForgetfulExchange)), 8)

    def test_outage_of_a_hub_is_the_members_outage_once_it_is_over(self) -> None:
        # Guards against a target that is dropped when its entry expires in an outage
        # that the member itself did not notice, and against one that is kept because
        # only the hub has lost the store.
        check = members_with_expired_target
        for seed in range(1, 9):
            found = run_virtual(check(DirectoryExchange, is_over=True, seed=seed))
            self.assertEqual(6, found)
            found = run_virtual(check(DirectoryExchange, is_over=False, seed=seed))
            self.assertEqual(0, found)
        self.assertEqual(0, run_virtual(check(ForgetfulExchange, is_over=True)))

    @parameterized.expand([("small_fleet", False), ("leader", True)])
    def test_store_is_used_alone(self, _name: str, is_leader: bool) -> None:
        # Guards against a change for fleets without hubs and for the leader.
        async def check() -> None:
            fleet = HubFleet(has_hubs=is_leader)
            for member in fleet.members:
                member.directory.is_placement_leader = is_leader
            await asyncio.sleep(SETTLE_S)
            await fleet.end()
            self.assertEqual(Counter(), fleet.messages)
            self.assertEqual(set(fleet.member_ids), {c.member for c in fleet.calls})

        run_virtual(check())
