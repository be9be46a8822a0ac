"""Tests of target connections: reuse, stray bytes, and foreign or broken responses."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import h11
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress
from jaytray_gateway.connection.target_connection import (
    WORK_PER_TURN,
    TargetConnection,
    open_connection,
)

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
FOREIGN = b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 3\r\n\r\nnot"
UNFRAMED = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok"
SHORT = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"
CHUNKED_CUT = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSING = WHOLE.replace(b"content", b"connection: close\r\ncontent")


@asynccontextmanager
async def target(response: bytes, *, ends: str = "stays") -> AsyncIterator[str]:
    """Send `response` to each request; then keep, close or reset the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            writer.write(response)
            await writer.drain()
            if ends == "closes":
                break
            if ends == "resets":
                await asyncio.sleep(0.02)
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
                return
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


@asynccontextmanager
async def endless_target(
    begins: bytes, repeated: bytes
) -> AsyncIterator[tuple[str, asyncio.Event]]:
    """Send `begins` and then `repeated` until the caller has left, which is noted."""
    left = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begins)
            await asyncio.sleep(0.05)
            while True:
                writer.write(repeated)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            left.set()
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}", left


def send(connection: TargetConnection) -> None:
    connection.send(b"GET", b"/a?b", [(b"host", b"h")], b"")


async def read_body(connection: TargetConnection) -> bytes:
    body = b""
    while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Data):
            body += bytes(event.data)
    return body


class ReuseTests(TestCase):
    @parameterized.expand(
        [
            ("whole", WHOLE, "stays", True),
            ("bytes_after_it", WHOLE + b"HTTP/1.1 2", "stays", False),
            ("second_response", WHOLE + FOREIGN, "stays", False),
            ("asked_to_close", CLOSING, "stays", False),
            ("closed", WHOLE, "closes", False),
            ("unframed", UNFRAMED, "closes", False),
        ]
    )
    def test_connection_after(
        self, _name: str, response: bytes, ends: str, is_reused: bool
    ) -> None:
        async def run() -> tuple[bytes, bool]:
            async with target(response, ends=ends) as address:
                connection = await open_connection(address, timeout_s=1.0)
                send(connection)
                body = await read_body(connection)
                await asyncio.sleep(0.02)
                is_kept = connection.finish(0.0)
                connection.close()
                return body, is_kept

        self.assertEqual((b"ok", is_reused), asyncio.run(run()))

    def test_bytes_while_idle_make_the_connection_unusable(self) -> None:
        async def run() -> bool:
            async with target(WHOLE) as address:
                connection = await open_connection(address, timeout_s=1.0)
                send(connection)
                await read_body(connection)
                assert connection.finish(0.0)
                connection.data_received(b"HTTP/1.1 200 OK\r\n")
                usable = connection.is_usable(0.0, 10.0)
                connection.close()
                return usable

        self.assertEqual(False, asyncio.run(run()))

    def test_bytes_without_end_while_idle_close_the_connection(self) -> None:
        async def run() -> None:
            async with endless_target(WHOLE, b"x" * 10_000) as (address, left):
                connection = await open_connection(address, timeout_s=1.0)
                send(connection)
                await read_body(connection)
                connection.finish(0.0)
                async with asyncio.timeout(1.0):
                    await left.wait()

        asyncio.run(run())

    def test_response_to_another_request_is_skipped(self) -> None:
        async def run() -> tuple[bytes, bytes]:
            async with target(FOREIGN + WHOLE) as address:
                connection = await open_connection(address, timeout_s=1.0)
                send(connection)
                foreign = await read_body(connection)
                assert connection.skip_foreign_response()
                own = await read_body(connection)
                connection.close()
                return foreign, own

        self.assertEqual((b"not", b"ok"), asyncio.run(run()))


CHUNK = b"1\r\nx\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class FairnessTests(TestCase):
    def test_other_tasks_run_while_many_chunks_are_read(self) -> None:
        # A target that sent small chunks without end held up the whole process.
        async def run() -> int:
            longest = unbroken = 0

            async def run_other_task() -> None:
                nonlocal unbroken
                while True:
                    unbroken = 0
                    await asyncio.sleep(0)

            async with target(b"") as address:
                connection = await open_connection(address, timeout_s=1.0)
                send(connection)
                connection.data_received(CHUNKED + CHUNK * 40_000 + b"0\r\n\r\n")
                other = asyncio.create_task(run_other_task())
                while not isinstance(await connection.next_event(), h11.EndOfMessage):
                    unbroken += 1
                    longest = max(longest, unbroken)
                self.assertTrue(connection.finish(0.0))
                other.cancel()
                connection.close()
            return longest

        self.assertLessEqual(asyncio.run(run()), WORK_PER_TURN)


class BrokenResponseTests(TestCase):
    @parameterized.expand(
        [
            ("short", SHORT, "closes"),
            ("chunks_cut", CHUNKED_CUT, "closes"),
            ("unframed_reset", UNFRAMED, "resets"),
            ("no_http", b"\x00\x01\x02\r\n\r\n", "closes"),
            ("nothing", b"", "closes"),
            ("nothing_reset", b"", "resets"),
        ]
    )
    def test_is_broken(self, _name: str, response: bytes, ends: str) -> None:
        async def run() -> ExchangeProgress | None:
            async with target(response, ends=ends) as address:
                connection = await open_connection(address, timeout_s=1.0)
                send(connection)
                try:
                    await read_body(connection)
                except ExchangeError as err:
                    return err.progress
                finally:
                    connection.close()
            return None

        self.assertEqual(ExchangeProgress.BROKEN, asyncio.run(run()))

    @parameterized.expand(
        [
            ("head_line", b"HTTP/1.1 200 OK\r\nx: ", b"y"),
            ("head_lines", b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
            ("informational", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ("garbage", b"", b"\x00"),
            ("empty_lines", b"", b"\r\n"),
        ]
    )
    def test_head_without_end_is_broken(
        self, _name: str, begins: bytes, repeated: bytes
    ) -> None:
        async def run() -> ExchangeProgress | None:
            async with endless_target(begins, repeated * 1000) as (address, left):
                connection = await open_connection(address, timeout_s=1.0)
                send(connection)
                try:
                    async with asyncio.timeout(2.0):
                        await read_body(connection)
                except ExchangeError as err:
                    return err.progress
                finally:
                    connection.close()
                    await asyncio.wait_for(left.wait(), 1.0)
            return None

        self.assertEqual(ExchangeProgress.BROKEN, asyncio.run(run()))

    def test_refused_connection_sent_nothing(self) -> None:
        async def run() -> ExchangeProgress | None:
            async with target(WHOLE) as address:
                pass
            try:
                await open_connection(address, timeout_s=1.0)
            except ExchangeError as err:
                return err.progress
            return None

        self.assertEqual(ExchangeProgress.NOT_SENT, asyncio.run(run()))

    def test_connection_closed_while_idle_sends_nothing(self) -> None:
        async def run() -> ExchangeProgress | None:
            async with target(WHOLE, ends="closes") as address:
                connection = await open_connection(address, timeout_s=1.0)
                connection.eof_received()
                try:
                    send(connection)
                except ExchangeError as err:
                    return err.progress
                finally:
                    connection.close()
            return None

        self.assertEqual(ExchangeProgress.NOT_SENT, asyncio.run(run()))
