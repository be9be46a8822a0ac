"""Tests of what arrives behind a running request, over loopback."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from jaytray_server.connection.callers import (
    bound_address,
    make_caller_server,
    open_caller_socket,
)

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSING_GET = GET[:-2] + b"Connection: close\r\n\r\n"
LONG_BYTES = 1_000_000
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LONG_POST = POST % LONG_BYTES + bytes(LONG_BYTES)
# Time after which nobody may work for a caller that has left.
NOTICED_S = 0.5
SENT_S = 0.2


class HeldApp:
    """An application whose responses wait, and which records callers that left."""

    def __init__(self) -> None:
        self.begun = 0
        self.disconnected = 0
        self.may_answer = asyncio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.begun += 1
        size = 0
        while (message := await receive()).get("more_body"):
            size += len(message["body"])
        size += len(message.get("body", b""))
        answering = asyncio.ensure_future(self.may_answer.wait())
        leaving = asyncio.ensure_future(receive())
        await asyncio.wait((answering, leaving), return_when=asyncio.FIRST_COMPLETED)
        answering.cancel()
        if leaving.done():
            self.disconnected += 1
            return
        leaving.cancel()
        body = b"%d" % size
        length = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": length})
        await send({"type": "http.response.body", "body": body})


@asynccontextmanager
async def open_server() -> AsyncIterator[tuple[HeldApp, int]]:
    app = HeldApp()
    with open_caller_socket("127.0.0.1:0") as listener:
        server = make_caller_server(app)
        serving = asyncio.create_task(server.serve(sockets=[listener]))
        try:
            yield app, int(bound_address(listener).split(":")[1])
        finally:
            server.should_exit = server.force_exit = True
            await serving


def exchange(sent: list[bytes], pause_s: float) -> bytes:
    """Send the parts, each after a pause, then let the responses go; read them."""

    async def run() -> bytes:
        async with open_server() as (app, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for part in sent:
                writer.write(part)
                await asyncio.sleep(pause_s)
            app.may_answer.set()
            received = await asyncio.wait_for(reader.read(-1), 10.0)
            writer.close()
            return received

    return asyncio.run(run())


class ReadAheadTests(TestCase):
    @parameterized.expand(
        [
            (f"{name}_then_{'reset' if is_reset else 'close'}", ahead, is_reset)
            for name, ahead in (
                ("nothing", b""),
                ("a_part", GET[:10]),
                ("all", GET),
                ("a_long_body", LONG_POST),
            )
            for is_reset in (False, True)
        ]
    )
    def test_close_behind_more_bytes_is_seen(
        self, _name: str, ahead: bytes, is_reset: bool
    ) -> None:
        # Reading paused once a next request had arrived.
        async def run() -> int:
            async with open_server() as (app, port):
                caller = socket.create_connection(("127.0.0.1", port))
                caller.setblocking(False)
                caller.send(GET)
                await asyncio.sleep(SENT_S)
                sending = asyncio.ensure_future(
                    asyncio.get_running_loop().sock_sendall(caller, ahead)
                )
                await asyncio.sleep(SENT_S)
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
                if is_reset:
                    linger = struct.pack("ii", 1, 0)
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                caller.close()
                await asyncio.sleep(NOTICED_S)
                return app.disconnected

        self.assertEqual(1, asyncio.run(run()))

    @parameterized.expand([("at_once", 0.0), ("in_parts", 0.1)])
    def test_requests_behind_others_are_served_in_order(
        self, _name: str, pause_s: float
    ) -> None:
        posts = [POST % size + bytes(size) for size in (1, 2, 40_000, 3)]
        parts = [GET + posts[0][:-1], posts[0][-1:] + posts[1], *posts[2:], CLOSING_GET]
        received = exchange(parts, pause_s)
        bodies = [part.partition(b"\r\n\r\n")[2] for part in received.split(b"HTTP")]
        self.assertEqual([b"0", b"1", b"2", b"40000", b"3", b"0"], bodies[1:])

    def test_dropped_request_is_refused_as_not_run(self) -> None:
        received = exchange([GET, LONG_POST], NOTICED_S)
        self.assertEqual(1, received.count(b"200 OK"))
        self.assertIn(b"HTTP/1.1 503", received)
        self.assertIn(b'"execution":"not_run"', received.replace(b" ", b""))
