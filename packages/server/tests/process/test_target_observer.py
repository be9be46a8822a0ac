"""Tests of the divided observation of targets and of its message budget."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.document.model import Document, Target, empty_document
from jaytray_server.ports import PeerHandler, PeerNetwork
from jaytray_server.process.cache_index import CacheIndex
from jaytray_server.process.demand import DemandMeter
from jaytray_server.process.target_observer import (
    BYTES_PER_S,
    COPIES_PER_MESSAGE,
    MAX_MESSAGE_INTERVAL_S,
    TargetObserver,
    message_interval_s,
)
from jaytray_server.process.target_table import TargetTable
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_target
from jaytray_standins.target.state import TargetState
from jaytray_standins.virtual_time import VirtualClock

VM_IDS = [f"vm-{number}" for number in range(4)]
TARGET_NAMES = [f"t{number}" for number in range(6)]


def make_document() -> Document:
    return empty_document("trial")._replace(
        targets_by_name={
            name: Target(name, "", "d", 1, 100, True, 8, False) for name in TARGET_NAMES
        }
    )


class Fleet:
    """Several VMs that observe the same targets over a lossless network."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.handlers_by_vm: dict[str, PeerHandler] = {}
        self.faults = FaultSwitches()
        self.targets = {
            name: TargetState(
                name=name,
                accelerators=1,
                accelerator_memory_mib=100,
                checks_fencing=True,
                clock=self.clock,
                sleep=self.clock.sleep,
            )
            for name in TARGET_NAMES
        }
        self.connections = {
            name: in_process_target(state, self.faults)
            for name, state in self.targets.items()
        }
        self.tables = {vm: TargetTable(clock=self.clock) for vm in VM_IDS}
        self.meters = {vm: DemandMeter(clock=self.clock) for vm in VM_IDS}
        self.observers = {vm: self._make_observer(vm) for vm in VM_IDS}

    def _make_observer(self, vm_id: str) -> TargetObserver:
        return TargetObserver(
            vm_id=vm_id,
            peers=self._network(vm_id),
            connection_to=self.connections.get,
            current_document=make_document,
            table=self.tables[vm_id],
            cache_index=CacheIndex(clock=self.clock),
            demand=self.meters[vm_id],
            sleep=self.clock.sleep,
        )

    def _network(self, vm_id: str) -> PeerNetwork:
        def broadcast(_topic: str, body: bytes) -> None:
            for other, handler in self.handlers_by_vm.items():
                if other != vm_id:
                    handler(vm_id, body)

        return PeerNetwork(
            vm_id=vm_id,
            send=lambda _vm, _topic, _body: True,
            broadcast=broadcast,
            set_handler=lambda _topic, h: self.handlers_by_vm.update({vm_id: h}),
            neighbours=lambda: VM_IDS,
            listed_vms=lambda: VM_IDS,
        )

    async def run(self, seconds: float) -> None:
        tasks = [asyncio.ensure_future(o.run()) for o in self.observers.values()]
        await self.clock.advance(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TargetObserverTests(TestCase):
    def test_each_vm_knows_each_target_and_all_demand(self) -> None:
        async def scenario() -> Fleet:
            fleet = Fleet()
            fleet.meters["vm-0"].record("m", 1_000)
            await fleet.run(5.0)
            return fleet

        fleet = asyncio.run(scenario())
        for vm in VM_IDS:
            known = [name for name in TARGET_NAMES if fleet.tables[vm].report_of(name)]
            self.assertEqual(TARGET_NAMES, known)
            self.assertIn("m", fleet.meters[vm].total_demand())
        observers = [fleet.observers[vm].observed_targets() for vm in VM_IDS]
        self.assertEqual(2 * len(TARGET_NAMES), sum(len(each) for each in observers))

    def test_all_vms_suspect_a_target_that_cannot_be_read(self) -> None:
        async def scenario() -> Fleet:
            fleet = Fleet()
            await fleet.run(3.0)
            fleet.faults.set(Fault(FaultKind.DOWN))
            await fleet.run(3.0)
            return fleet

        fleet = asyncio.run(scenario())
        for vm in VM_IDS:
            self.assertTrue(fleet.tables[vm].is_suspected("t0"))

    def test_a_malformed_message_is_dropped(self) -> None:
        fleet = Fleet()
        fleet.handlers_by_vm["vm-1"]("vm-0", b"\xc1")
        self.assertEqual(set(), fleet.tables["vm-1"].known_targets())

    @parameterized.expand([("today", 8, 400), ("design", 370, 300), ("more", 370, 900)])
    def test_the_period_keeps_within_the_budget(
        self, _name: str, vms: int, size: int
    ) -> None:
        period = message_interval_s(vms, size)
        bytes_per_s = vms * size * COPIES_PER_MESSAGE / period
        self.assertTrue(
            bytes_per_s <= BYTES_PER_S or period in (1.0, MAX_MESSAGE_INTERVAL_S)
        )
