"""Tests for the groups of members and their hubs."""

import math

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.fleet_topology import (
    HUBS_PER_GROUP,
    MIN_HUB_MEMBERS,
    FleetTopology,
)

SIZES = [(MIN_HUB_MEMBERS,), (59,), (89,), (300,)]


def member_ids(count: int) -> list[str]:
    return [f"gw-{number:03}" for number in range(count)]


def topologies(ids: list[str]) -> dict[str, FleetTopology]:
    """Return the topology in the view of each member."""
    by_id = {}
    for own_id in ids:
        by_id[own_id] = FleetTopology(own_id=own_id)
        by_id[own_id].update(ids)
    return by_id


class FleetTopologyTests(TestCase):
    def test_small_fleet_has_no_hubs(self) -> None:
        for view in topologies(member_ids(MIN_HUB_MEMBERS - 1)).values():
            self.assertEqual((), view.own_hubs())
            self.assertFalse(view.is_hub())
            self.assertEqual(frozenset(), view.neighbours())

    @parameterized.expand(SIZES)
    def test_each_group_has_hubs_of_its_own(self, count: int) -> None:
        by_id = topologies(member_ids(count))
        groups = {frozenset({own, *view.own_group()}) for own, view in by_id.items()}
        self.assertEqual(count, sum(len(group) for group in groups))
        self.assertLessEqual(abs(len(groups) - math.sqrt(count)), 2)
        first_hubs = {view.own_hubs()[0] for view in by_id.values()}
        self.assertEqual(len(groups), len(first_hubs))
        for group in groups:
            hubs = {by_id[member].own_hubs() for member in group}
            self.assertEqual(1, len(hubs))
            own_hubs = hubs.pop()
            self.assertEqual(min(HUBS_PER_GROUP, len(group)), len(set(own_hubs)))
            self.assertLessEqual(set(own_hubs), group)
            for member in group:
                self.assertEqual(member in own_hubs, by_id[member].is_hub())
                self.assertEqual(first_hubs - {own_hubs[0]}, by_id[member].other_hubs())

    @parameterized.expand(SIZES)
    def test_links_grow_with_the_square_root(self, count: int) -> None:
        """Guards against a hub that serves a large part of the fleet."""
        links = [
            len(view.neighbours()) for view in topologies(member_ids(count)).values()
        ]
        self.assertLessEqual(max(links), 4 * math.sqrt(count))
        self.assertLessEqual(sum(links) / count, 6)

    @parameterized.expand(SIZES)
    def test_one_change_moves_few_members(self, count: int) -> None:
        """Guards against all members changing their hubs when one joins or leaves."""
        ids = member_ids(count)
        before = {own: view.own_hubs() for own, view in topologies(ids).items()}
        for changed in ([*ids, "gw-new"], ids[1:], ids[:-1]):
            if len(changed) < MIN_HUB_MEMBERS:
                continue
            after = topologies(changed)
            moved = [
                own
                for own in after
                if own in before and before[own] != after[own].own_hubs()
            ]
            self.assertLessEqual(len(moved), 3 * math.sqrt(count))

    def test_incremental_updates_give_the_same_groups(self) -> None:
        ids = member_ids(90)
        view = FleetTopology(own_id=ids[0])
        for count in (1, 20, 89, 90, 57, 58, 90):
            view.update(ids[:count])
        self.assertEqual(topologies(ids)[ids[0]].own_hubs(), view.own_hubs())
        self.assertEqual(topologies(ids)[ids[0]].other_hubs(), view.other_hubs())

    def test_silent_hubs_are_skipped_until_they_are_heard(self) -> None:
        by_id = topologies(member_ids(59))
        view = next(view for view in by_id.values() if not view.is_hub())
        first, second = view.own_hubs()
        view.mark_silent(first)
        self.assertEqual(second, view.own_hubs()[0])
        self.assertNotIn(first, view.own_hubs())
        self.assertEqual(HUBS_PER_GROUP, len(view.own_hubs()))
        view.mark_heard(first)
        self.assertEqual((first, second), view.own_hubs())
        other_hubs = view.other_hubs()
        silent = min(other_hubs)
        view.mark_silent(silent)
        added = view.other_hubs() - other_hubs
        self.assertEqual({by_id[silent].own_hubs()[1]}, added)
        # The marks of a member end with its record.
        view.mark_silent(first)
        view.update(by_id.keys() - {first})
        view.update(by_id)
        self.assertEqual((first, second), view.own_hubs())

    def test_member_that_hears_nobody_is_its_own_hub(self) -> None:
        view = topologies(member_ids(59))["gw-000"]
        for other in view.own_group():
            view.mark_silent(other)
        self.assertEqual(("gw-000",), view.own_hubs())
