"""Property test: orders under faults never overcommit an accelerator's memory.

Two VMs plan one group of two small targets, one of which checks fencing numbers.
Hypothesis drops, delays, duplicates and reorders orders, pauses and kills VMs, makes
the key-value service fail and restarts targets, while demand and document change. No
accelerator may ever be overcommitted, and once the faults end, every model must
become ready. With any one of the safety rules switched off, the test must fail.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.document.model import Document, Model, Target, empty_document
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.targets import TargetConnection
from jaytray_server.process.demand import DemandMeter
from jaytray_server.process.placement.executor import GroupConfig, GroupController
from jaytray_server.process.placement.groups import make_groups
from jaytray_server.process.placement.order_tracker import SafetyRules
from jaytray_server.process.placement.pacing import LoadLimits
from jaytray_server.process.target_table import TargetTable
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value, in_process_target
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.target.accelerators import LoadTimes
from jaytray_standins.target.records import OvercommitError
from jaytray_standins.target.state import TargetState
from jaytray_standins.virtual_time import VirtualClock

ORDER_DELAY_S = 30.0
LIMITS = LoadLimits(loads_per_second=10.0, concurrent_loads=8)
VM_IDS = ["vm-0", "vm-1"]
TARGETS = {
    "checks": Target("checks", "", "domain-a", 1, 30, True, 8, False),
    "ignores": Target("ignores", "", "domain-b", 1, 30, False, 8, False),
}
SIZE_BY_MODEL = {"a": 10, "b": 14, "c": 16, "d": 8}
ORDER_FAULTS = st.sampled_from(
    [FaultKind.REQUEST_LOST, FaultKind.ANSWER_LOST, FaultKind.LATE, FaultKind.DOUBLED]
)
DECLARED = st.sets(st.sampled_from(sorted(SIZE_BY_MODEL)), min_size=2)
SERVICE_FAULTS = st.sampled_from(
    [FaultKind.DOWN, FaultKind.ANSWER_LOST, FaultKind.STALE, FaultKind.SLOW]
)


def make_document(version: int, names: set[str]) -> Document:
    models = {
        name: Model(name, f"v{version // 4}", SIZE_BY_MODEL[name], 1, 2, 100, 1.0, 0.05)
        for name in sorted(names)
    }
    return empty_document("trial")._replace(
        version=version, models_by_name=models, targets_by_name=TARGETS
    )


class Gate:
    """Simulates a paused VM: blocks its calls at their start and at their return."""

    def __init__(self) -> None:
        self._is_open = asyncio.Event()
        self._is_open.set()

    def pause(self) -> None:
        self._is_open.clear()

    def resume(self) -> None:
        self._is_open.set()

    def wrap(self, call: Callable[..., Awaitable[Any]]) -> Callable[..., Any]:
        async def gated(*arguments: Any) -> Any:
            await self._is_open.wait()
            try:
                return await call(*arguments)
            finally:
                await self._is_open.wait()

        return gated


class Vm:
    """One VM: a group controller with a gate and network faults of its own."""

    def __init__(self, *, world: "World", vm_id: str) -> None:
        self.world = world
        self.vm_id = vm_id
        self.gate = Gate()
        self.service_faults = FaultSwitches()
        self.faults_by_target = {name: FaultSwitches() for name in TARGETS}
        self.start()

    def start(self) -> None:
        world, clock = self.world, self.world.clock
        service = in_process_key_value(world.store, self.service_faults)
        gated = KeyValueService(*(self.gate.wrap(call) for call in service[:8]))
        self.demand = DemandMeter(clock=clock)
        self.controller = GroupController(
            group="group-0",
            vm_id=self.vm_id,
            key_value=gated,
            connection_to=self._connections().get,
            current_document=lambda: world.document,
            current_config=lambda: GroupConfig(
                make_groups(world.document)["group-0"], LIMITS
            ),
            table=TargetTable(clock=clock),
            demand=self.demand,
            clock=clock,
            sleep=clock.sleep,
            rules=world.rules,
            new_order_id=world.new_order_id,
        )
        self.task = asyncio.ensure_future(self.controller.run())

    def kill(self) -> None:
        """Simulate a crash and restart; the lease is not released."""
        dead_gate, self.gate = self.gate, Gate()
        dead_gate.pause()
        self.world.dead_tasks.append(self.task)
        self.world.dead_gates.append(dead_gate)
        self.start()

    def _connections(self) -> dict[str, TargetConnection]:
        connections = {}
        for name, state in self.world.targets.items():
            raw = in_process_target(state, self.faults_by_target[name])
            connections[name] = raw._replace(
                order=self.gate.wrap(raw.order),
                load_report=self.gate.wrap(raw.load_report),
            )
        return connections


class World:
    """The simulated system: stand-ins, VMs and the document on one virtual clock."""

    def __init__(self, *, rules: SafetyRules) -> None:
        self.rules = rules
        self.clock = VirtualClock()
        self.store = KeyValueStore(clock=self.clock, sleep=self.clock.sleep)
        self.document = make_document(1, set(SIZE_BY_MODEL))
        self.orders_made = 0
        self.dead_tasks: list[asyncio.Task[None]] = []
        self.dead_gates: list[Gate] = []
        self.targets = {
            name: TargetState(
                name=name,
                accelerators=1,
                accelerator_memory_mib=target.accelerator_memory_mib,
                checks_fencing=target.checks_fencing,
                clock=self.clock,
                sleep=self.clock.sleep,
                load_times=LoadTimes(1.0, 0.1, 0.5),
                report_lag_s=1.0,
            )
            for name, target in TARGETS.items()
        }
        self.vms = [Vm(world=self, vm_id=vm_id) for vm_id in VM_IDS]

    def new_order_id(self) -> str:
        self.orders_made += 1
        return f"order-{self.orders_made}"

    def end_faults(self) -> None:
        for vm in self.vms:
            vm.gate.resume()
            for switches in (vm.service_faults, *vm.faults_by_target.values()):
                switches.clear()

    async def close(self) -> None:
        tasks = [vm.task for vm in self.vms] + self.dead_tasks
        for task in tasks:
            task.cancel()
        self.end_faults()
        for gate in self.dead_gates:
            gate.resume()
        for vm in self.vms:
            for switches in (vm.service_faults, *vm.faults_by_target.values()):
                await switches.close()


class OrdersUnderFaults(RuleBasedStateMachine):
    """Injects random faults; the targets detect overcommitted memory."""

    safety_rules = SafetyRules(order_delay_s=ORDER_DELAY_S)
    checks_recovery = True

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = self.runner.run(self._make_world())
        self._advance(12)

    async def _make_world(self) -> World:
        return World(rules=self.safety_rules)

    def _advance(self, seconds: float) -> None:
        self.runner.run(self.world.clock.advance(seconds))

    @rule(seconds=st.sampled_from([1, 3, 12, 40]))
    def let_time_pass(self, seconds: float) -> None:
        self._advance(seconds)

    @rule(vm=st.integers(0, 1), kind=ORDER_FAULTS, late_s=st.integers(2, 20))
    def disturb_orders_to_ignoring(self, vm: int, kind: FaultKind, late_s: int) -> None:
        fault = Fault(kind, operation="order", times=1, delay_s=late_s)
        self.world.vms[vm].faults_by_target["ignores"].set(fault)

    @rule(
        vm=st.integers(0, 1),
        kind=ORDER_FAULTS | st.just(FaultKind.REORDERED),
        late_s=st.integers(2, 200),
    )
    def disturb_orders_to_checking(self, vm: int, kind: FaultKind, late_s: int) -> None:
        fault = Fault(kind, operation="order", times=1, delay_s=late_s)
        self.world.vms[vm].faults_by_target["checks"].set(fault)

    @rule(vm=st.integers(0, 1), kind=SERVICE_FAULTS, times=st.integers(1, 20))
    def disturb_service(self, vm: int, kind: FaultKind, times: int) -> None:
        revision = max(1, self.world.store.revision - 3)
        fault = Fault(kind, times=times, delay_s=0.5, revision=revision)
        self.world.vms[vm].service_faults.set(fault)

    @rule(vm=st.integers(0, 1))
    def pause(self, vm: int) -> None:
        self.world.vms[vm].gate.pause()

    @rule(vm=st.integers(0, 1))
    def resume(self, vm: int) -> None:
        self.world.vms[vm].gate.resume()

    @rule(vm=st.integers(0, 1))
    def kill(self, vm: int) -> None:
        self.runner.run(self._kill(vm))

    async def _kill(self, vm: int) -> None:
        self.world.vms[vm].kill()

    @rule(name=st.sampled_from(sorted(TARGETS)))
    def restart_target(self, name: str) -> None:
        self.world.targets[name].crash()

    @rule(names=DECLARED)
    def change_document(self, names: set[str]) -> None:
        self.world.document = make_document(self.world.document.version + 1, names)

    @rule(
        kind=st.sampled_from([FaultKind.LATE, FaultKind.DOUBLED]),
        late_s=st.integers(12, 28),
        before=DECLARED,
        after=DECLARED,
    )
    def hand_over_with_orders_under_way(
        self, kind: FaultKind, late_s: int, before: set[str], after: set[str]
    ) -> None:
        """Pause the lease holder with late orders, then change the document."""
        for vm in self.world.vms:
            for switches in vm.faults_by_target.values():
                switches.set(Fault(kind, "order", times=2, delay_s=late_s))
        self.change_document(before)
        self._advance(2)
        holder = [vm for vm in self.world.vms if vm.controller.lease.is_valid()]
        for vm in holder:
            vm.gate.pause()
        self.change_document(after)
        self._advance(12)

    @rule(late_s=st.integers(40, 60), before=DECLARED, after=DECLARED)
    def restart_with_orders_under_way(
        self, late_s: int, before: set[str], after: set[str]
    ) -> None:
        """Restart the checking target twice, with late duplicates of its orders."""
        self.change_document(before)
        self.world.targets["checks"].crash()
        for vm in self.world.vms:
            fault = Fault(FaultKind.DOUBLED, "order", times=2, delay_s=late_s)
            vm.faults_by_target["checks"].set(fault)
        self._advance(8)
        self.world.targets["checks"].crash()
        self.change_document(after)
        self._advance(60)

    @rule(name=st.sampled_from(sorted(SIZE_BY_MODEL)))
    def raise_demand(self, name: str) -> None:
        for vm in self.world.vms:
            vm.demand.record(name, 5_000)

    @invariant()
    def memory_is_not_overcommitted(self) -> None:
        for target in self.world.targets.values():
            target.assert_not_overcommitted()

    def teardown(self) -> None:
        try:
            self._advance(60)
            self.memory_is_not_overcommitted()
            if self.checks_recovery:
                self._check_recovery()
        finally:
            self.runner.run(self.world.close())
            self.runner.close()

    def _check_recovery(self) -> None:
        self.world.end_faults()
        self._advance(150)
        self.memory_is_not_overcommitted()
        for name in self.world.document.models_by_name:
            ready = [
                target.name
                for target in self.world.targets.values()
                if target.accelerators.is_ready(name)
            ]
            assert ready, f"{name} is not ready after the faults: {self._residents()}"

    def _residents(self) -> dict[str, list[tuple[str, str, str]]]:
        return {
            target.name: [
                (resident.name, resident.version, str(resident.state))
                for resident in target.accelerators.residents()
            ]
            for target in self.world.targets.values()
        }


def run_machine(machine: type[OrdersUnderFaults], *, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


class OrdersUnderFaultsTests(TestCase):
    def test_memory_holds_under_faults(self) -> None:
        run_machine(OrdersUnderFaults, examples=25, steps=25)

    @parameterized.expand(
        [
            ("orders_not_counted", {"counts_orders": False}),
            ("fencing_not_used", {"uses_fencing": False}),
            ("successor_does_not_wait", {"successor_waits": False}),
        ]
    )
    def test_each_rule_is_needed(self, name: str, change: dict[str, bool]) -> None:
        rules = SafetyRules(order_delay_s=ORDER_DELAY_S)._replace(**change)
        machine = type(
            f"Broken_{name}",
            (OrdersUnderFaults,),
            {"safety_rules": rules, "checks_recovery": False},
        )
        self.assertRaises(OvercommitError, run_machine, machine, examples=400, steps=30)
