"""Contract of `TargetConnection` for plain services."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple

from jaytray_core.errors import Execution
from jaytray_core.targets import ServiceCall
from jaytray_standins.faults import Fault, FaultKind
from tests.contracts.bench import (
    Outcome,
    ServiceBench,
    assert_equal,
    expect_failure,
    run_until_complete,
)

MakeBench = Callable[[], AbstractAsyncContextManager[ServiceBench]]
Case = Callable[[ServiceBench], Awaitable[None]]
_MAY_HAVE_RUN = Execution.MAY_HAVE_RUN
_NOT_RUN = Execution.NOT_RUN
_TIMEOUT_S = 1.0


async def check_service_contract(make_bench: MakeBench) -> None:
    """Run every case on a fresh bench; raise `AssertionError` on a violation."""
    for case in [*CASES_BY_NAME.values(), *map(fault_case, FAULT_CASES)]:
        async with make_bench() as bench:
            await case(bench)


def call_for(body: bytes = b"{}", *, method: str = "POST") -> ServiceCall:
    """Return a service call with a custom header and an escaped path."""
    headers = [("content-type", "application/json"), ("x-barn", "7")]
    path = "/visits/barn%207"
    return ServiceCall("request-1", method, path, "day=2", headers, body, _TIMEOUT_S)


async def call_arrives_as_sent(bench: ServiceBench) -> None:
    for method in ("GET", "POST", "PUT", "DELETE"):
        body = b"" if method == "GET" else b'{"confirm": true}'
        call = call_for(body, method=method)
        response = await run_until_complete(
            bench.advance_time, bench.connection.call_service(call)
        )
        assert_equal(("request-1", 200), (response.request_id, response.status))
        ran = bench.ran_requests()[-1]
        assert_equal((method, call.path, call.query), (ran.method, ran.path, ran.query))
        assert_equal(body, ran.body)
        assert_equal(True, ("x-barn", "7") in ran.headers)
    assert_equal(4, len(bench.ran_requests()))


async def error_status_is_a_response(bench: ServiceBench) -> None:
    bench.set_fault(Fault(FaultKind.FAILED, "call_service", 1))
    call = bench.connection.call_service(call_for())
    response = await run_until_complete(bench.advance_time, call)
    assert_equal(500, response.status)


class FaultCase(NamedTuple):
    """A fault on one call, the expected failure and how often the call runs.

    The code `*` matches any code.
    """

    kind: FaultKind
    outcome: Outcome
    runs: int


FAULT_CASES = [
    FaultCase(FaultKind.DOWN, Outcome("*", _NOT_RUN), 0),
    FaultCase(FaultKind.REFUSED, Outcome("target_refused", _NOT_RUN), 0),
    FaultCase(FaultKind.REQUEST_LOST, Outcome("target_timeout", _MAY_HAVE_RUN), 0),
    FaultCase(FaultKind.SILENT, Outcome("target_timeout", _MAY_HAVE_RUN), 0),
    FaultCase(FaultKind.ANSWER_LOST, Outcome("target_timeout", _MAY_HAVE_RUN), 1),
    FaultCase(FaultKind.CROSSED, Outcome("answer_mismatch", _MAY_HAVE_RUN), 1),
]


def fault_case(case: FaultCase) -> Case:
    """Return the check of a fault case."""

    async def check(bench: ServiceBench) -> None:
        bench.set_fault(Fault(case.kind, "call_service", 1))
        call = bench.connection.call_service(call_for())
        outcome = await expect_failure(bench.advance_time, call)
        code = outcome.code if case.outcome.code == "*" else case.outcome.code
        assert_equal(case.outcome._replace(code=code), outcome)
        await bench.advance_time(1.0)
        assert_equal(case.runs, len(bench.ran_requests()))

    return check


CASES_BY_NAME: dict[str, Case] = {
    case.__name__: case for case in (call_arrives_as_sent, error_status_is_a_response)
}
