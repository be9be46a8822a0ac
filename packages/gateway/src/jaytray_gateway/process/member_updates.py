"""Passes changes of the registered members to the subsystems that use or count them."""

from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.logs import get_logger
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.fleet_topology import FleetTopology
from jaytray_gateway.process.membership import Member, RecentMembers
from jaytray_gateway.process.rate_shares import RateShares
from jaytray_gateway.process.relay_members import RelayMembers
from jaytray_gateway.process.retry_budget import RetryBudget
from jaytray_server.connection.peer_network import PeerHub


class MemberUpdates(NamedTuple):
    """Functions that update the subsystems.

    `apply` is called after each change of the directory. `update_counted` updates the
    members among which rates and budgets are divided; it is called periodically too, as
    members count for a while after their records are removed.
    """

    apply: Callable[[], None]
    update_counted: Callable[[], None]


def make_member_updates(
    *,
    own: Member,
    other_members: Callable[[], list[Member]],
    directory: Directory,
    hub: PeerHub,
    topology: FleetTopology,
    relays: RelayMembers,
    recent_members: RecentMembers,
    shares: RateShares,
    budget: RetryBudget,
) -> MemberUpdates:
    """Return the functions; `other_members` returns those that are registered."""

    def apply() -> None:
        others = other_members()
        members = [own, *others]
        relays.update(others)
        topology.update(m.vm_id for m in members if m.takes_digests())
        outside = {m.vm_id for m in others if not topology.takes_part(m.vm_id)}
        hub.update_vms(
            [_vm_entry(member) for member in members],
            chosen=topology.neighbours() | outside,
        )
        directory.member_count = len(members)
        update_counted()

    def update_counted() -> None:
        present = frozenset((own.vm_id, *hub.listed_vms()))
        recent_members.update(present)
        counted = recent_members.ids
        if counted != shares.member_ids:
            get_logger().info(
                "members_changed",
                members=",".join(sorted(present)),
                departed=",".join(sorted(counted - present)) or "-",
            )
        shares.set_members(counted)
        budget.member_count = len(counted)

    return MemberUpdates(apply, update_counted)


def _vm_entry(member: Member) -> VmEntry:
    return VmEntry(
        vm_id=member.vm_id,
        peer_address=member.peer_address,
        http_address="",
        failure_domain=member.failure_domain,
        state=VmState.LIVE,
        curve_public_key=member.curve_public_key,
    )
