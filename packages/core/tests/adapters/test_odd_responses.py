"""Tests of servers whose responses are no HTTP, as the store and targets are called."""

import asyncio

from parameterized import parameterized
from testtools import TestCase
from testtools.matchers import Equals, MatchesStructure

from jaytray_core.adapters.http_pool import HttpPool, HttpRequest
from jaytray_core.adapters.remote_call import RemoteResponse, fetch_response
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from packages.core.tests.adapters.test_endless_responses import flooding_server

LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ODD = [
    ("status_000", b"HTTP/1.1 000 Unknown\r\n" + LENGTH + b"\r\nok"),
    ("status_099", b"HTTP/1.1 099 Unknown\r\n" + LENGTH + b"\r\nok"),
    ("status_600", b"HTTP/1.1 600 Unknown\r\n" + LENGTH + b"\r\nok"),
    ("status_999", b"HTTP/1.1 999 Unknown\r\n" + LENGTH + b"\r\nok"),
    ("status_of_two_digits", b"HTTP/1.1 20 OK\r\n" + LENGTH + b"\r\nok"),
    ("version_2", b"HTTP/2.0 200 OK\r\n" + LENGTH + b"\r\nok"),
    ("version_0", b"HTTP/0.9 200 OK\r\n" + LENGTH + b"\r\nok"),
    ("negative_length", b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"),
    ("length_and_chunks", b"HTTP/1.1 200 OK\r\n" + LENGTH + CHUNKED + b"\r\n0\r\n\r\n"),
    ("chunk_size", b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\nzz\r\nok\r\n0\r\n\r\n"),
]


async def call(raw: bytes) -> RemoteResponse:
    """Call a server that sends `raw` once."""
    async with flooding_server(raw, b"") as address:
        pool = HttpPool(address=address)
        try:
            return await fetch_response(pool, HttpRequest("GET", "/", [], b"", 5.0))
        finally:
            await pool.close()


class OddResponseTests(TestCase):
    @parameterized.expand(ODD)
    def test_is_no_response(self, _name: str, raw: bytes) -> None:
        error = self.assertRaises(ExchangeError, lambda: asyncio.run(call(raw)))
        broken = MatchesStructure(progress=Equals(ExchangeProgress.BROKEN))
        self.assertThat(error, broken)

    def test_error_status_is_a_response(self) -> None:
        raw = b"HTTP/1.1 599 Unknown\r\n" + LENGTH + b"\r\nok"
        self.assertEqual(599, asyncio.run(call(raw)).status)
