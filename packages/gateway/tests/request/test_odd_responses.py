"""Tests of responses that are no HTTP: their statuses, versions, lengths and chunks."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.membership import Member
from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import IDEMPOTENT, OK, RESUMABLE, STREAM
from packages.gateway.tests.request.harness import (
    ROUTE,
    GatewayHarness,
    ReceivedResponse,
    TargetLink,
)
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import open_fleet, run_with_harness

LENGTH = b"content-length: 2\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"


def render(status_line: bytes, framing: bytes = LENGTH, body: bytes = b"ok") -> bytes:
    return status_line + b"\r\nx-id: r1\r\nx-seal: s\r\n" + framing + b"\r\n" + body


ODD = [
    ("status_000", render(b"HTTP/1.1 000 Unknown")),
    ("status_099", render(b"HTTP/1.1 099 Unknown")),
    ("status_101", render(b"HTTP/1.1 101 Switching Protocols")),
    ("status_600", render(b"HTTP/1.1 600 Unknown")),
    ("status_999", render(b"HTTP/1.1 999 Unknown")),
    ("status_of_two_digits", render(b"HTTP/1.1 20 OK")),
    ("status_of_four_digits", render(b"HTTP/1.1 2000 OK")),
    ("signed_status", render(b"HTTP/1.1 -20 OK")),
    ("version_2", render(b"HTTP/2.0 200 OK")),
    ("version_0", render(b"HTTP/0.9 200 OK")),
    ("no_status_line", render(b"x-other: 1")),
    ("negative_length", render(b"HTTP/1.1 200 OK", b"content-length: -2\r\n")),
    ("length_of_letters", render(b"HTTP/1.1 200 OK", b"content-length: two\r\n")),
    ("two_lengths", render(b"HTTP/1.1 200 OK", LENGTH + b"content-length: 3\r\n")),
    ("length_and_chunks", render(b"HTTP/1.1 200 OK", LENGTH + CHUNKED, b"0\r\n\r\n")),
    ("other_coding", render(b"HTTP/1.1 200 OK", b"transfer-encoding: gzip\r\n")),
    ("chunk_size", render(b"HTTP/1.1 200 OK", CHUNKED, b"zz\r\nok\r\n0\r\n\r\n")),
]
ROUTES = [("plain", ROUTE), ("stream", STREAM), ("resumable", RESUMABLE)]


class OddTargetTests(TestCase):
    @parameterized.expand(
        [
            (f"{odd_name}_{route_name}", raw, route)
            for odd_name, raw in ODD
            for route_name, route in ROUTES
        ]
    )
    def test_caller_gets_a_failure_of_its_own(
        self, _name: str, raw: bytes, route: Route
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((502, True), (received.status, received.is_whole))
            self.assertNotIn(b"x-seal", received.headers)

        odd = ScriptedResponse(raw=raw)
        route = route._replace(timeout_s=30.0, max_attempts=1)
        run_with_harness(check, [odd], route=route)

    @parameterized.expand(ODD)
    def test_request_that_may_be_repeated_goes_to_another_target(
        self, _name: str, raw: bytes
    ) -> None:
        async def check(harness: GatewayHarness) -> None:
            received = await harness.send_request()
            self.assertEqual((200, b"ok"), (received.status, received.body))

        odd = ScriptedResponse(raw=raw)
        run_with_harness(check, [odd], [OK], route=IDEMPOTENT._replace(timeout_s=30.0))


@asynccontextmanager
async def odd_member(raw: bytes) -> AsyncIterator[str]:
    """Yield the relay address of a member that sends `raw` to each request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(raw)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


class OddMemberTests(TestCase):
    @parameterized.expand(ODD)
    def test_caller_gets_a_failure_of_its_own_member(
        self, _name: str, raw: bytes
    ) -> None:
        async def send() -> ReceivedResponse:
            route = ROUTE._replace(timeout_s=30.0)
            async with (
                odd_member(raw) as address,
                open_fleet([OK], route=route, vms=2) as fleet,
            ):
                cut_off = fleet.vms[0]
                cut_off.relays.update([Member("vm1", "", "a", "", address, "key")])
                cut_off.set_link(TargetLink.RESET)
                await cut_off.send_request()
                return await cut_off.send_request()

        received = asyncio.run(send())
        self.assertEqual((502, True), (received.status, received.is_whole))
        self.assertNotIn(b"x-seal", received.headers)
