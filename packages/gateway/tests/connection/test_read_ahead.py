"""Tests of what arrives behind a running request, over loopback."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.connection.bounded_protocol import BoundedCallerProtocol
from packages.gateway.tests.connection.test_bounded_protocol import (
    GET,
    POST,
    Server,
    open_server,
    read_until_closed,
    refusal,
    wait_for,
)

LONG_BYTES = 1_000_000
LONG_POST = POST % LONG_BYTES + bytes(LONG_BYTES)
CLOSING_GET = GET[:-2] + b"Connection: close\r\n\r\n"
# Held for the bytes, those that one read adds, and the request that runs.
MAX_HELD_BYTES = 200_000


def has_dropped(server: Server) -> bool:
    return any(
        isinstance(connection, BoundedCallerProtocol)
        and connection.read_ahead.has_dropped
        for connection in server.bounds.connections
    )


async def send_too_much_behind(first: bytes, ahead: bytes) -> tuple[bytes, int]:
    """Send more behind a running request than is kept, then let it be answered.

    Returns all that is received, and the bytes that were held.
    """
    async with open_server() as server:
        server.app.may_answer.clear()
        reader, writer = await server.connect()
        writer.write(first)
        await wait_for(lambda: server.app.bodies == [0])
        writer.write(ahead)
        await wait_for(lambda: has_dropped(server))
        held = server.budget.total_bytes
        server.app.may_answer.set()
        received = await read_until_closed(reader)
        writer.close()
        return received, held


class ReadAheadTests(TestCase):
    def test_long_request_behind_a_short_one_is_served(self) -> None:
        async def run() -> bytes:
            async with open_server() as server:
                return await server.exchange(GET + LONG_POST + CLOSING_GET)

        self.assertEqual(3, asyncio.run(run()).count(b"200 OK"))

    @parameterized.expand(
        [
            ("one", LONG_POST, 1),
            ("after_others", GET * 3 + LONG_POST, 4),
            ("at_a_boundary", GET * (2 * LONG_BYTES // len(GET)), None),
        ]
    )
    def test_dropped_request_is_refused_as_not_run(
        self, _name: str, ahead: bytes, served: int | None
    ) -> None:
        # Reading goes on although what arrives cannot be kept.
        received, held = asyncio.run(send_too_much_behind(GET, ahead))
        self.assertLess(held, MAX_HELD_BYTES)
        refused = received[received.rindex(b"HTTP/1.1") :]
        self.assertEqual((b"503", "not_run"), refusal(refused))
        if served is not None:
            self.assertEqual(served, received.count(b"200 OK"))

    def test_bytes_behind_a_last_request_do_not_cost_its_response(self) -> None:
        received, held = asyncio.run(send_too_much_behind(CLOSING_GET, LONG_POST))
        self.assertLess(held, MAX_HELD_BYTES)
        self.assertEqual(1, received.count(b"HTTP/1.1"))
        self.assertIn(b"200 OK", received)
