"""Tests of servers that send bytes without end, until their connection is closed."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.adapters.held_bodies import HeldBodies
from jaytray_core.adapters.http_pool import HttpPool, HttpRequest, read_body
from jaytray_core.adapters.remote_call import fetch_response
from jaytray_core.exchange_errors import ExchangeError
from jaytray_core.tasks import cancel_all

BOUND_BYTES = 4_000_000
FLOODS = 8
# Longest that a call with a time limit of `CALL_S` may take here.
CALL_S = 0.5
MAX_S = 5.0

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FORMS: list[tuple[str, bytes, bytes]] = [
    ("interim_responses", b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    ("status_line", b"HTTP/1.1 200 ", b"x" * 1_000),
    ("header", b"HTTP/1.1 200 OK\r\nX-A: ", b"x" * 1_000),
    ("headers", b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    ("no_http", b"", b"\x00\xff" * 1_000),
    ("body", CHUNKED, b"400\r\n" + b"x" * 1_024 + b"\r\n"),
    ("chunk_extension", CHUNKED + b"1;", b"x" * 1_000),
    ("trailers", CHUNKED + b"0\r\n", b"X-A: b\r\n"),
]


@asynccontextmanager
async def flooding_server(
    head: bytes, part: bytes, *, pause_s: float = 0.0
) -> AsyncIterator[str]:
    """Yield the address of a server that answers with `head` and endless parts."""

    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            try:
                while part and not writer.is_closing():
                    writer.write(part if pause_s else part * (1 + 16_384 // len(part)))
                    await writer.drain()
                    await asyncio.sleep(pause_s)
            finally:
                writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}"
    finally:
        server.close()
        await cancel_all(tasks)


@asynccontextmanager
async def open_pool(address: str) -> AsyncIterator[HttpPool]:
    pool = HttpPool(address=address)
    try:
        yield pool
    finally:
        await pool.close()


def get(timeout_s: float = CALL_S) -> HttpRequest:
    return HttpRequest("GET", "/", [], b"", timeout_s)


class EndlessResponseTests(TestCase):
    @parameterized.expand(FORMS)
    def test_call_ends_with_an_error(
        self, _name: str, head: bytes, part: bytes
    ) -> None:
        async def check() -> None:
            async with flooding_server(head, part) as address:
                async with open_pool(address) as pool, asyncio.timeout(MAX_S):
                    with self.assertRaises(ExchangeError):
                        await fetch_response(pool, get(), limit_bytes=1_000_000)

        asyncio.run(check())

    def test_body_that_trickles_is_given_up(self) -> None:
        async def check() -> None:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
            async with flooding_server(head, b"x", pause_s=0.05) as address:
                async with open_pool(address) as pool, asyncio.timeout(MAX_S):
                    with self.assertRaises(ExchangeError):
                        await fetch_response(pool, get(), body_s=1.0)

        asyncio.run(check())


class HeldBodiesTests(TestCase):
    def test_floods_together_hold_no_more_than_the_bound(self) -> None:
        # Guards against eight responses of the largest size each: the process would
        # exceed the memory of a small VM, with the requests of all other callers.
        async def check() -> None:
            held = HeldBodies(bound_bytes=BOUND_BYTES)
            largest = 0
            failed = 0

            async def read_flood(address: str) -> None:
                nonlocal failed
                async with open_pool(address) as pool:
                    with suppress(ExchangeError):
                        async with pool.exchange(get()) as response:
                            await read_body(
                                response, limit_bytes=100 * BOUND_BYTES, held=held
                            )
                    failed += 1

            async def read_sound(address: str) -> None:
                nonlocal largest
                async with open_pool(address) as pool:
                    while failed < FLOODS:
                        async with pool.exchange(get(MAX_S)) as response:
                            body = await read_body(response, limit_bytes=99, held=held)
                        self.assertEqual(b"ok", body)
                        largest = max(largest, held.total_bytes)
                        await asyncio.sleep(0)

            _, head, part = FORMS[5]
            async with (
                flooding_server(head, part) as address,
                flooding_server(OK, b"") as sound,
                asyncio.timeout(60.0),
            ):
                floods = [read_flood(address) for _ in range(FLOODS)]
                await asyncio.gather(read_sound(sound), *floods)
            self.assertGreater(largest, BOUND_BYTES / 2)
            self.assertLessEqual(largest, BOUND_BYTES)
            self.assertEqual(0, held.total_bytes)

        asyncio.run(check())

    def test_largest_body_yields(self) -> None:
        held = HeldBodies(bound_bytes=100)
        with held.open() as large, held.open() as small:
            large.extend(b"x" * 60)
            small.extend(b"x" * 30)
            small.extend(b"x" * 20)
            self.assertEqual(50, held.total_bytes)
            with self.assertRaises(ExchangeError):
                large.extend(b"x")
            small.extend(b"x" * 50)
            with self.assertRaises(ExchangeError):
                small.extend(b"x")
        self.assertEqual(0, held.total_bytes)
