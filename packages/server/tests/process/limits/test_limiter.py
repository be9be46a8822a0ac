"""Tests of admission and waiting on one VM."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from testtools import TestCase

from jaytray_core.document.model import ClientAccount, Document, empty_document
from jaytray_core.errors import JaytrayError
from jaytray_server.process.limits.limiter import AccountLimiter
from jaytray_server.process.limits.share_table import TOTAL_PARTS


def document_with(rate: float, burst: int) -> Document:
    """Return a document with one account `a`."""
    account = ClientAccount("a", rate, burst, 1.0)
    return empty_document("trial")._replace(version=1, accounts_by_name={"a": account})


class LimiterTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.document = document_with(10.0, 100)
        self.limiter = AccountLimiter(
            current_document=lambda: self.document, clock=lambda: self.now
        )
        self.limiter.set_parts(TOTAL_PARTS)

    def reserve(self, tokens: int, max_wait_s: float = 0.0) -> Any:
        return self.run_async(self.limiter.reserve("a", tokens, max_wait_s))

    def run_async(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run(work)

    def test_starts_empty_and_names_the_refill_time(self) -> None:
        error = self.assertRaises(JaytrayError, self.reserve, 30)
        self.assertEqual("rate_exceeded", error.code)
        self.assertEqual(3.0, error.retry_after_s)

    def test_request_above_the_burst_is_refused_permanently(self) -> None:
        error = self.assertRaises(JaytrayError, self.reserve, 101)
        self.assertEqual("request_above_burst", error.code)

    def test_refund_never_exceeds_what_the_window_allows(self) -> None:
        self.now = 10.0
        first = self.reserve(80)
        self.now = 30.0
        self.reserve(100)
        self.limiter.settle(first, 0)
        self.assertRaises(JaytrayError, self.reserve, 1)

    def test_refund_is_idempotent(self) -> None:
        self.now = 10.0
        first = self.reserve(80)
        self.limiter.settle(first, 30)
        self.limiter.settle(first, 30)
        self.reserve(70)
        self.assertRaises(JaytrayError, self.reserve, 1)

    def test_waiting_requests_are_admitted_in_order(self) -> None:
        async def scenario() -> list[int]:
            admitted: list[int] = []

            async def wait(tokens: int) -> None:
                await self.limiter.reserve("a", tokens, 60.0)
                admitted.append(tokens)

            tasks = [asyncio.create_task(wait(tokens)) for tokens in (40, 1)]
            await asyncio.sleep(0)
            self.now = 1.0
            self.limiter.admit_waiting("a")
            await asyncio.sleep(0)
            self.assertEqual([], admitted)
            self.now = 4.1
            self.limiter.admit_waiting("a")
            await asyncio.gather(*tasks)
            return admitted

        self.assertEqual([40, 1], self.run_async(scenario()))

    def test_cancelled_wait_charges_nothing(self) -> None:
        async def scenario() -> None:
            task = asyncio.create_task(self.limiter.reserve("a", 40, 60.0))
            await asyncio.sleep(0)
            self.now = 10.0
            self.limiter.admit_waiting("a")
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.run_async(scenario())
        self.reserve(100)
