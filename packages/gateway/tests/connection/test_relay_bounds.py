"""Tests of the bounds of the port at which other members send requests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.connection.caller_servers import CallerServers, limit_buffers
from jaytray_gateway.process.memory_budget import MemoryBounds, memory_bounds
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.request.relayed_request import MAX_MESSAGE_BYTES
from jaytray_gateway.version.route_table import DEFAULT_CALLER_LIMITS
from jaytray_server.connection.callers import bound_address, open_caller_socket

SMALL_VM = memory_bounds(memory_bytes=200_000_000, max_descriptors=4_100)
HEAD = b"POST /relay HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
FLOOD_BYTES = 8_000_000
FLOODS = 12


class Relay(NamedTuple):
    """A port for relays, and the bytes of the requests that are being received."""

    port: int
    held_by_request: dict[int, int]


@asynccontextmanager
async def open_relay(memory: MemoryBounds | None) -> AsyncIterator[Relay]:
    held_by_request: dict[int, int] = {}

    async def app(scope: Any, receive: Any, send: Any) -> None:
        held_by_request[id(scope)] = 0
        try:
            while True:
                message = await receive()
                held_by_request[id(scope)] += len(message.get("body", b""))
                if message["type"] == "http.disconnect":
                    return
                if not message["more_body"]:
                    break
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"ok"})
        finally:
            del held_by_request[id(scope)]

    servers = CallerServers(
        memory=memory,
        current_limits=lambda: DEFAULT_CALLER_LIMITS,
        metrics=GatewayMetrics(),
        clock=monotonic_clock,
    )
    server = servers.make_relay(app)
    with open_caller_socket("127.0.0.1:0") as listener:
        limit_buffers(listener)
        serving = asyncio.create_task(server.serve(sockets=[listener]))
        try:
            yield Relay(int(bound_address(listener).split(":")[1]), held_by_request)
        finally:
            server.should_exit = server.force_exit = True
            await serving


async def flood(port: int) -> None:
    """Send most of a large request and never its end."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(HEAD % (2 * FLOOD_BYTES))
    try:
        for _ in range(FLOOD_BYTES // 50_000):
            writer.write(bytes(50_000))
            await writer.drain()
        await asyncio.sleep(60.0)
    except ConnectionError:
        pass
    finally:
        writer.close()


async def send(port: int, size: int = 2) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(HEAD % size + bytes(size))
    async with asyncio.timeout(10.0):
        response = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return response


async def most_held(memory: MemoryBounds | None) -> int:
    """Return the most bytes that unfinished requests of members hold together."""
    async with open_relay(memory) as relay:
        floods = [asyncio.create_task(flood(relay.port)) for _ in range(FLOODS)]
        most = 0
        for _ in range(60):
            await asyncio.sleep(0.05)
            most = max(most, sum(relay.held_by_request.values()))
        for task in floods:
            task.cancel()
        await asyncio.gather(*floods, return_exceptions=True)
        return most


class RelayBoundsTests(TestCase):
    def test_unfinished_requests_hold_a_bounded_part_of_a_small_vm(self) -> None:
        # The port had no bounds: members that are cut off, or another program that
        # knows the port, could end a process with the requests of all its callers.
        bound = SMALL_VM.relay_bytes
        self.assertLessEqual(asyncio.run(most_held(SMALL_VM)), bound)
        self.assertGreater(asyncio.run(most_held(None)), 2 * bound)

    @parameterized.expand([("bytes", FLOODS, 0), ("connections", 0, 900)])
    def test_complete_requests_are_served_meanwhile(
        self, _name: str, floods: int, idle: int
    ) -> None:
        async def check() -> None:
            async with open_relay(SMALL_VM) as relay:
                tasks = [asyncio.create_task(flood(relay.port)) for _ in range(floods)]
                idle_writers = [
                    (await asyncio.open_connection("127.0.0.1", relay.port))[1]
                    for _ in range(idle)
                ]
                for _ in range(20):
                    self.assertIn(b" 200 ", await send(relay.port))
                for writer in idle_writers:
                    writer.close()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(check())

    def test_one_request_of_the_largest_size_is_served(self) -> None:
        async def check() -> None:
            async with open_relay(SMALL_VM) as relay:
                self.assertIn(b" 200 ", await send(relay.port, MAX_MESSAGE_BYTES))

        asyncio.run(check())
