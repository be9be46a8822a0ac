"""Tests that the event buffer emits complete events, however a stream is split."""

import time

from hypothesis import given, strategies as st
from testtools import TestCase

from jaytray_gateway.request.event_buffer import EventBoundary, EventBuffer


def stream(count: int, line_end: bytes) -> bytes:
    lines = [
        b"id: %d%sdata: x%d%s%s" % (n, line_end, n, line_end, line_end)
        for n in range(1, count + 1)
    ]
    return b"".join(lines)


class EventBufferTests(TestCase):
    @given(
        st.integers(0, 8),
        st.sampled_from([b"\n", b"\r\n"]),
        st.lists(st.integers(0, 200)),
    )
    def test_pieces_are_joined_to_complete_events(
        self, count: int, line_end: bytes, cuts: list[int]
    ) -> None:
        data = stream(count, line_end)
        points = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
        buffer = EventBuffer()
        boundary = EventBoundary()
        passed = b""
        for begin, end in zip(points, points[1:], strict=False):
            passed += buffer.feed(data[begin:end])
            boundary.feed(data[begin:end])
            self.assertEqual(end - len(passed), boundary.event_bytes)
            self.assertTrue(passed == b"" or passed.endswith(line_end * 2))
            self.assertEqual(
                str(passed.count(b"id:")) if passed else "", buffer.last_event_id
            )
        self.assertEqual(data, passed)
        self.assertEqual(
            (0, count > 0), (boundary.event_bytes, boundary.is_after_event)
        )

    def test_work_is_linear_in_the_size_of_an_event(self) -> None:
        # Searching the whole event again for each chunk takes minutes here.
        buffer = EventBuffer()
        begun_s = time.process_time()
        for _ in range(200_000):
            self.assertEqual(b"", buffer.feed(b"x" * 8))
            if time.process_time() - begun_s > 10.0:
                self.fail("the work is not linear")
        self.assertEqual(1_600_002, len(buffer.feed(b"\n\n")))

    def test_dropped_partial_event_is_not_emitted(self) -> None:
        buffer = EventBuffer()
        self.assertEqual(b"id: 1\n\n", buffer.feed(b"id: 1\n\nid: 2\nda"))
        buffer.drop_partial()
        self.assertEqual(b"id: 2\n\n", buffer.feed(b"id: 2\n\n"))
