"""Groups of members and their hubs, computed by each member from the registered ids.

Members of a group send their reports to a hub of the group, and hubs exchange sums, so
that the messages and links of a member grow with the square root of the fleet at most.
Members compute the same groups while they know the same ids; where their views differ,
a message may reach a member that is not a hub in its own view, which serves it.
"""

import math
from collections.abc import Iterable

from jaytray_core.rendezvous import owner_of, rank_members

# Smallest fleet with groups: in smaller ones, the links to all others cost less than
# the additional hops.
MIN_HUB_MEMBERS = 16
# The second hub takes over while the first one is silent.
HUBS_PER_GROUP = 2
# Hubs that the other hubs ask for changes of the directory.
DIRECTORY_SOURCES = 2


def group_count(member_count: int) -> int:
    """Return the number of groups, which is about that of the members of each."""
    return round(math.sqrt(member_count))


class FleetTopology:
    """The groups in this member's view.

    A member that is known to be silent does not serve as a hub until it is heard again.
    """

    def __init__(self, *, own_id: str) -> None:
        self._own_id = own_id
        self._member_ids: frozenset[str] = frozenset()
        self._group_by_member: dict[str, int] = {}
        # Members of each group in the order in which they serve as its hubs.
        self._ranked_by_group: dict[int, list[str]] = {}
        self._silent: set[str] = set()

    def update(self, member_ids: Iterable[str]) -> None:
        """Set the registered members that take part in groups, this one included."""
        members = frozenset(member_ids) | {self._own_id}
        if members == self._member_ids:
            return
        previous_count = group_count(len(self._member_ids))
        count = group_count(len(members))
        known = self._group_by_member if count == previous_count else {}
        groups_by_name = {str(group): group for group in range(count)}
        self._group_by_member = {
            member: (
                known[member] if member in known else _group_of(member, groups_by_name)
            )
            for member in members
        }
        self._member_ids = members
        self._silent &= members
        self._ranked_by_group = {}
        for group in sorted(set(self._group_by_member.values())):
            grouped = [m for m in members if self._group_by_member[m] == group]
            self._ranked_by_group[group] = rank_members(f"hub {group}", grouped)

    def mark_silent(self, member: str) -> None:
        """Skip a hub that did not answer in time."""
        if member in self._member_ids and member != self._own_id:
            self._silent.add(member)

    def mark_heard(self, member: str) -> None:
        """Let a member serve as a hub again."""
        self._silent.discard(member)

    def member_count(self) -> int:
        """Return the number of members that take part in groups."""
        return len(self._member_ids)

    def is_used(self) -> bool:
        """Return whether the fleet is large enough for groups."""
        return len(self._member_ids) >= MIN_HUB_MEMBERS

    def own_hubs(self) -> tuple[str, ...]:
        """Return the hubs of this member's group in the order in which to use them.

        They include this member if it is a hub, and are empty in a small fleet. A group
        of one member has one hub.
        """
        if not self.is_used():
            return ()
        return self._hubs_of(self._group_by_member[self._own_id])

    def directory_hubs(self) -> tuple[str, ...]:
        """Return the members to ask for changes of the directory, in order.

        Members of a group ask its hubs, and first hubs ask the fleet's sources. They
        include this member if it is one of those.
        """
        if not self.is_first_hub():
            return self.own_hubs()
        first_hubs = {self._hubs_of(group)[0] for group in self._ranked_by_group}
        ranked = rank_members("directory source", first_hubs)
        return tuple(ranked[:DIRECTORY_SOURCES])

    def is_hub(self) -> bool:
        """Return whether this member is a hub of its group."""
        return self._own_id in self.own_hubs()

    def is_first_hub(self) -> bool:
        """Return whether the members of this member's group should report to it."""
        return self.own_hubs()[:1] == (self._own_id,)

    def takes_part(self, member: str) -> bool:
        """Return whether a member reports to hubs."""
        return self.is_used() and member in self._member_ids

    def own_group(self) -> frozenset[str]:
        """Return the other members of this member's group."""
        if not self.is_used():
            return frozenset()
        ranked = self._ranked_by_group[self._group_by_member[self._own_id]]
        return frozenset(ranked) - {self._own_id}

    def other_hubs(self) -> frozenset[str]:
        """Return the first hub of each other group, and the second if that is silent.

        The first one stays among them, so that both ends hear of each other again after
        an interruption that lasted for both.
        """
        if not self.is_used():
            return frozenset()
        own_group = self._group_by_member[self._own_id]
        hubs: set[str] = set()
        for group, ranked in self._ranked_by_group.items():
            if group != own_group:
                is_silent = ranked[0] in self._silent
                hubs.update(ranked[: HUBS_PER_GROUP if is_silent else 1])
        return frozenset(hubs)

    def neighbours(self) -> frozenset[str]:
        """Return the members to which this one keeps links open."""
        hubs = frozenset(self.own_hubs()) - {self._own_id}
        if self.is_first_hub():
            return hubs | self.own_group() | self.other_hubs()
        return hubs

    def _hubs_of(self, group: int) -> tuple[str, ...]:
        ranked = self._ranked_by_group[group]
        heard = [member for member in ranked if member not in self._silent]
        return tuple((heard or ranked)[:HUBS_PER_GROUP])


def _group_of(member: str, groups_by_name: dict[str, int]) -> int:
    """Return a member's group; a further group takes only its own members."""
    name = owner_of(f"group {member}", groups_by_name)
    return groups_by_name[name] if name is not None else 0
