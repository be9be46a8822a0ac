"""Contract of `TargetConnection` for model engines."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple

import msgspec

from jaytray_core.codec import encode_json
from jaytray_core.errors import Execution, JaytrayError
from jaytray_core.targets import (
    InferRequest,
    Order,
    OrderKind,
    Resident,
    ResidentState,
    StreamPiece,
    TargetConnection,
    WholeResponse,
)
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.target.state import CRASH_MARKER
from tests.contracts.bench import (
    Outcome,
    TargetBench,
    assert_equal,
    expect_failure,
    run_until_complete,
)

MakeBench = Callable[[], AbstractAsyncContextManager[TargetBench]]
Case = Callable[[TargetBench], Awaitable[None]]
_MAY_HAVE_RUN = Execution.MAY_HAVE_RUN
_NOT_RUN = Execution.NOT_RUN
# Exceeds the time by which any bench advances while it waits for a response.
_TOO_LATE_S = 1e6


async def check_target_contract(make_bench: MakeBench) -> None:
    """Run every case on a fresh bench; raise `AssertionError` on a violation."""
    for case in [*CASES_BY_NAME.values(), *map(fault_case, FAULT_CASES)]:
        async with make_bench() as bench:
            await case(bench)


def request_for(
    prompt: str = "hello", *, model: str = "alpha", request_id: str = "request-1"
) -> InferRequest:
    """Return a chat completion request for 12 tokens."""
    message = {"role": "user", "content": prompt}
    body = encode_json({"model": model, "messages": [message], "max_tokens": 12})
    return InferRequest(request_id, "/v1/chat/completions", model, body, 0, "", 0, 10.0)


def order_for(
    order_id: str,
    name: str,
    *,
    kind: OrderKind = OrderKind.LOAD_MODEL,
    model: str = "",
    fencing_number: int = 1,
) -> Order:
    """Return an order of 40 MiB for accelerator 0."""
    return Order(order_id, kind, name, model or name, "1", 0, 40, fencing_number)


async def read_stream(
    connection: TargetConnection, request: InferRequest
) -> list[StreamPiece]:
    """Return all pieces of a streamed response."""
    async with connection.stream(request) as pieces:
        return [piece async for piece in pieces]


async def whole_response_is_the_expected_one(bench: TargetBench) -> None:
    request = request_for("a lame mare")
    response = await run_until_complete(
        bench.advance_time, bench.connection.infer(request)
    )
    assert_equal((request.request_id, 200), (response.request_id, response.status))
    assert_equal(bench.expected_text(request.body), _text_of(response))


async def stream_is_the_expected_response(bench: TargetBench) -> None:
    request = request_for("a loose shoe")
    pieces = await run_until_complete(
        bench.advance_time, read_stream(bench.connection, request)
    )
    assert_equal(bench.expected_text(request.body), "".join(p.text for p in pieces))
    assert_equal([False] * (len(pieces) - 1) + [True], [p.is_end for p in pieces])
    assert_equal(list(range(1, len(pieces))), [p.end_index for p in pieces[:-1]])
    assert_equal(pieces[-1].end_index, pieces[-1].output_tokens)


async def resumed_stream_continues(bench: TargetBench) -> None:
    request = request_for("resume")
    pieces = await run_until_complete(
        bench.advance_time, read_stream(bench.connection, request)
    )
    head = "".join(piece.text for piece in pieces[:4])
    resumed = request._replace(
        request_id="request-2", resume_after_tokens=4, resume_text=head
    )
    rest = await run_until_complete(
        bench.advance_time, read_stream(bench.connection, resumed)
    )
    assert_equal([p.text for p in pieces[4:]], [p.text for p in rest])
    assert_equal([p.end_index for p in pieces[4:]], [p.end_index for p in rest])
    response = await run_until_complete(
        bench.advance_time, bench.connection.infer(resumed)
    )
    assert_equal(bench.expected_text(request.body), _text_of(response))


async def concurrent_responses_are_not_mixed(bench: TargetBench) -> None:
    requests = [
        request_for(f"prompt {n}", request_id=f"request-{n}") for n in range(10)
    ]
    calls = [read_stream(bench.connection, request) for request in requests]
    responses = await run_until_complete(bench.advance_time, asyncio.gather(*calls))
    texts = ["".join(piece.text for piece in pieces) for pieces in responses]
    assert_equal([bench.expected_text(request.body) for request in requests], texts)


async def cancelled_stream_ends_without_an_end(bench: TargetBench) -> None:
    request = request_for("cancel")
    seen: list[StreamPiece] = []

    async def read_and_cancel() -> None:
        async with bench.connection.stream(request) as pieces:
            async for piece in pieces:
                seen.append(piece)
                if len(seen) == 2:
                    await bench.connection.cancel(request.request_id)

    outcome = await expect_failure(bench.advance_time, read_and_cancel())
    assert_equal(Outcome("answer_incomplete", _MAY_HAVE_RUN), outcome)
    assert_equal(False, any(piece.is_end for piece in seen))


async def unknown_model_does_not_run(bench: TargetBench) -> None:
    request = request_for(model="missing")
    for call in (
        bench.connection.infer(request),
        read_stream(bench.connection, request),
    ):
        outcome = await expect_failure(bench.advance_time, call)
        assert_equal(Outcome("target_refused", _NOT_RUN), outcome)
    assert_equal([], bench.ran_requests())


async def malformed_body_does_not_run(bench: TargetBench) -> None:
    request = request_for()._replace(body=b'{"messages": 5}')
    outcome = await expect_failure(bench.advance_time, bench.connection.infer(request))
    assert_equal(Outcome("invalid_request", _NOT_RUN), outcome)
    assert_equal([], bench.ran_requests())


async def orders_load_and_unload(bench: TargetBench) -> None:
    connection = bench.connection
    loaded = await connection.order(order_for("o1", "beta"))
    assert_equal((True, ""), loaded[1:])
    report = await connection.load_report()
    assert_equal(ResidentState.LOADING, _state_of(report.residents, "beta"))
    await bench.advance_time(10.0)
    report = await connection.load_report()
    assert_equal(ResidentState.READY, _state_of(report.residents, "beta"))
    assert_equal(True, "o1" in report.settled_order_ids)
    adapter = order_for("o2", "gamma", kind=OrderKind.LOAD_ADAPTER, model="beta")
    await connection.order(adapter._replace(memory_mib=5))
    await bench.advance_time(10.0)
    await connection.order(order_for("o3", "beta", kind=OrderKind.UNLOAD_MODEL))
    await bench.advance_time(10.0)
    report = await connection.load_report()
    assert_equal(["alpha"], [resident.name for resident in report.residents])
    assert_equal(True, "o3" in report.settled_order_ids)


async def same_order_takes_effect_once(bench: TargetBench) -> None:
    order = order_for("o1", "beta")
    first = await bench.connection.order(order)
    await bench.advance_time(10.0)
    await bench.connection.order(order_for("o2", "beta", kind=OrderKind.UNLOAD_MODEL))
    await bench.advance_time(10.0)
    assert_equal(first, await bench.connection.order(order))
    report = await bench.connection.load_report()
    assert_equal(["alpha"], [resident.name for resident in report.residents])


async def impossible_orders_are_refused(bench: TargetBench) -> None:
    for order in (
        order_for("o1", "missing", kind=OrderKind.UNLOAD_MODEL),
        order_for("o2", "gamma", kind=OrderKind.LOAD_ADAPTER, model="missing"),
        order_for("o3", "beta")._replace(accelerator=99),
    ):
        reply = await bench.connection.order(order)
        assert_equal((order.order_id, False), reply[:2])


async def old_fencing_number_is_handled_as_declared(bench: TargetBench) -> None:
    await bench.connection.order(order_for("o1", "beta", fencing_number=7))
    old = order_for("o2", "delta", fencing_number=6)._replace(memory_mib=1)
    reply = await bench.connection.order(old)
    assert_equal(not bench.checks_fencing, reply.is_accepted)
    report = await bench.connection.load_report()
    assert_equal(7, report.highest_fencing_number)


async def crash_empties_the_memory(bench: TargetBench) -> None:
    before = await bench.connection.load_report()
    bench.crash()
    outcome = await expect_failure(
        bench.advance_time, bench.connection.infer(request_for())
    )
    assert_equal(_NOT_RUN, outcome.execution)
    await bench.advance_time(60.0)
    after = await bench.connection.load_report()
    assert_equal([], after.residents)
    assert_equal(False, before.boot_id == after.boot_id)


async def cache_events_are_ordered(bench: TargetBench) -> None:
    for number in range(3):
        request = request_for(f"{number}" * 2_000, request_id=f"request-{number}")
        await run_until_complete(bench.advance_time, bench.connection.infer(request))
    await bench.advance_time(10.0)
    events = await bench.connection.cache_events(0)
    sequences = [event.sequence for event in events]
    assert_equal(sorted(set(sequences)), sequences)
    assert_equal(True, len(sequences) > 5)
    assert_equal(events[5:], await bench.connection.cache_events(sequences[4]))


class FaultCase(NamedTuple):
    """A fault on one call and the expected failure.

    The code `*` matches any code.
    """

    name: str
    operation: str
    fault: Fault | None
    prompt: str
    outcome: Outcome


def _case(
    operation: str, kind: FaultKind, code: str, execution: Execution, pieces: int = 2
) -> FaultCase:
    fault = Fault(kind, operation, times=1, delay_s=_TOO_LATE_S, pieces=pieces)
    outcome = Outcome(code, execution)
    return FaultCase(f"{kind}_{operation}", operation, fault, "hello", outcome)


_CRASH = CRASH_MARKER.decode()
FAULT_CASES = [
    *(_case(op, FaultKind.DOWN, "*", _NOT_RUN) for op in ("infer", "stream", "order")),
    *(
        _case(operation, kind, "target_timeout", _MAY_HAVE_RUN)
        for operation in ("infer", "order")
        for kind in (
            FaultKind.REQUEST_LOST,
            FaultKind.SILENT,
            FaultKind.ANSWER_LOST,
            FaultKind.LATE,
        )
    ),
    _case("stream", FaultKind.SILENT, "target_timeout", _MAY_HAVE_RUN),
    _case("infer", FaultKind.REFUSED, "target_refused", _NOT_RUN),
    _case("stream", FaultKind.REFUSED, "target_refused", _NOT_RUN),
    _case("infer", FaultKind.FAILED, "target_failed", _MAY_HAVE_RUN),
    _case("infer", FaultKind.CROSSED, "answer_mismatch", _MAY_HAVE_RUN),
    _case("stream", FaultKind.CROSSED, "answer_mismatch", _MAY_HAVE_RUN),
    _case("stream", FaultKind.CUT, "answer_incomplete", _MAY_HAVE_RUN, 0),
    _case("stream", FaultKind.CUT, "answer_incomplete", _MAY_HAVE_RUN, 3),
    _case("stream", FaultKind.CUT, "answer_incomplete", _MAY_HAVE_RUN, 12),
    _case("stream", FaultKind.STALLED, "target_timeout", _MAY_HAVE_RUN),
    _case("stream", FaultKind.SHORT, "answer_incomplete", _MAY_HAVE_RUN, 3),
    _case("stream", FaultKind.SHORT, "answer_incomplete", _MAY_HAVE_RUN, 12),
    FaultCase("crash_infer", "infer", None, _CRASH, Outcome("*", _MAY_HAVE_RUN)),
    FaultCase("crash_stream", "stream", None, _CRASH, Outcome("*", _MAY_HAVE_RUN)),
]


def fault_case(case: FaultCase) -> Case:
    """Return the check of a fault case; after `NOT_RUN`, no request may have run."""

    async def check(bench: TargetBench) -> None:
        if case.fault is not None:
            bench.set_fault(case.fault)
        request = request_for(case.prompt)
        outcome = await expect_failure(
            bench.advance_time, _call(bench.connection, case.operation, request)
        )
        code = outcome.code if case.outcome.code == "*" else case.outcome.code
        assert_equal(case.outcome._replace(code=code), outcome)
        await bench.advance_time(2 * _TOO_LATE_S)
        assert_equal(True, len(bench.ran_requests()) <= 1)
        if outcome.execution == _NOT_RUN:
            assert_equal([], bench.ran_requests())

    return check


async def doubled_and_late_orders_take_effect_once(bench: TargetBench) -> None:
    bench.set_fault(Fault(FaultKind.DOUBLED, "order", 1, delay_s=1.0))
    await run_until_complete(
        bench.advance_time, bench.connection.order(order_for("o1", "beta"))
    )
    await bench.advance_time(5.0)
    bench.set_fault(Fault(FaultKind.REORDERED, "order", 1))
    late = order_for("o2", "delta", fencing_number=1)._replace(memory_mib=1)
    await expect_failure(bench.advance_time, bench.connection.order(late))
    newer = order_for("o3", "beta", kind=OrderKind.UNLOAD_MODEL, fencing_number=2)
    await run_until_complete(bench.advance_time, bench.connection.order(newer))
    await bench.advance_time(60.0)
    report = await bench.connection.load_report()
    names = sorted(resident.name for resident in report.residents)
    assert_equal(["alpha"] if bench.checks_fencing else ["alpha", "delta"], names)


def _call(
    connection: TargetConnection, operation: str, request: InferRequest
) -> Awaitable[object]:
    if operation == "infer":
        return connection.infer(request)
    if operation == "stream":
        return read_stream(connection, request)
    return connection.order(order_for("o1", "beta"))


def _text_of(response: WholeResponse) -> str:
    body = msgspec.json.decode(response.body)
    return str(body["choices"][0]["message"]["content"])


def _state_of(residents: list[Resident], name: str) -> ResidentState | None:
    states = [r.state for r in residents if r.name == name]
    return states[0] if states else None


def report_failures_as_not_run(connection: TargetConnection) -> TargetConnection:
    """Return a faulty connection that reports every failed `infer` as not run."""

    async def infer(request: InferRequest) -> WholeResponse:
        try:
            return await connection.infer(request)
        except JaytrayError as err:
            err.execution = _NOT_RUN
            raise

    return connection._replace(infer=infer)


CASES_BY_NAME: dict[str, Case] = {
    case.__name__: case
    for case in (
        whole_response_is_the_expected_one,
        stream_is_the_expected_response,
        resumed_stream_continues,
        concurrent_responses_are_not_mixed,
        cancelled_stream_ends_without_an_end,
        unknown_model_does_not_run,
        malformed_body_does_not_run,
        orders_load_and_unload,
        same_order_takes_effect_once,
        impossible_orders_are_refused,
        old_fencing_number_is_handled_as_declared,
        crash_empties_the_memory,
        cache_events_are_ordered,
        doubled_and_late_orders_take_effect_once,
    )
}
