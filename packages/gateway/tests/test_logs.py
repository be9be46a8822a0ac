"""Tests of the event table, the limit on log volume and a stalled log reader."""

import ast
import io
import pathlib
import threading
import time
from collections.abc import Iterator

import structlog
from testtools import TestCase

import jaytray_gateway
from jaytray_gateway.log_events import EVENTS
from jaytray_gateway.process.log_rate_limiter import LINES_PER_SECOND, LogRateLimiter
from jaytray_gateway.process.log_writer import QUEUE_LINES, bounded_log_stream

SOURCES = pathlib.Path(jaytray_gateway.__file__).parent
LEVELS = ("debug", "info", "warning", "error")


def logged() -> Iterator[tuple[str, set[str]]]:
    """Yield event and fields of each logging call in the package."""
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(
                node.func, ast.Attribute
            ):
                continue
            if node.func.attr in LEVELS and node.args:
                name, *_ = node.args
                assert isinstance(name, ast.Constant), path
                yield str(name.value), {str(k.arg) for k in node.keywords}


class EventTableTests(TestCase):
    def test_table_lists_what_is_logged(self) -> None:
        found: dict[str, set[str]] = {}
        for event, fields in logged():
            found.setdefault(event, set()).update(fields)
        listed = {event: set(fields) for event, fields in EVENTS.items()}
        self.assertEqual(listed, found)

    def test_no_event_names_a_key_or_a_body(self) -> None:
        fields = {field for fields in EVENTS.values() for field in fields}
        self.assertEqual(set(), fields & {"key", "api_key", "body", "headers"})


class VolumeTests(TestCase):
    def test_repeated_events_are_summed(self) -> None:
        now_s = [1.0]
        log_limiter = LogRateLimiter(clock=lambda: now_s[0])
        written = 0
        for _ in range(100):
            try:
                log_limiter.limit(None, "info", {"event": "target_failing"})
                written += 1
            except structlog.DropEvent:
                pass
        self.assertEqual(LINES_PER_SECOND, written)
        now_s[0] += 1.0
        event = log_limiter.limit(None, "info", {"event": "target_failing"})
        self.assertEqual(100 - LINES_PER_SECOND, event["left_out_before"])

    def test_lines_of_requests_are_never_dropped(self) -> None:
        log_limiter = LogRateLimiter(clock=lambda: 1.0)
        for _ in range(500):
            log_limiter.limit(None, "info", {"event": "request_finished"})


class StalledReader(io.StringIO):
    """A text stream whose writes block until `release` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_stalled = threading.Event()
        self.release = threading.Event()

    def write(self, text: str) -> int:
        self.is_stalled.set()
        self.release.wait(10.0)
        return super().write(text)


class StalledReaderTests(TestCase):
    def test_logging_does_not_block_and_dropped_lines_are_reported(self) -> None:
        reader = StalledReader()
        dropped: list[int] = []
        with bounded_log_stream(reader.write, set_dropped=dropped.append) as stream:
            # Block the writing thread with one line before the others are logged.
            stream.write("event=first\n")
            self.assertTrue(reader.is_stalled.wait(10.0))
            begun_s = time.monotonic()
            for number in range(3 * QUEUE_LINES):
                stream.write(f"event=x number={number}\n")
            self.assertLess(time.monotonic() - begun_s, 1.0)
            reader.release.set()
        text = reader.getvalue()
        self.assertIn("event=x number=0\n", text)
        self.assertIn("event=log_lines_dropped", text)
        self.assertGreater(dropped[-1], 0)
