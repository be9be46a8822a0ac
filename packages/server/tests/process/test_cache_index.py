"""Tests of the cache index: late, missing and duplicate events, and dispatches."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.targets import CacheEvent, CacheEventKind
from jaytray_server.process.cache_index import DISPATCH_HINT_S, CacheIndex

STORED, EVICTED = CacheEventKind.STORED, CacheEventKind.EVICTED
PREFIXES = ("p1", "p2", "p3")


def events(*changes: tuple[int, CacheEventKind, str]) -> list[CacheEvent]:
    return [CacheEvent(number, kind, "m", p, 64) for number, kind, p in changes]


class CacheIndexTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now_s = 0.0
        self.cache_index = CacheIndex(clock=lambda: self.now_s, max_prefixes=4)

    @parameterized.expand(
        [
            ("stored", [(1, STORED, "p1"), (2, STORED, "p2")], 2),
            ("evicted", [(1, STORED, "p1"), (2, EVICTED, "p1")], 0),
            ("doubled", [(1, STORED, "p1"), (2, EVICTED, "p1"), (1, STORED, "p1")], 0),
            ("gap", [(1, STORED, "p2"), (3, STORED, "p1")], 1),
            ("first_seen_late", [(7, STORED, "p1"), (8, STORED, "p2")], 2),
        ]
    )
    def test_events(
        self, _name: str, changes: list[tuple[int, CacheEventKind, str]], matched: int
    ) -> None:
        self.cache_index.apply_events("t", events(*changes))
        self.assertEqual(matched, self.cache_index.matched_prefixes("t", PREFIXES))

    def test_a_dispatch_hints_until_it_is_old_or_evicted(self) -> None:
        self.cache_index.record_dispatch("t", PREFIXES)
        self.assertEqual(3, self.cache_index.matched_prefixes("t", PREFIXES))
        self.cache_index.apply_events("t", events((1, EVICTED, "p3")))
        self.assertEqual(2, self.cache_index.matched_prefixes("t", PREFIXES))
        self.now_s = DISPATCH_HINT_S
        self.assertEqual(0, self.cache_index.matched_prefixes("t", PREFIXES))

    def test_the_number_of_prefixes_is_bounded(self) -> None:
        self.cache_index.record_dispatch("t", [f"x{n}" for n in range(9)])
        self.assertEqual(0, self.cache_index.matched_prefixes("t", ("x0",)))
        self.assertEqual(1, self.cache_index.matched_prefixes("t", ("x8",)))
