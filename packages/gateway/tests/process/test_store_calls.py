"""Tests of the count of calls to the key-value service by purpose."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from testtools import TestCase

from jaytray_core.keyvalue import KeyValueService
from jaytray_gateway.process.metrics import GatewayMetrics
from jaytray_gateway.process.store_calls import StoreCall, StoreCalls, for_purpose


def service_of_pages(calls: StoreCalls, pages: int) -> KeyValueService:
    """Return a service whose functions make `pages` calls on the wire each."""

    def function(name: str) -> Callable[..., Awaitable[Any]]:
        async def call(*_arguments: object) -> None:
            for _ in range(pages):
                await asyncio.sleep(0)
                calls.record(name, "200")

        return call

    names = KeyValueService._fields[:-1]
    return KeyValueService(*(cast(Any, function(name)) for name in names))


class StoreCallTests(TestCase):
    def test_calls_that_overlap_count_for_their_own_purpose(self) -> None:
        calls = StoreCalls(metrics=GatewayMetrics())
        service = service_of_pages(calls, 3)
        member = for_purpose(service, "member")
        directory = for_purpose(service, "directory")

        async def run() -> None:
            await asyncio.gather(
                member.keep_lease("1"),
                directory.read_prefix(""),
                directory.watch("", 1, 0.0),
                service.get("a"),
            )

        asyncio.run(run())
        expected = {
            StoreCall("member", "keep_lease"): 3,
            StoreCall("directory", "read_prefix"): 3,
            StoreCall("directory", "watch"): 3,
            StoreCall("other", "get"): 3,
        }
        self.assertEqual(expected, dict(calls.total_by_call))
