"""Tests for members that still count after their records were removed."""

from testtools import TestCase

from jaytray_gateway.process.membership import (
    DEPARTED_S,
    RENEW_INTERVAL_S,
    CountedMembers,
)


class CountedMembersTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        self.counted = CountedMembers(clock=lambda: self.now_s)

    def update(self, ids: str) -> str:
        self.counted.update(frozenset(ids))
        return "".join(sorted(self.counted.ids))

    def test_records_that_lapsed_together_count_until_they_may_be_back(self) -> None:
        self.assertEqual("abc", self.update("abc"))
        # All leases have expired, and this member is the first to register again.
        self.now_s += RENEW_INTERVAL_S
        self.assertEqual("abc", self.update("a"))
        self.assertEqual("abc", self.update("abc"))
        self.now_s += DEPARTED_S - 0.1
        self.assertEqual("abc", self.update("a"))

    def test_member_that_is_gone_counts_no_longer(self) -> None:
        self.update("ab")
        self.now_s += DEPARTED_S
        self.assertEqual("a", self.update("a"))
