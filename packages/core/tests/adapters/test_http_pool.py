"""Tests that reading a response leaves time for other tasks."""

import asyncio
from collections.abc import AsyncIterator

import httpx
from testtools import TestCase

from jaytray_core.adapters.http_pool import read_body

PARTS = 10_000


class ManyParts(httpx.AsyncByteStream):
    """A body of many small parts that have all arrived."""

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for _ in range(PARTS):
            yield b"x"


class BodyTests(TestCase):
    def test_other_tasks_run_while_small_parts_are_read(self) -> None:
        # A body of small parts without end held up the process while it was read.
        async def run() -> int:
            turns = 0

            async def count_turns() -> None:
                nonlocal turns
                while True:
                    turns += 1
                    await asyncio.sleep(0)

            counting = asyncio.create_task(count_turns())
            response = httpx.Response(200, stream=ManyParts())
            body = await read_body(response, limit_bytes=PARTS, needs_length=False)
            self.assertEqual(PARTS, len(body))
            counting.cancel()
            return turns

        self.assertGreaterEqual(asyncio.run(run()), PARTS // 100)
