"""Tests of connections of callers that may misbehave, over loopback."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.connection.bounded_protocol import (
    CONNECTION_BYTES,
    MAX_HEAD_FIELDS,
    MAX_UNREAD_S,
    BoundedCallerProtocol,
)
from jaytray_gateway.connection.caller_bounds import READ_BYTES, CallerBounds
from jaytray_gateway.connection.caller_servers import limit_buffers
from jaytray_gateway.process.memory_budget import MemoryBudget
from jaytray_server.connection.callers import (
    bound_address,
    make_caller_server,
    open_caller_socket,
)

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
HEADER_BYTES = 16_384
LARGE_BYTES = 2_000_000


class App:
    """An application that echoes the size of bodies, and records what it got."""

    def __init__(self) -> None:
        self.bodies: list[int] = []
        self.begun = 0
        self.disconnected = 0
        self.may_answer = asyncio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.begun += 1
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.disconnected += 1
                return
            size += len(message["body"])
            if not message["more_body"]:
                break
        self.bodies.append(size)
        await self.may_answer.wait()
        body = bytes(LARGE_BYTES) if scope["path"] == "/large" else b"%d" % size
        length = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": length})
        await send({"type": "http.response.body", "body": body})


class Server:
    """A server within bounds whose clock can be moved on."""

    def __init__(self, *, bound_bytes: int, max_connections: int) -> None:
        self.app = App()
        self.app.may_answer.set()
        self.ahead_s = 0.0
        self.port = 0
        clock = self._clock
        self.budget = MemoryBudget(
            bound_bytes=bound_bytes, max_connections=max_connections, clock=clock
        )
        self.bounds = CallerBounds(
            budget=self.budget, header_bytes=lambda: HEADER_BYTES, clock=clock
        )

    def _clock(self) -> float:
        return monotonic_clock() + self.ahead_s

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port, limit=1_024)

    async def exchange(self, sent: bytes) -> bytes:
        """Send on a new connection; returns what came until it was closed."""
        reader, writer = await self.connect()
        writer.write(sent)
        received = await read_until_closed(reader)
        writer.transport.abort()
        return received


@asynccontextmanager
async def open_server(
    *, bound_bytes: int = 50_000_000, max_connections: int = 50
) -> AsyncIterator[Server]:
    server = Server(bound_bytes=bound_bytes, max_connections=max_connections)
    make_protocol = partial(BoundedCallerProtocol, bounds=server.bounds)
    with open_caller_socket("127.0.0.1:0") as listener:
        limit_buffers(listener)
        running = make_caller_server(server.app, make_protocol=make_protocol)
        serving = asyncio.create_task(running.serve(sockets=[listener]))
        server.port = int(bound_address(listener).split(":")[1])
        try:
            yield server
        finally:
            running.should_exit = running.force_exit = True
            await serving


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    received = b""
    async with asyncio.timeout(20):
        while part := await reader.read(4_096):
            received += part
    return received


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


def refusal(received: bytes) -> tuple[bytes, str]:
    head, _, body = received.partition(b"\r\n\r\n")
    return head.split()[1], json.loads(body)["error"]["execution"]


class BoundedProtocolTests(TestCase):
    @parameterized.expand(
        [
            ("fields", GET[:-2] + b"a:\r\n" * (MAX_HEAD_FIELDS + 1) + b"\r\n"),
            ("unfinished_fields", GET[:-2] + b"a:\r\n" * 2_000),
            ("bytes", GET[:-2] + b"a: " + b"x" * 20_000 + b"\r\n\r\n"),
            ("after_a_body", POST % 2 + b"ok" + GET[:-2] + b"a:\r\n" * 4_000),
            ("after_chunks", CHUNKED + b"0\r\n\r\n" + GET[:-2] + b"a:\r\n" * 4_000),
        ]
    )
    def test_too_large_a_head_is_refused_as_not_run(
        self, _name: str, sent: bytes
    ) -> None:
        # 4,000 fields in a head of legal size took more than a megabyte when parsed.
        async def run() -> bytes:
            async with open_server() as server:
                return await server.exchange(sent)

        received = asyncio.run(run())
        refused = received[received.rindex(b"HTTP/1.1") :]
        self.assertEqual((b"431", "not_run"), refusal(refused))

    def test_head_of_legal_size_with_usual_fields_is_served(self) -> None:
        fields = b"".join(b"f%d: %s\r\n" % (n, b"x" * 150) for n in range(100))

        async def run() -> bytes:
            async with open_server() as server:
                head = GET[:-2] + fields + b"Connection: close\r\n\r\n"
                return await server.exchange(head)

        self.assertIn(b"200 OK", asyncio.run(run()))

    def test_body_of_legal_size_is_served(self) -> None:
        async def run() -> tuple[bytes, int, int]:
            async with open_server() as server:
                reader, writer = await server.connect()
                writer.write(POST % 4_194_304 + bytes(4_194_304) + GET)
                received = await reader.readuntil(b"4194304")
                received += await reader.readuntil(b"\r\n\r\n0")
                await wait_for(lambda: server.budget.total_bytes < 10_000)
                held = server.budget.total_bytes
                writer.close()
                await wait_for(lambda: not server.budget.connections)
                return received, held, server.budget.total_bytes

        received, idle_bytes, last_bytes = asyncio.run(run())
        self.assertEqual(2, received.count(b"200 OK"))
        self.assertEqual((CONNECTION_BYTES, 0), (idle_bytes, last_bytes))

    def test_chunks_of_one_byte_do_not_keep_others_waiting(self) -> None:
        async def run() -> tuple[bytes, list[int]]:
            async with open_server() as server:
                reader, writer = await server.connect()
                writer.write(CHUNKED + b"1\r\nx\r\n" * 20_000)
                await wait_for(lambda: bool(server.bounds.slow_parsing))
                other = await server.exchange(GET[:-2] + b"Connection: close\r\n\r\n")
                bodies = list(server.app.bodies)
                writer.write(b"0\r\n\r\n")
                await reader.readuntil(b"20000")
                writer.close()
                return other, bodies

        other, bodies_before = asyncio.run(run())
        self.assertIn(b"200 OK", other)
        self.assertEqual([0], bodies_before)

    def test_pipelined_requests_are_read_after_the_response_before(self) -> None:
        # Parsed requests without responses took the memory.
        async def run() -> tuple[int, int, int]:
            async with open_server() as server:
                server.app.may_answer.clear()
                reader, writer = await server.connect()
                writer.write(GET * 40_000)
                await wait_for(lambda: server.app.begun > 0)
                await asyncio.sleep(0.1)
                begun, held = server.app.begun, server.budget.total_bytes
                server.app.may_answer.set()
                for _ in range(10):
                    await reader.readuntil(b"\r\n\r\n0")
                writer.transport.abort()
                return begun, held, server.app.begun

        begun, held, finally_begun = asyncio.run(run())
        self.assertEqual(1, begun)
        self.assertLess(held, 4 * READ_BYTES)
        self.assertGreaterEqual(finally_begun, 10)

    def test_body_that_stalls_is_refused_when_memory_is_needed(self) -> None:
        async def run() -> tuple[bytes, int]:
            async with open_server(bound_bytes=3_000_000) as server:
                reader, writer = await server.connect()
                writer.write(POST % 1_000_010 + bytes(1_000_000))
                await wait_for(lambda: server.budget.total_bytes > 2_000_000)
                server.ahead_s = 2.0
                served = await server.exchange(
                    POST.replace(b"Host", b"Connection: close\r\nHost") % 1_000_000
                    + bytes(1_000_000)
                )
                self.assertIn(b"200 OK", served)
                received = await read_until_closed(reader)
                writer.close()
                return received, server.app.disconnected

        received, disconnected = asyncio.run(run())
        self.assertEqual((b"503", "not_run"), refusal(received))
        self.assertEqual(1, disconnected)

    def test_body_at_a_very_low_rate_is_refused(self) -> None:
        async def run() -> bytes:
            async with open_server() as server:
                reader, writer = await server.connect()
                writer.write(POST % 100_000 + bytes(1_000))
                await wait_for(lambda: server.app.begun > 0)
                server.ahead_s = 20.0
                server.bounds.sweep()
                received = await read_until_closed(reader)
                writer.close()
                return received

        self.assertEqual((b"408", "not_run"), refusal(asyncio.run(run())))

    @parameterized.expand([("short", 0.5, 1), ("long", 1.5, 0)])
    def test_response_that_is_not_read_ends_its_connection_after(
        self, _name: str, share: float, connections: int
    ) -> None:
        async def run() -> int:
            async with open_server() as server:
                _, writer = await server.connect()
                writer.write(GET.replace(b"/a", b"/large"))
                await wait_for(lambda: server.budget.total_bytes > LARGE_BYTES / 2)
                for _ in range(5):
                    server.bounds.sweep()
                    await asyncio.sleep(0.05)
                server.ahead_s = MAX_UNREAD_S * share
                server.bounds.sweep()
                await asyncio.sleep(0.1)
                count = server.budget.connections
                writer.transport.abort()
                return count

        self.assertEqual(connections, asyncio.run(run()))

    def test_new_connection_is_refused_if_all_others_run(self) -> None:
        async def run() -> bytes:
            async with open_server(max_connections=1) as server:
                server.app.may_answer.clear()
                _, writer = await server.connect()
                writer.write(GET)
                await wait_for(lambda: server.app.bodies == [0])
                received = await server.exchange(GET)
                server.app.may_answer.set()
                writer.close()
                return received

        self.assertEqual((b"503", "not_run"), refusal(asyncio.run(run())))

    def test_idle_connection_yields_to_a_new_one(self) -> None:
        async def run() -> tuple[bytes, bytes]:
            async with open_server(max_connections=1) as server:
                reader, writer = await server.connect()
                await wait_for(lambda: server.budget.connections == 1)
                server.ahead_s = 1.0
                served = await server.exchange(GET[:-2] + b"Connection: close\r\n\r\n")
                idle = await read_until_closed(reader)
                writer.close()
                return served, idle

        served, _ = asyncio.run(run())
        self.assertIn(b"200 OK", served)
