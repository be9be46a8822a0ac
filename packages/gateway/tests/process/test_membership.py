"""Tests for members that still count after their records were removed."""

from testtools import TestCase

from jaytray_gateway.process.membership import (
    DEPARTED_GRACE_S,
    RENEW_INTERVAL_S,
    RecentMembers,
)


class RecentMembersTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        self.members = RecentMembers(clock=lambda: self.now_s)

    def update(self, ids: str) -> str:
        self.members.update(frozenset(ids))
        return "".join(sorted(self.members.ids))

    def test_members_count_until_they_can_have_registered_again(self) -> None:
        self.assertEqual("abc", self.update("abc"))
        # All leases have expired, and this member is the first to register again.
        self.now_s += RENEW_INTERVAL_S
        self.assertEqual("abc", self.update("a"))
        self.assertEqual("abc", self.update("abc"))
        self.now_s += DEPARTED_GRACE_S - 0.1
        self.assertEqual("abc", self.update("a"))

    def test_departed_member_stops_counting(self) -> None:
        self.update("ab")
        self.now_s += DEPARTED_GRACE_S
        self.assertEqual("a", self.update("a"))
