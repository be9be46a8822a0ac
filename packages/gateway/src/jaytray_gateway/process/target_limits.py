"""Rate limits that targets state in their responses, kept by all members together.

For each target one member permits the requests of all members at the stated rate.
Members ask it before each send. A member that takes over starts without unused permits.
"""

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.permit_exchange import (
    PermitAsk,
    PermitExchange,
    SendPermit,
)
from jaytray_gateway.process.stated_values import StatedValue, StatedValues
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_server.ports import PeerNetwork

# Seconds of the rate that may be sent at once, at least one request.
BURST_S = 0.2
# Wait that is stated if no permit can be expected.
UNKNOWN_WAIT_S = 1.0
MAX_RETURN_WAIT_S = 10.0

_TOPIC = "gateway.limit"
_LIMIT_TOPIC = "gateway.target_limit"


class SendSchedule:
    """Times at which requests may be sent to one target at a steady rate.

    Refused requests are told to come back one after the other at the same rate.
    """

    def __init__(self, *, incarnation: str, now_s: float) -> None:
        self.incarnation = incarnation
        # Time at which the requests permitted so far are paid for by the rate.
        self._paid_until_s = now_s
        self._return_s = now_s
        self._is_started = False

    def reserve(
        self, rate_per_s: float, *, now_s: float, max_wait_s: float
    ) -> SendPermit:
        """Return a permit for a send within `max_wait_s`, or when to come back."""
        if rate_per_s <= 0:
            return SendPermit(False, MAX_RETURN_WAIT_S)
        interval_s = 1 / rate_per_s
        burst_s = max(interval_s, BURST_S)
        if not self._is_started:
            self._is_started = True
            self._paid_until_s = now_s + burst_s
        paid_until_s = max(self._paid_until_s, now_s)
        wait_s = max(0.0, paid_until_s - burst_s - now_s)
        if wait_s <= max_wait_s:
            self._paid_until_s = paid_until_s + interval_s
            return SendPermit(True, wait_s)
        self._return_s = min(
            max(self._return_s, now_s + wait_s) + interval_s, now_s + MAX_RETURN_WAIT_S
        )
        return SendPermit(False, self._return_s - now_s)


class TargetLimits:
    """The limits known to this member, and the permits that it grants."""

    def __init__(self, *, peers: PeerNetwork, clock: MonotonicClock) -> None:
        self._clock = clock
        self._values = StatedValues(
            peers=peers, clock=clock, topic=_LIMIT_TOPIC, log_change=_log_change
        )
        self._exchange = PermitExchange(
            peers=peers, clock=clock, topic=_TOPIC, grant=self._grant, asks_next=True
        )
        self._schedule_by_target: dict[str, SendSchedule] = {}

    def record_response(
        self, target: TargetEntry, rate_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Record the limit in the response to a request sent at `sent_at_s`."""
        self._values.record_response(target, rate_per_s, sent_at_s=sent_at_s)

    async def acquire(self, target: TargetEntry, *, max_wait_s: float) -> SendPermit:
        """Return a permit to send one request to the target."""
        rate_per_s = self._values.find(target)
        if rate_per_s is None:
            return SendPermit(True, 0.0)
        found = await self._exchange.ask(target, value=rate_per_s, time_s=max_wait_s)
        return found[0] if found else SendPermit(False, UNKNOWN_WAIT_S)

    def limited_targets(self) -> int:
        """Return the number of targets that state a limit, as far as is known."""
        return self._values.count()

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        self._values.retain_targets(target_ids)
        for gone in self._schedule_by_target.keys() - target_ids:
            del self._schedule_by_target[gone]

    def _grant(self, _member: str, ask: PermitAsk) -> SendPermit:
        now_s = self._clock()
        schedule = self._schedule_by_target.get(ask.target_id)
        if schedule is None or schedule.incarnation != ask.incarnation:
            schedule = SendSchedule(incarnation=ask.incarnation, now_s=now_s)
            self._schedule_by_target[ask.target_id] = schedule
        return schedule.reserve(ask.value, now_s=now_s, max_wait_s=ask.time_s)


def _log_change(stated: StatedValue) -> None:
    get_logger().info(
        "target_limit_changed",
        target=stated.target_id,
        incarnation=stated.incarnation,
        rate_per_s="-" if stated.value is None else stated.value,
    )
