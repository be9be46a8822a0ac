"""Tests of rendezvous hashing."""

from hypothesis import given, strategies as st
from testtools import TestCase

from jaytray_core.rendezvous import owner_of, rank_members

MEMBERS = st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=12)


class RendezvousTests(TestCase):
    @given(st.text(max_size=8), MEMBERS)
    def test_losing_a_member_moves_only_its_keys(
        self, key: str, members: set[str]
    ) -> None:
        ranked = rank_members(key, members)
        survivors = members - {ranked[1]}
        self.assertEqual(owner_of(key, members), ranked[0])
        self.assertEqual(owner_of(key, survivors), ranked[0])
        self.assertEqual(owner_of(key, members - {ranked[0]}), ranked[1])

    def test_no_members_have_no_owner(self) -> None:
        self.assertIsNone(owner_of("key", []))
