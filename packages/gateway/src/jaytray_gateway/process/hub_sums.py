"""What a hub adds up: the reports of its members and the sums of other hubs.

Each member reports to one hub at a time, and each hub tells the others the sum of the
reports that it received itself, so that no member counts twice. Messages carry numbers
that rise over restarts: late and doubled ones are ignored.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.process.demand_average import add_rates
from jaytray_gateway.process.latest_messages import LatestMessages
from jaytray_gateway.process.load_view import PEER_REPORT_TTL_S, TargetLoad

# Hubs that were not heard for this long are left out when notices are sent.
HUB_TTL_S = 1.5
# Members whose links to targets each hub tells of in one message, so that its size
# stays bounded when many are cut off.
MAX_LINK_SAMPLES = 6


class LinkSample(NamedTuple):
    """A member that was heard, and the services that it does not reach."""

    member: str
    cut_off_services: list[str]


class HubReport(TypedDict):
    """A member's requests in flight and its callers' demand by replica.

    `is_last` says that the member reports to another hub from now on.
    """

    number: int
    is_last: bool
    load_by_target: dict[str, TargetLoad]
    replicas_by_target: dict[str, list[str]]
    cut_off_services: list[str]
    rate_by_replica: dict[str, float]


class HubPart(TypedDict):
    """The sum of the reports that a hub received itself."""

    number: int
    load_by_target: dict[str, TargetLoad]
    links: list[LinkSample]


class HubDemand(TypedDict):
    """Demand and use of replicas in the reports that a hub received itself."""

    number: int
    replicas_by_target: dict[str, list[str]]
    rate_by_replica: dict[str, float]


class HubSums:
    """The reports and sums that this member received, for as long as they are fresh."""

    def __init__(self, *, clock: MonotonicClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._reports = LatestMessages[HubReport](clock=clock, ttl_s=PEER_REPORT_TTL_S)
        self._parts = LatestMessages[HubPart](clock=clock, ttl_s=PEER_REPORT_TTL_S)

    def record_report(self, member: str, report: HubReport) -> bool:
        """Store a member's report; returns False for one that is late or doubled."""
        return self._reports.record(member, report["number"], report)

    def record_part(self, hub: str, part: HubPart) -> bool:
        """Store another hub's sum; returns False for one that is late or doubled."""
        return self._parts.record(hub, part["number"], part)

    def forget_report(self, member: str) -> None:
        """Drop the report of a member that reports elsewhere."""
        self._reports.by_sender.pop(member, None)

    def number_by_member(self) -> dict[str, int]:
        """Return the members whose reports are in the sum, and the reports' numbers."""
        self._drop_expired()
        return {
            member: received.number
            for member, received in self._reports.by_sender.items()
            if not received.message["is_last"]
        }

    def loads_of(self, member: str) -> dict[str, TargetLoad]:
        """Return a member's part of the sum."""
        received = self._reports.by_sender.get(member)
        return received.message["load_by_target"] if received is not None else {}

    def hubs(self) -> list[str]:
        """Return the hubs whose sums arrived recently."""
        oldest_s = self._clock() - HUB_TTL_S
        return [
            hub
            for hub, received in self._parts.by_sender.items()
            if received.received_at_s >= oldest_s
        ]

    def own_part(self, number: int) -> HubPart:
        """Return the sum of the reports that this hub received."""
        self._drop_expired()
        return HubPart(
            number=number,
            load_by_target=add_loads(
                report["load_by_target"] for report in self._reports.messages()
            ),
            links=self._sample_links(),
        )

    def fleet_loads(self, own_part: HubPart) -> dict[str, TargetLoad]:
        """Return the load of all targets by the members of all groups."""
        others = (part["load_by_target"] for part in self._parts.messages())
        return add_loads([own_part["load_by_target"], *others])

    def fleet_links(self, own_part: HubPart) -> list[LinkSample]:
        """Return the members in all hubs' samples."""
        others = [part["links"] for part in self._parts.messages()]
        return [sample for links in [own_part["links"], *others] for sample in links]

    def demand(self, number: int, *, leader: str) -> HubDemand:
        """Return the demand in the reports of all members but the leader itself."""
        self._drop_expired()
        rates: dict[str, float] = {}
        replicas_by_target: dict[str, set[str]] = {}
        for member, received in self._reports.by_sender.items():
            if member == leader:
                continue
            add_rates(rates, received.message["rate_by_replica"])
            for target, replicas in received.message["replicas_by_target"].items():
                replicas_by_target.setdefault(target, set()).update(replicas)
        return HubDemand(
            number=number,
            replicas_by_target={
                target: sorted(replicas)
                for target, replicas in replicas_by_target.items()
            },
            rate_by_replica=rates,
        )

    def _sample_links(self) -> list[LinkSample]:
        """Return one member that reaches the most, and some that are cut off."""
        samples = [
            LinkSample(member, received.message["cut_off_services"])
            for member, received in self._reports.by_sender.items()
            if not received.message["is_last"]
        ]
        self._rng.shuffle(samples)
        samples.sort(key=lambda sample: len(sample.cut_off_services))
        cut_off = [sample for sample in samples[1:] if sample.cut_off_services]
        return samples[:1] + cut_off[: MAX_LINK_SAMPLES - 1]

    def _drop_expired(self) -> None:
        self._reports.drop_expired()
        self._parts.drop_expired()


def add_loads(parts: Iterable[dict[str, TargetLoad]]) -> dict[str, TargetLoad]:
    """Return the sum of loads by target."""
    running_by_target: dict[str, int] = {}
    tokens_by_target: dict[str, dict[int, int]] = {}
    for loads in parts:
        for target, (running, waiting) in loads.items():
            running_by_target[target] = running_by_target.get(target, 0) + running
            tokens = tokens_by_target.setdefault(target, {})
            for priority, count in waiting.items():
                tokens[priority] = tokens.get(priority, 0) + count
    return {
        target: TargetLoad(running, tokens_by_target[target])
        for target, running in running_by_target.items()
    }


def subtract_loads(
    total: dict[str, TargetLoad], part: dict[str, TargetLoad]
) -> dict[str, TargetLoad]:
    """Return the total without a part of it; what is left is never negative."""
    left = dict(total)
    for target, (running, waiting) in part.items():
        if target not in left:
            continue
        tokens = dict(left[target].waiting_tokens_by_priority)
        for priority, count in waiting.items():
            tokens[priority] = max(0, tokens.get(priority, 0) - count)
        left[target] = TargetLoad(
            max(0, left[target].running - running),
            {priority: count for priority, count in tokens.items() if count},
        )
    return left
