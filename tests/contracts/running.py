"""Helpers that run contract cases on benches."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

MakeBench = Callable[[], AbstractAsyncContextManager[Any]]


def run_case(case: Callable[[Any], Awaitable[None]], make_bench: MakeBench) -> None:
    """Run one case on a fresh bench."""

    async def run() -> None:
        async with make_bench() as bench:
            await case(bench)

    asyncio.run(run())


def parameter_rows(
    benches: dict[str, Any], cases: dict[str, Any]
) -> list[tuple[str, Any, Any]]:
    """Return one parameter row (name, bench, case) per combination."""
    return [
        (f"{bench_name}_{case_name}", make_bench, case)
        for bench_name, make_bench in benches.items()
        for case_name, case in cases.items()
    ]


def fault_checks_by_name(contract: Any, name: Callable[[Any], str]) -> dict[str, Any]:
    """Return the checks of a contract's fault cases by name."""
    cases = getattr(contract, "FAULT_CASES", None) or contract.FAULT_KINDS
    return {f"{n}_{name(c)}": contract.fault_case(c) for n, c in enumerate(cases)}
