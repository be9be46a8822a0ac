"""Tests that accepted deferred requests are durable and run to a result."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import httpx
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.targets import TargetConnection
from jaytray_server.process.deferred.leases import ShardLeases
from jaytray_server.process.deferred.runner import DeferredRunner
from jaytray_server.request.deferred_routes import run_job
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value, in_process_service
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.target.service_state import ServiceState
from packages.server.tests.request.peers import FakeNetwork
from packages.server.tests.request.support import (
    Site,
    chat_body,
    make_deferred_store,
    make_idempotency,
    make_site,
    make_targets,
)
from packages.server.tests.request.virtual_loop import (
    loop_clock,
    loop_wall_clock,
    run_virtual,
)

CHAT = {"path": "/v1/chat/completions", "body": chat_body("note")}
BOOKING = {"path": "/services/rounds/book", "body": {"barn": 7}}


class Fleet:
    """VMs that share a key-value service, model targets and one plain service."""

    def __init__(self, *, vm_ids: tuple[str, ...] = ("vm1",)) -> None:
        self.store = KeyValueStore(clock=loop_clock)
        self.network = FakeNetwork(vm_ids=vm_ids)
        self.faults = FaultSwitches()
        self.targets = make_targets()
        self.service = ServiceState(name="s", clock=loop_clock)
        self.sites = {vm: self._site(vm) for vm in vm_ids}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._leases_by_vm: dict[str, ShardLeases] = {}

    def _site(self, vm: str) -> Site:
        return make_site(
            connection_to=self.targets.connection_to,
            connection_to_address=self._connection_to_service,
            deferred=make_deferred_store(self.store, self.faults),
            idempotency=make_idempotency(self.store, self.faults, self.network, vm),
        )

    def _connection_to_service(self, _address: str) -> TargetConnection:
        return in_process_service(self.service, FaultSwitches())

    def start(self, vm: str) -> None:
        """Start the job runner of one VM."""
        services = self.sites[vm].services
        leases = ShardLeases(
            key_value=in_process_key_value(self.store, self.faults, timeout_s=0.05),
            peers=self.network.for_vm(vm),
            clock=loop_clock,
        )
        self._leases_by_vm[vm] = leases
        runner = DeferredRunner(
            store=services.deferred,
            leases=leases,
            run_job=lambda job: run_job(services, job),
            may_start=lambda: services.lifecycle.is_ready,
            clock=loop_clock,
            wall_clock=loop_wall_clock,
            poll_interval_s=0.01,
        )
        self._tasks[vm] = asyncio.create_task(runner.run())

    async def kill(self, vm: str) -> None:
        """Simulate the crash of a VM; its lease expires, and its locks with it."""
        self._tasks[vm].cancel()
        await asyncio.gather(self._tasks[vm], return_exceptions=True)
        self.network.vm_ids = tuple(v for v in self.network.vm_ids if v != vm)
        held = {str(shard) for shard in self._leases_by_vm[vm].held_shards()}
        for record in self.store.get_prefix("deferred/locks/"):
            if str(int(record.key.rpartition("/")[2])) in held:
                self.store.revoke_lease(record.value.decode())

    async def send(self, method: str, path: str, **arguments: Any) -> httpx.Response:
        """Send one HTTP request to the first VM."""
        async with next(iter(self.sites.values())).client() as client:
            return await client.request(method, path, **arguments)

    async def submit(self, body: object, key: str = "") -> httpx.Response:
        """Submit one deferred request."""
        headers = {"idempotency-key": key} if key else {}
        return await self.send("POST", "/v1/deferred", json=body, headers=headers)

    async def wait_for_status(self, job_id: str) -> dict[str, Any]:
        """Poll a job until it is finished, at most 200 times; return its status."""
        for _ in range(200):
            found = await self.send("GET", f"/v1/deferred/{job_id}")
            if found.status_code != 202:
                break
            await asyncio.sleep(0.01)
        status: dict[str, Any] = found.json()
        return status


def _run(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await test()

    run_virtual(run())


class DeferredTests(TestCase):
    def test_job_runs_and_its_response_is_stored(self) -> None:
        async def test() -> None:
            fleet = Fleet()
            accepted = await fleet.submit(CHAT)
            self.assertEqual(202, accepted.status_code)
            fleet.start("vm1")
            status = await fleet.wait_for_status(accepted.json()["id"])
            self.assertEqual("done", status["status"])
            self.assertIn("usage", status["answer"])
            ran = [r for s in fleet.targets.states.values() for r in s.ran_requests]
            self.assertEqual([10], [r.priority for r in ran])
            self.assertEqual([], fleet.store.get_prefix("deferred/jobs/"))

        _run(test)

    def test_another_account_does_not_see_it(self) -> None:
        async def test() -> None:
            fleet = Fleet()
            job_id = (await fleet.submit(CHAT)).json()["id"]
            deferred = fleet.sites["vm1"].services.deferred
            with self.assertRaisesRegex(Exception, "not_found"):
                await deferred.find(job_id, "another")

        _run(test)

    @parameterized.expand(
        [
            ("no_key", BOOKING, 422, "deferred_needs_key"),
            ("path", {"path": "/x", "body": {}}, 400, "invalid_request"),
            ("shape", {"path": "/x"}, 400, "invalid_request"),
            ("model", {**CHAT, "body": {"model": "no"}}, 404, "model_unknown"),
            ("large", {**CHAT, "body": "x" * 300_000}, 413, "request_too_large"),
        ]
    )
    def test_refused(self, _name: str, body: object, status: int, code: str) -> None:
        async def test() -> None:
            response = await Fleet().submit(body)
            error = response.json()["error"]
            self.assertEqual((status, code), (response.status_code, error["code"]))
            self.assertEqual("not_run", error["execution"])

        _run(test)

    @parameterized.expand(
        [
            ("down", Fault(FaultKind.DOWN), "not_run"),
            ("lost", Fault(FaultKind.REQUEST_LOST, times=1), "not_run"),
            ("answer", Fault(FaultKind.ANSWER_LOST, "compare_and_swap", times=1), ""),
        ]
    )
    def test_durable_or_not_run(self, _name: str, fault: Fault, execution: str) -> None:
        async def test() -> None:
            fleet = Fleet()
            fleet.faults.set(fault)
            response = await fleet.submit(CHAT)
            stored = fleet.store.get_prefix("deferred/jobs/")
            if response.status_code == 202:
                self.assertEqual(1, len(stored))
            else:
                self.assertEqual(execution, response.json()["error"]["execution"])
                self.assertEqual([], stored)

        _run(test)

    def test_resubmission_under_the_same_key_is_the_same_job(self) -> None:
        async def test() -> None:
            fleet = Fleet()
            responses = [await fleet.submit(BOOKING, "k1") for _ in range(3)]
            self.assertEqual(1, len({r.json()["id"] for r in responses}))
            fleet.start("vm1")
            await fleet.wait_for_status(responses[0].json()["id"])
            again = await fleet.submit(BOOKING, "k1")
            self.assertEqual(202, again.status_code)
            await asyncio.sleep(0.05)
            self.assertEqual(1, len(fleet.service.ran_requests))

        _run(test)

    def test_job_survives_the_death_of_its_runner(self) -> None:
        async def test() -> None:
            fleet = Fleet(vm_ids=("vm1", "vm2", "vm3"))
            ids = [(await fleet.submit(CHAT)).json()["id"] for _ in range(4)]
            booking = (await fleet.submit(BOOKING, "k1")).json()["id"]
            for vm in ("vm1", "vm2", "vm3"):
                fleet.start(vm)
            await asyncio.sleep(0.012)
            await fleet.kill("vm2")
            await fleet.kill("vm3")
            for job_id in ids:
                self.assertEqual(
                    "done", (await fleet.wait_for_status(job_id))["status"]
                )
            await fleet.wait_for_status(booking)
            self.assertLessEqual(len(fleet.service.ran_requests), 1)

        _run(test)

    def test_outage_while_running_drops_nothing(self) -> None:
        async def test() -> None:
            fleet = Fleet()
            job_id = (await fleet.submit(CHAT)).json()["id"]
            fleet.faults.set(Fault(FaultKind.DOWN))
            fleet.start("vm1")
            await asyncio.sleep(0.05)
            fleet.faults.clear()
            self.assertEqual("done", (await fleet.wait_for_status(job_id))["status"])

        _run(test)
