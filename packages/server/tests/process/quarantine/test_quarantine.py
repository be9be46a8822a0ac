"""Tests of requests that crash targets, on a fleet of VMs with stand-in targets."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from unittest import mock

import httpx
from testtools import TestCase

from jaytray_server.process.quarantine.evidence import Evidence
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.key_value.store import KeyValueStore
from packages.server.tests.request.peers import FakeNetwork
from packages.server.tests.request.support import (
    TARGETS,
    Site,
    chat_body,
    make_quarantine,
    make_site,
    make_targets,
)
from packages.server.tests.request.virtual_loop import loop_clock, run_virtual

VMS = ("vm1", "vm2", "vm3")
CRASHING = chat_body("crash-the-target")


class Fleet:
    """Three VMs and three targets with one shared key-value service."""

    def __init__(self) -> None:
        self.targets = make_targets(restart_s=0.05)
        self.store = KeyValueStore(clock=loop_clock)
        self.network = FakeNetwork(vm_ids=VMS)
        self.faults = FaultSwitches()
        self.sites = {vm: self._site(vm) for vm in VMS}

    def _site(self, vm: str) -> Site:
        quarantine = make_quarantine(
            self.store,
            self.faults,
            self.network,
            vm,
            boot_id_of=self.targets.boot_id_of,
        )
        return make_site(
            connection_to=self.targets.connection_to, quarantine=quarantine
        )

    @property
    def crashes(self) -> int:
        """Return the number of crashes over all targets."""
        return sum(state.crashes for state in self.targets.states.values())

    async def send(self, vm: str, body: dict[str, object]) -> httpx.Response:
        """Send one chat completion through `vm`."""
        async with self.sites[vm].client() as client:
            return await client.post("/v1/chat/completions", json=body, timeout=30)


def _run(test: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        await test(Fleet())

    run_virtual(run())


@contextmanager
def _without_suspicion() -> Iterator[None]:
    with mock.patch.object(Evidence, "apply"):
        yield


class CrashingRequestTests(TestCase):
    def test_resent_request_costs_two_targets(self) -> None:
        async def test(fleet: Fleet) -> None:
            for number in range(9):
                response = await fleet.send(VMS[number % 3], CRASHING)
                self.assertIn(response.status_code, (422, 502, 503))
                await asyncio.sleep(0.06)
            self.assertEqual(2, fleet.crashes)
            error = response.json()["error"]
            self.assertEqual("request_quarantined", error["code"])
            self.assertEqual("not_run", error["execution"])
            self.assertIn("retry-after", response.headers)

        _run(test)

    def test_harness_detects_a_fleet_without_suspicion(self) -> None:
        async def test(fleet: Fleet) -> None:
            for number in range(3):
                await fleet.send(VMS[number], CRASHING)
                await asyncio.sleep(0.06)
            self.assertGreater(fleet.crashes, 2)

        with _without_suspicion():
            _run(test)

    def test_resent_at_once_through_all_vms(self) -> None:
        async def test(fleet: Fleet) -> None:
            sends = [fleet.send(VMS[number % 3], CRASHING) for number in range(6)]
            await asyncio.gather(*sends)
            at_start = fleet.crashes
            for number in range(6):
                await fleet.send(VMS[number % 3], CRASHING)
                await asyncio.sleep(0.06)
            # All six requests were in flight at the first crash.
            self.assertLessEqual(at_start, 3)
            self.assertLessEqual(fleet.crashes, 3)

        _run(test)

    def test_other_requests_in_flight_are_retried_and_cleared(self) -> None:
        async def test(fleet: Fleet) -> None:
            others = [fleet.send(VMS[n % 3], chat_body(f"hello {n}")) for n in range(6)]
            running = [asyncio.ensure_future(send) for send in others]
            await asyncio.sleep(0.005)
            await fleet.send("vm1", CRASHING)
            responses = await asyncio.gather(*running)
            self.assertEqual([200] * 6, [r.status_code for r in responses])
            await asyncio.sleep(0.06)
            for vm in VMS:
                found = fleet.sites[vm].services.quarantine.list_suspects()
                self.assertEqual([True], [s.is_quarantined for s in found])

        _run(test)

    def test_suspects_are_refused_elsewhere_while_the_service_is_down(self) -> None:
        async def test(fleet: Fleet) -> None:
            fleet.faults.set(Fault(FaultKind.DOWN))
            for number in range(6):
                await fleet.send(VMS[number % 3], CRASHING)
                await asyncio.sleep(0.06)
            self.assertEqual(2, fleet.crashes)

        _run(test)

    def test_restarted_vm_reads_suspects_from_the_service(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.send("vm1", CRASHING)
            await asyncio.sleep(0.06)
            restarted = make_quarantine(fleet.store, None, fleet.network, "vm3")
            reading = asyncio.create_task(restarted.run())
            await asyncio.sleep(0.02)
            reading.cancel()
            self.assertEqual(
                [True], [s.is_quarantined for s in restarted.list_suspects()]
            )

        _run(test)

    def test_cut_connection_is_no_crash(self) -> None:
        async def test(fleet: Fleet) -> None:
            for name in TARGETS[:2]:
                fault = Fault(FaultKind.CUT, "stream", times=1)
                fleet.targets.faults[name].set(fault)
            body = {**chat_body("hello"), "stream": True}
            response = await fleet.send("vm1", body)
            self.assertIn("[DONE]", response.text)
            quarantine = fleet.sites["vm1"].services.quarantine
            self.assertEqual([], quarantine.list_suspects())

        _run(test)

    def test_lifted_request_may_run_again(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.send("vm1", CRASHING)
            await asyncio.sleep(0.06)
            quarantine = fleet.sites["vm2"].services.quarantine
            for suspect in quarantine.list_suspects():
                await quarantine.lift(suspect.digest)
            await asyncio.sleep(0)
            await fleet.send("vm3", CRASHING)
            self.assertGreater(fleet.crashes, 2)

        _run(test)
