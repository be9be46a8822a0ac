"""Polling of the platform's VM list and selection of neighbours.

If the list cannot be read, the last one stays in use. In a small fleet all VMs are
neighbours. In a large one, each VM selects a few by rendezvous hashing, some of them in
other failure domains. The selected VMs keep a link back, so the links form an
undirected random graph, which is connected with high probability although the state and
the messages of a VM do not grow with the fleet.
"""

import asyncio
import random
from collections.abc import Callable

from jaytray_core.errors import JaytrayError
from jaytray_core.logs import get_logger
from jaytray_core.rendezvous import rank_members
from jaytray_core.vm_list import VmEntry, VmList, VmState

POLL_INTERVAL_S = 2.0
# Fleet size up to which all VMs are neighbours of each other.
FULL_MESH_VMS = 10
CHOSEN_IN_FAILURE_DOMAIN = 1
CHOSEN_ELSEWHERE = 2

# Called with the list that was read and the selected neighbours.
MembershipChange = Callable[[list[VmEntry], frozenset[str]], None]


def choose_neighbours(vm_id: str, vms: list[VmEntry]) -> frozenset[str]:
    """Return the VMs that `vm_id` opens links to."""
    own = next((vm for vm in vms if vm.vm_id == vm_id), None)
    others = [vm for vm in vms if vm.vm_id != vm_id]
    if len(vms) <= FULL_MESH_VMS or own is None:
        return frozenset(vm.vm_id for vm in others[:FULL_MESH_VMS])
    near = [vm.vm_id for vm in others if vm.failure_domain == own.failure_domain]
    far = [vm.vm_id for vm in others if vm.failure_domain != own.failure_domain]
    wanted = CHOSEN_IN_FAILURE_DOMAIN + CHOSEN_ELSEWHERE
    chosen = rank_members(vm_id, near)[:CHOSEN_IN_FAILURE_DOMAIN]
    chosen += rank_members(vm_id, far)[: wanted - len(chosen)]
    if len(chosen) < wanted:
        chosen = rank_members(vm_id, near)[:wanted]
    return frozenset(chosen)


async def follow_vm_list(
    vm_list: VmList,
    *,
    vm_id: str,
    on_change: MembershipChange,
    poll_interval_s: float = POLL_INTERVAL_S,
) -> None:
    """Poll the list until cancelled; call `on_change` after each successful read."""
    jitter = random.Random(vm_id)
    last: list[VmEntry] = []
    while True:
        try:
            vms = await vm_list.list_vms()
        except JaytrayError as err:
            get_logger().warning("vm_list_unavailable", error=str(err))
        else:
            if vms != last:
                _log_change(last, vms)
                last = vms
            on_change(vms, choose_neighbours(vm_id, vms))
        await asyncio.sleep(poll_interval_s * jitter.uniform(0.8, 1.2))


def _log_change(before: list[VmEntry], after: list[VmEntry]) -> None:
    ids_before = {vm.vm_id for vm in before}
    ids_after = {vm.vm_id for vm in after}
    get_logger().info(
        "vm_list_changed",
        joined=",".join(sorted(ids_after - ids_before)) or "-",
        gone=",".join(sorted(ids_before - ids_after)) or "-",
        leaving=",".join(
            sorted(vm.vm_id for vm in after if vm.state is VmState.LEAVING)
        )
        or "-",
    )
