"""Tests of streams: resumption, error events, disconnects and slow callers."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.codec import encode_json
from jaytray_core.targets import StreamPiece, TargetConnection
from jaytray_server.request.responses import StreamHandle, send_stream
from jaytray_server.request.services import Timeouts
from jaytray_standins.faults import Fault, FaultKind
from jaytray_standins.target.generation import expected_text
from packages.server.tests.request.support import (
    TARGETS,
    Site,
    Targets,
    chat_body,
    make_site,
    make_targets,
)
from packages.server.tests.request.virtual_loop import run_virtual
from tools.fault_cases.judge import stream_text

BODY = chat_body("a stream", stream=True)
TIMEOUTS = Timeouts(first_token_s=0.5, idle_token_s=0.2)


class VmUnderTest:
    """One VM with three targets, on virtual time."""

    def __init__(self, **changes: Any) -> None:
        self.targets: Targets = make_targets(restart_s=0.2)
        self.cancelled: list[str] = []
        self.site: Site = make_site(
            connection_to=self._connection, timeouts=TIMEOUTS, **changes
        )

    def _connection(self, name: str) -> TargetConnection:
        async def cancel(request_id: str) -> None:
            self.cancelled.append(request_id)

        return self.targets.connection_to(name)._replace(cancel=cancel)

    async def stream(self) -> bytes:
        """Return the body of the streamed response."""
        async with self.site.client() as client:
            response = await client.post("/v1/chat/completions", json=BODY)
        return response.content

    @property
    def runs(self) -> int:
        """Return the number of attempts that reached a target."""
        return sum(len(s.ran_requests) for s in self.targets.states.values())


def _run(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await test()

    run_virtual(run())


class ResumeTests(TestCase):
    @parameterized.expand(
        [
            ("cut", Fault(FaultKind.CUT, "stream", times=1, pieces=3)),
            ("cut_at_once", Fault(FaultKind.CUT, "stream", times=1, pieces=0)),
            ("stalled", Fault(FaultKind.STALLED, "stream", times=1, pieces=3)),
            ("short", Fault(FaultKind.SHORT, "stream", times=1, pieces=3)),
            ("crossed", Fault(FaultKind.CROSSED, "stream", times=1)),
            ("down", Fault(FaultKind.DOWN, "stream", times=1)),
            ("silent", Fault(FaultKind.SILENT, "stream", times=1)),
            ("refused", Fault(FaultKind.REFUSED, "stream", times=1)),
        ]
    )
    def test_resumed_elsewhere(self, _name: str, fault: Fault) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            for name in TARGETS[:2]:
                vm.targets.faults[name].set(fault)
            text, is_done = stream_text(await vm.stream())
            self.assertTrue(is_done)
            self.assertEqual(expected_text(encode_json(BODY)), text)
            self.assertEqual(0, vm.site.calls.slots_held)

        _run(test)

    def test_crash_in_the_middle_is_resumed(self) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            running = asyncio.ensure_future(vm.stream())
            await asyncio.sleep(0.015)
            vm.targets.states["t1"].crash()
            text, is_done = stream_text(await running)
            self.assertTrue(is_done)
            self.assertEqual(expected_text(encode_json(BODY)), text)
            resumed = vm.targets.states["t2"].ran_requests[0]
            self.assertGreater(resumed.resume_after_tokens, 0)

        _run(test)

    def test_stream_is_resumed_at_the_model_version_that_began_it(self) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            vm.site.calls.version_by_target["t2"] = "v2"
            running = asyncio.ensure_future(vm.stream())
            await asyncio.sleep(0.015)
            vm.targets.states["t1"].crash()
            text, is_done = stream_text(await running)
            self.assertTrue(is_done)
            self.assertEqual(expected_text(encode_json(BODY)), text)
            self.assertEqual(0, len(vm.targets.states["t2"].ran_requests))

        _run(test)

    def test_error_event_ends_stream_that_no_target_can_resume(self) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            for name in TARGETS:
                fault = Fault(FaultKind.FAILED, "infer")
                vm.targets.faults[name].set(fault)
            vm.targets.faults["t1"].set(
                Fault(FaultKind.CUT, "stream", times=1, pieces=2)
            )
            for name in TARGETS:
                vm.targets.faults[name].set(Fault(FaultKind.CUT, "stream", pieces=0))
            body = (await vm.stream()).decode()
            text, is_done = stream_text(body.encode())
            self.assertFalse(is_done)
            self.assertTrue(expected_text(encode_json(BODY)).startswith(text))
            self.assertIn("event: error", body)
            self.assertIn('"execution":"may_have_run"', body)

        _run(test)


class _Caller:
    """A caller that can disconnect, and that pauses after each message it receives."""

    def __init__(self, *, pause_s: float = 0.0) -> None:
        self.left = asyncio.Event()
        self.chunks: list[bytes] = []
        self._pause_s = pause_s

    async def receive(self) -> Any:
        """Report the disconnect once the caller has disconnected."""
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Mapping[str, Any]) -> None:
        """Receive one message of the response."""
        self.chunks.append(message.get("body", b""))
        if self._pause_s:
            await asyncio.sleep(self._pause_s)


def _piece(number: int, *, is_end: bool = False, size: int = 10) -> StreamPiece:
    return StreamPiece("id", number, "w", b"x" * size, is_end, number, "")


class CallerTests(TestCase):
    def test_disconnect_cancels_and_settles(self) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            caller = _Caller()
            app: Any = vm.site.client()._transport.app  # type: ignore[attr-defined]
            body = encode_json(BODY)
            messages = [{"type": "http.request", "body": body, "more_body": False}]

            async def receive() -> Any:
                return messages.pop() if messages else await caller.receive()

            scope = vm.site.scope("POST", "/v1/chat/completions")
            serving = asyncio.ensure_future(app(scope, receive, caller.send))
            await asyncio.sleep(0.02)
            caller.left.set()
            await serving
            await asyncio.sleep(0.05)
            (run,) = vm.targets.states["t1"].ran_requests
            self.assertEqual(1, vm.runs)
            self.assertEqual([run.request_id], vm.cancelled)
            self.assertEqual(0, vm.targets.states["t1"].slots.running)
            calls = vm.site.calls
            self.assertEqual(0, calls.slots_held)
            self.assertLess(calls.settled[0], calls.reserved[0])
            self.assertGreater(calls.settled[0], 0)

        _run(test)

    def test_slow_caller_exerts_back_pressure(self) -> None:
        async def test() -> None:
            produced = 0

            async def pieces() -> AsyncGenerator[StreamPiece, None]:
                nonlocal produced
                for number in range(1, 1001):
                    produced = number
                    yield _piece(number, is_end=number == 1000, size=1000)

            caller = _Caller(pause_s=1.0)
            sending = asyncio.ensure_future(
                send_stream(
                    caller.send,
                    request_id="r",
                    pieces=pieces(),
                    buffer_bytes=10_000,
                    slow_caller_s=60.0,
                    handle=StreamHandle(),
                )
            )
            await asyncio.sleep(2.5)
            self.assertLess(produced, 40)
            await sending
            self.assertEqual(1000, b"".join(caller.chunks).count(b"data: x"))

        _run(test)

    def test_pieces_that_arrive_together_are_written_together(self) -> None:
        async def test() -> None:
            async def pieces() -> AsyncGenerator[StreamPiece, None]:
                for number in range(1, 101):
                    if number % 25 == 1:
                        await asyncio.sleep(0.01)
                    yield _piece(number, is_end=number == 100)

            caller = _Caller()
            await send_stream(
                caller.send,
                request_id="r",
                pieces=pieces(),
                buffer_bytes=65_536,
                slow_caller_s=1.0,
                handle=StreamHandle(),
            )
            # The response start, four chunks and the `[DONE]` event.
            self.assertEqual(6, len(caller.chunks))

        _run(test)
