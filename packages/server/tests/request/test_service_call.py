"""Tests of calls to plain services: retries, paths, idempotency, address health."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

import httpx
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.targets import TargetConnection
from jaytray_server.request.service_routing import AddressHealth
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_service
from jaytray_standins.target.service_state import ServiceState
from packages.server.tests.request.support import KEY, make_site
from packages.server.tests.request.virtual_loop import loop_clock, run_virtual

ADDRESSES = ("s1", "s2")


class VmUnderTest:
    """One VM with two addresses of a service."""

    def __init__(self, **state: Any) -> None:
        self.states = {
            name: ServiceState(name=name, clock=loop_clock, **state)
            for name in ADDRESSES
        }
        self.faults = {name: FaultSwitches() for name in ADDRESSES}
        self.site = make_site(connection_to=self._connection)

    def _connection(self, address: str) -> TargetConnection:
        return in_process_service(self.states[address], self.faults[address])

    @property
    def runs(self) -> int:
        """Return the number of calls that reached the service."""
        return sum(len(state.ran_requests) for state in self.states.values())

    async def send(self, method: str, path: str, **arguments: Any) -> httpx.Response:
        """Send one call."""
        async with self.site.client() as client:
            return await client.request(method, f"/services/rounds{path}", **arguments)


def _run(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await test()

    run_virtual(run())


class RepeatTests(TestCase):
    @parameterized.expand(
        [
            ("get", "GET", "/x", FaultKind.ANSWER_LOST, 200, ""),
            ("safe_post", "POST", "/safe/x", FaultKind.ANSWER_LOST, 200, ""),
            ("post", "POST", "/x", FaultKind.ANSWER_LOST, 504, "may_have_run"),
            ("post_crossed", "POST", "/x", FaultKind.CROSSED, 502, "may_have_run"),
            ("post_refused", "POST", "/x", FaultKind.REFUSED, 503, "not_run"),
            ("post_down", "POST", "/x", FaultKind.DOWN, 200, ""),
        ]
    )
    def test_one_fault_at_each_address(
        self,
        _name: str,
        method: str,
        path: str,
        kind: FaultKind,
        status: int,
        execution: str,
    ) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            for faults in vm.faults.values():
                faults.set(Fault(kind, times=1))
            if kind is FaultKind.ANSWER_LOST and status == 200:
                vm.faults["s2"].clear()
            response = await vm.send(method, path, content=b"{}")
            self.assertEqual(status, response.status_code)
            if execution:
                self.assertEqual(execution, response.json()["error"]["execution"])
                self.assertLessEqual(vm.runs, 1)

        _run(test)

    def test_error_response_of_the_service_is_passed_on(self) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            for faults in vm.faults.values():
                faults.set(Fault(FaultKind.FAILED))
            response = await vm.send("POST", "/x", content=b"{}")
            self.assertEqual(500, response.status_code)
            self.assertEqual("POST", response.json()["method"])
            self.assertEqual(1, vm.runs)

        _run(test)

    def test_failing_address_is_avoided(self) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            vm.faults["s1"].set(Fault(FaultKind.SILENT))
            began_s = loop_clock()
            for _ in range(10):
                response = await vm.send("GET", "/x")
                self.assertEqual(200, response.status_code)
            # Only the first call sent to the silent address waited for its timeout.
            self.assertLess(loop_clock() - began_s, 5.0)

        _run(test)

    def test_health_recovers(self) -> None:
        async def test() -> None:
            health = AddressHealth(clock=loop_clock)
            health.record_failure("s1")
            self.assertFalse(health.is_healthy("s1"))
            await asyncio.sleep(1.1)
            self.assertTrue(health.is_healthy("s1"))
            health.record_failure("s1")
            await asyncio.sleep(1.1)
            self.assertFalse(health.is_healthy("s1"))
            health.record_success("s1")
            self.assertTrue(health.is_healthy("s1"))

        _run(test)


class PathTests(TestCase):
    @parameterized.expand(
        [
            ("plain", "/menu/today", 200, "/menu/today"),
            ("exact", "/menu", 200, "/menu"),
            ("encoded", "/menu/a%20b%2Fc", 200, "/menu/a%20b%2Fc"),
            ("longer_name", "/menu-admin", 401, ""),
            ("dots", "/menu/../book", 400, ""),
            ("encoded_dots", "/menu/%2e%2e/book", 400, ""),
            ("backslash", "/menu/%5c..%5cbook", 400, ""),
            ("control", "/menu/%00", 400, ""),
        ]
    )
    def test_open_prefix(self, _name: str, path: str, status: int, sent: str) -> None:
        """Calls without a key reach only paths that the open route covers."""

        async def test() -> None:
            vm = VmUnderTest()
            scope = vm.site.scope("GET", "/services/rounds/menu")
            scope["headers"] = []
            scope["path"] = unquote(f"/services/rounds{path}")
            scope["raw_path"] = f"/services/rounds{path}".encode()
            statuses: list[int] = []
            body = [{"type": "http.request", "body": b"", "more_body": False}]

            async def receive() -> Any:
                return body.pop() if body else await asyncio.Event().wait()

            async def send(message: Any) -> None:
                if message["type"] == "http.response.start":
                    statuses.append(message["status"])

            app: Any = vm.site.client()._transport.app  # type: ignore[attr-defined]
            await app(scope, receive, send)
            self.assertEqual([status], statuses)
            ran = [r for s in vm.states.values() for r in s.ran_requests]
            self.assertEqual([sent] if sent else [], [r.path for r in ran])

        _run(test)


class IdempotencyKeyTests(TestCase):
    @parameterized.expand([("empty", ""), ("long", "k" * 300)])
    def test_bad_keys_are_refused(self, _name: str, key: str) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            headers = {"idempotency-key": key}
            response = await vm.send("POST", "/x", content=b"{}", headers=headers)
            self.assertEqual(400, response.status_code)
            self.assertEqual(0, vm.runs)

        _run(test)

    def test_disconnected_caller_gets_the_response_on_a_retry(self) -> None:
        async def test() -> None:
            vm = VmUnderTest(answer_s=0.5)
            headers = {"idempotency-key": "k"}
            arguments: Any = {"content": b"{}", "headers": headers}
            scope = vm.site.scope("POST", "/services/rounds/x", headers=headers)
            left = asyncio.Event()
            body = [{"type": "http.request", "body": b"{}", "more_body": False}]

            async def receive() -> Any:
                if body:
                    return body.pop()
                await left.wait()
                return {"type": "http.disconnect"}

            async def send(_message: Any) -> None:
                return

            app: Any = vm.site.client()._transport.app  # type: ignore[attr-defined]
            serving = asyncio.ensure_future(app(scope, receive, send))
            await asyncio.sleep(0.1)
            left.set()
            await serving
            self.assertEqual(1, vm.site.services.lifecycle.running_responses)
            running = await vm.send("POST", "/x", **arguments)
            self.assertEqual("idempotency_running", running.json()["error"]["code"])
            await asyncio.sleep(1.0)
            response = await vm.send("POST", "/x", **arguments)
            self.assertEqual(200, response.status_code)
            self.assertEqual("true", response.headers["idempotent-replayed"])
            self.assertEqual(1, vm.runs)

        _run(test)

    def test_key_in_the_body_is_refused(self) -> None:
        async def test() -> None:
            vm = VmUnderTest()
            response = await vm.send("POST", "/x", content=KEY.encode())
            self.assertEqual(400, response.status_code)
            self.assertEqual(0, vm.runs)

        _run(test)
