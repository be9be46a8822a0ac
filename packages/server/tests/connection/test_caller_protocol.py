"""Tests of malformed input from callers: its defined outcome, no request smuggling."""

import asyncio
import json
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from jaytray_server.connection.caller_protocol import CallerTimeouts
from jaytray_server.connection.callers import (
    DEFAULT_TIMEOUTS,
    bound_address,
    make_caller_server,
    open_caller_socket,
)

GOOD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
TWO_LENGTHS = GOOD.replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n")
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
BOTH_FRAMINGS = CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 4\r\n\r\n0\r\n\r\n")
CLOSED = b"closed"


class RecordingApp:
    """An application that records the paths it is called with."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.paths.append(scope["path"])
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            if not message.get("more_body"):
                break
        length = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": length})
        await send({"type": "http.response.body", "body": b"ok"})


def exchange(
    sent: list[bytes],
    *,
    pause_s: float = 0.05,
    timeouts: CallerTimeouts = DEFAULT_TIMEOUTS,
) -> tuple[bytes, list[str]]:
    """Return what is received, ending in CLOSED if closed, and the paths called."""
    app = RecordingApp()

    async def run() -> bytes:
        with open_caller_socket("127.0.0.1:0") as listener:
            server = make_caller_server(app, current_timeouts=lambda: timeouts)
            serving = asyncio.create_task(server.serve(sockets=[listener]))
            host, port = bound_address(listener).split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for part in sent:
                writer.write(part)
                await asyncio.sleep(pause_s)
            received = b""
            try:
                async with asyncio.timeout(0.4):
                    while part := await reader.read(4096):
                        received += part
                    received += CLOSED
            except (TimeoutError, ConnectionError):
                pass
            writer.close()
            server.should_exit = server.force_exit = True
            await serving
            return received

    return asyncio.run(run()), app.paths


class BadInputTests(TestCase):
    @parameterized.expand(
        [
            ("no_http", [b"\x00\x01\r\n\r\n"]),
            ("no_version", [b"GET /\r\n\r\n"]),
            ("two_lengths", [TWO_LENGTHS]),
            ("length_is_no_number", [GOOD.replace(b": 2", b": x")]),
            ("both_framings", [BOTH_FRAMINGS + SMUGGLED]),
            ("both_framings_apart", [BOTH_FRAMINGS, SMUGGLED]),
            ("no_host", [b"GET / HTTP/1.1\r\n\r\n"]),
            ("header_too_long", [b"GET / HTTP/1.1\r\nX: " + b"y" * 70_000]),
        ]
    )
    def test_is_refused_and_closed(self, _name: str, sent: list[bytes]) -> None:
        received, called = exchange(sent)
        self.assertEqual([], called)
        head, _, body = received.removesuffix(CLOSED).partition(b"\r\n\r\n")
        self.assertRegex(head, rb"^HTTP/1.1 400 ")
        self.assertEqual("not_run", json.loads(body)["error"]["execution"])
        self.assertTrue(received.endswith(CLOSED))

    def test_broken_chunk_closes_without_a_second_request(self) -> None:
        received, called = exchange([CHUNKED + b"zz\r\n" + SMUGGLED])
        self.assertNotIn("/smuggled", called)
        self.assertTrue(received.endswith(CLOSED))

    def test_pipelined_requests_get_responses_in_order(self) -> None:
        received, called = exchange([GOOD + SMUGGLED])
        self.assertEqual(["/a", "/smuggled"], called)
        self.assertEqual(2, received.count(b"HTTP/1.1 200"))

    def test_header_that_is_never_finished_ends_the_connection(self) -> None:
        received, _ = exchange(
            [b"GET / HTTP/1.1\r\nX-Slow: "],
            pause_s=0.2,
            timeouts=DEFAULT_TIMEOUTS._replace(header_s=0.1),
        )
        self.assertEqual(CLOSED, received)

    def test_connection_without_a_request_ends_after_the_idle_time(self) -> None:
        received, _ = exchange([], timeouts=DEFAULT_TIMEOUTS._replace(idle_s=0.1))
        self.assertEqual(CLOSED, received)

    def test_connection_that_is_idle_after_a_response_ends(self) -> None:
        received, called = exchange(
            [GOOD], timeouts=DEFAULT_TIMEOUTS._replace(idle_s=0.1)
        )
        self.assertEqual(["/a"], called)
        self.assertTrue(received.endswith(CLOSED))

    def test_connection_that_is_idle_for_less_is_kept(self) -> None:
        received, called = exchange(
            [GOOD, GOOD], timeouts=DEFAULT_TIMEOUTS._replace(idle_s=5.0)
        )
        self.assertEqual(["/a", "/a"], called)
        self.assertFalse(received.endswith(CLOSED))

    def test_slow_header_within_the_time_is_served(self) -> None:
        received, called = exchange([GOOD[:20], GOOD[20:]])
        self.assertEqual(["/a"], called)
        self.assertIn(b"200", received)
