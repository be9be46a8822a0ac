"""The faults by name, each as a function that injects it into a fleet.

Duplicate delivery of a dispatch has no entry: it would happen below TCP, and a target
recognises a duplicate by the request id, which is new for each dispatch.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from jaytray_server.request.services import Phase
from jaytray_standins.faults import Fault, FaultKind
from tools.fault_cases.callers import Call, CallKind, make_call
from tools.fault_cases.fleet import SERVICE_ADDRESSES, Fleet

# Injects a fault; runs concurrently with the callers.
InjectFault = Callable[[Fleet], Awaitable[None]]

FAULT_COUNT = 6
CRASHING_MARKER = "crash-the-target"
CRASHING_ATTEMPTS = 8
FAULT_AT_S = 0.03
CLEAR_AFTER_S = 0.6


def _target_fault(fault: Fault, *peers: str) -> InjectFault:
    async def inject(fleet: Fleet) -> None:
        fleet.set_target_fault(fault, peers)

    return inject


def _key_value_fault(fault: Fault) -> InjectFault:
    async def inject(fleet: Fleet) -> None:
        fleet.set_key_value_fault(fault)

    return inject


async def _crash_target(fleet: Fleet) -> None:
    await asyncio.sleep(FAULT_AT_S)
    fleet.targets.states["t1"].crash()


async def _crash_target_twice(fleet: Fleet) -> None:
    await _crash_target(fleet)
    await asyncio.sleep(CLEAR_AFTER_S)
    fleet.targets.states["t1"].crash()


async def _crash_service(fleet: Fleet) -> None:
    await asyncio.sleep(FAULT_AT_S)
    fleet.service_states[SERVICE_ADDRESSES[0]].crash()


async def _kill_vm(fleet: Fleet) -> None:
    await asyncio.sleep(FAULT_AT_S)
    fleet.kill_vm("vm2")


async def _drain_vm(fleet: Fleet) -> None:
    await asyncio.sleep(FAULT_AT_S)
    fleet.vms_by_id["vm3"].services.lifecycle.phase = Phase.DRAINING


async def _isolate_vm(fleet: Fleet) -> None:
    """Isolate a VM before the load balancer notices that it refuses requests."""
    await asyncio.sleep(FAULT_AT_S)
    lifecycle = fleet.vms_by_id["vm3"].services.lifecycle
    lifecycle.is_isolated = True


async def _cut_peers(fleet: Fleet) -> None:
    fleet.network.cut_off.add("vm1")


async def _lose_commit_responses(fleet: Fleet) -> None:
    fleet.network.silent_topics.add("idempotency.committed")


async def _withdraw_key(fleet: Fleet) -> None:
    await asyncio.sleep(FAULT_AT_S * 2)
    for vm in fleet.vms_by_id.values():
        vm.streams.end_all()


async def _interrupt_key_value(fleet: Fleet) -> None:
    await asyncio.sleep(FAULT_AT_S)
    fleet.set_key_value_fault(Fault(FaultKind.DOWN))
    await asyncio.sleep(CLEAR_AFTER_S)
    for vm in fleet.vms_by_id.values():
        if vm.vm_id not in fleet.dead_vms:
            vm.key_value_faults.clear(FaultKind.DOWN)


async def _send_crashing_request(fleet: Fleet) -> None:
    """Send a request that crashes its target, several times in a row."""
    call = Call(CRASHING_MARKER, CallKind.CHAT, 0.0, False)
    rng = random.Random(0)
    for _ in range(CRASHING_ATTEMPTS):
        await make_call(fleet, call, rng)
        await asyncio.sleep(FAULT_AT_S)


async def _no_fault(_fleet: Fleet) -> None:
    return


INJECT_BY_NAME: dict[str, InjectFault] = {
    "none": _no_fault,
    "target_down": _target_fault(Fault(FaultKind.DOWN), "t1", "s1"),
    "request_lost": _target_fault(Fault(FaultKind.REQUEST_LOST, times=FAULT_COUNT)),
    "answer_lost": _target_fault(Fault(FaultKind.ANSWER_LOST, times=FAULT_COUNT)),
    "late": _target_fault(Fault(FaultKind.LATE, times=FAULT_COUNT, delay_s=0.2)),
    "too_late": _target_fault(Fault(FaultKind.LATE, times=FAULT_COUNT, delay_s=1.0)),
    "slow": _target_fault(Fault(FaultKind.SLOW, times=FAULT_COUNT, delay_s=0.2)),
    "silent": _target_fault(Fault(FaultKind.SILENT), "t2", "s2"),
    "reordered": _target_fault(Fault(FaultKind.REORDERED, times=2)),
    "crossed": _target_fault(Fault(FaultKind.CROSSED, times=FAULT_COUNT)),
    "cut": _target_fault(Fault(FaultKind.CUT, "stream", times=FAULT_COUNT, pieces=4)),
    "stalled": _target_fault(
        Fault(FaultKind.STALLED, "stream", times=FAULT_COUNT, pieces=3)
    ),
    "short": _target_fault(
        Fault(FaultKind.SHORT, "stream", times=FAULT_COUNT, pieces=2)
    ),
    "refused": _target_fault(Fault(FaultKind.REFUSED, times=FAULT_COUNT)),
    "failed": _target_fault(Fault(FaultKind.FAILED, times=FAULT_COUNT)),
    "target_crash": _crash_target,
    "target_crashes_twice": _crash_target_twice,
    "service_crash": _crash_service,
    "crashing_request": _send_crashing_request,
    "vm_death": _kill_vm,
    "vm_draining": _drain_vm,
    "vm_isolated": _isolate_vm,
    "peers_cut": _cut_peers,
    "owner_silent": _lose_commit_responses,
    "key_withdrawn": _withdraw_key,
    "kv_outage": _interrupt_key_value,
    "kv_down": _key_value_fault(Fault(FaultKind.DOWN)),
    "kv_answers_lost": _key_value_fault(
        Fault(FaultKind.ANSWER_LOST, "compare_and_swap", times=FAULT_COUNT)
    ),
    "kv_late": _key_value_fault(
        Fault(FaultKind.LATE, "compare_and_swap", times=FAULT_COUNT, delay_s=0.08)
    ),
    "kv_doubled": _key_value_fault(
        Fault(FaultKind.DOUBLED, "compare_and_swap", times=FAULT_COUNT, delay_s=0.02)
    ),
    "kv_reordered": _key_value_fault(
        Fault(FaultKind.REORDERED, "compare_and_swap", times=FAULT_COUNT)
    ),
    "kv_slow": _key_value_fault(Fault(FaultKind.SLOW, delay_s=0.03)),
}
