"""Tests that the contracts reject implementations that violate them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from testtools import TestCase

from tests.contracts import implementations, key_value_contract, target_contract
from tests.contracts.bench import KeyValueBench, TargetBench


class BrokenImplementationTests(TestCase):
    def test_false_not_run_is_caught(self) -> None:
        @asynccontextmanager
        async def broken() -> AsyncIterator[TargetBench]:
            async with implementations.target_bench(is_http=False) as bench:
                connection = target_contract.report_failures_as_not_run(
                    bench.connection
                )
                yield bench._replace(connection=connection)

        check = target_contract.check_target_contract
        self.assertRaises(AssertionError, asyncio.run, check(broken))

    def test_swap_without_comparing_is_caught(self) -> None:
        @asynccontextmanager
        async def broken() -> AsyncIterator[KeyValueBench]:
            async with implementations.in_process_key_value_bench() as bench:
                kv = bench.service

                async def swap(
                    key: str, _expected: int, value: bytes | None, lease_id: str
                ) -> Any:
                    found = await kv.get(key)
                    revision = found.revision if found else 0
                    return await kv.compare_and_swap(key, revision, value, lease_id)

                service = kv._replace(compare_and_swap=swap)
                yield bench._replace(service=service)

        check = key_value_contract.check_key_value_contract
        self.assertRaises(AssertionError, asyncio.run, check(broken))
