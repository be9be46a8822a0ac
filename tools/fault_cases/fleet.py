"""Three VMs with stand-ins for targets, a plain service and the key-value service.

Everything runs in one process on virtual time. Each VM has its own fault switches
for its connections to each target, the service and the key-value service.
"""

import asyncio
from typing import NamedTuple

from litestar import Litestar

from jaytray_core.targets import TargetConnection
from jaytray_server.request.http_api import make_app
from jaytray_server.request.services import RequestServices, Timeouts
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_service, in_process_target
from jaytray_standins.key_value.store import KeyValueStore
from jaytray_standins.target.records import RanRequest
from jaytray_standins.target.service_state import ServiceState
from packages.server.tests.request.peers import FakeNetwork
from packages.server.tests.request.support import (
    make_deferred_store,
    make_idempotency,
    make_quarantine,
    make_site,
    make_targets,
)
from packages.server.tests.request.virtual_loop import loop_clock
from tools.fault_cases.revocation import StreamRegister

VM_IDS = ("vm1", "vm2", "vm3")
SERVICE_ADDRESSES = ("s1", "s2")
TARGET_TIMEOUT_S = 0.5
RESTART_S = 0.2
TIMEOUTS = Timeouts(
    first_token_s=0.6,
    idle_token_s=0.3,
    whole_response_s=2.0,
    slow_caller_s=0.5,
    cancel_s=0.1,
)


class Vm(NamedTuple):
    """One VM, its connections' fault switches and its running requests."""

    vm_id: str
    app: Litestar
    services: RequestServices
    key_value_faults: FaultSwitches
    faults_by_peer: dict[str, FaultSwitches]
    streams: StreamRegister
    running: set["asyncio.Task[object]"]


class Fleet:
    """The VMs and stand-ins of one case."""

    def __init__(self) -> None:
        self.store = KeyValueStore(clock=loop_clock)
        self.network = FakeNetwork(vm_ids=VM_IDS)
        self.targets = make_targets(restart_s=RESTART_S, token_interval_s=0.005)
        self.service_states = {
            address: ServiceState(
                name=address, clock=loop_clock, answer_s=0.02, restart_s=RESTART_S
            )
            for address in SERVICE_ADDRESSES
        }
        self.dead_vms: set[str] = set()
        self.vms_by_id = {vm_id: self._make_vm(vm_id) for vm_id in VM_IDS}

    def live_vms(self) -> list[str]:
        """Return the VMs that the load balancer sends requests to."""
        return [
            vm_id
            for vm_id, vm in self.vms_by_id.items()
            if vm_id not in self.dead_vms and vm.services.lifecycle.is_ready
        ]

    def ran_requests(self) -> list[RanRequest]:
        """Return all requests that reached a target or the service."""
        ran: list[RanRequest] = []
        for target in self.targets.states.values():
            ran.extend(target.ran_requests)
        for service in self.service_states.values():
            ran.extend(service.ran_requests)
        return ran

    def set_target_fault(self, fault: Fault, peers: tuple[str, ...] = ()) -> None:
        """Inject a fault between every VM and `peers`, by default all peers."""
        for vm in self.vms_by_id.values():
            for peer, faults in vm.faults_by_peer.items():
                if not peers or peer in peers:
                    faults.set(fault)

    def set_key_value_fault(self, fault: Fault) -> None:
        """Inject a fault between every VM and the key-value service."""
        for vm in self.vms_by_id.values():
            vm.key_value_faults.set(fault)

    def kill_vm(self, vm_id: str) -> None:
        """Kill a VM: disconnect it from everything and cancel its requests."""
        vm = self.vms_by_id[vm_id]
        self.dead_vms.add(vm_id)
        self.network.cut_off.add(vm_id)
        for faults in (vm.key_value_faults, *vm.faults_by_peer.values()):
            faults.set(Fault(FaultKind.DOWN))
        for task in list(vm.running):
            task.cancel()

    async def close(self) -> None:
        """Close the VMs' background tasks and fault switches."""
        for vm in self.vms_by_id.values():
            await vm.services.idempotency.close(max_wait_s=0.0)
            for faults in vm.faults_by_peer.values():
                await faults.close()

    def _make_vm(self, vm_id: str) -> Vm:
        key_value_faults = FaultSwitches()
        faults_by_peer = {
            peer: FaultSwitches() for peer in (*self.targets.states, *SERVICE_ADDRESSES)
        }

        def connection_to(name: str) -> TargetConnection:
            return in_process_target(
                self.targets.states[name],
                faults_by_peer[name],
                timeout_s=TARGET_TIMEOUT_S,
            )

        def connection_to_address(address: str) -> TargetConnection:
            return in_process_service(
                self.service_states[address], faults_by_peer[address]
            )

        streams = StreamRegister()
        site = make_site(
            connection_to=connection_to,
            connection_to_address=connection_to_address,
            timeouts=TIMEOUTS,
            first_target=VM_IDS.index(vm_id),
            register_stream=streams.register,
            idempotency=make_idempotency(
                self.store, key_value_faults, self.network, vm_id
            ),
            quarantine=make_quarantine(
                self.store,
                key_value_faults,
                self.network,
                vm_id,
                boot_id_of=self.targets.boot_id_of,
            ),
            deferred=make_deferred_store(self.store, key_value_faults),
        )
        return Vm(
            vm_id=vm_id,
            app=make_app(site.services),
            services=site.services,
            key_value_faults=key_value_faults,
            faults_by_peer=faults_by_peer,
            streams=streams,
            running=set(),
        )
