"""Targets that have started or failed a short time ago, and the pace of their load.

For each of them, one member keeps the window of requests in flight for the whole fleet
and permits sends within it. Members tell it how the target answers. They notify each
other of the beginning and the end, as they see a restart at different times.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from enum import StrEnum
from functools import partial
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.logs import get_logger
from jaytray_gateway.process.answer_times import AnswerTimes
from jaytray_gateway.process.pace_ledger import PaceLedger
from jaytray_gateway.process.peer_sends import send_to_others
from jaytray_gateway.process.permit_exchange import (
    PermitAsk,
    PermitExchange,
    SendPermit,
)
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_server.ports import PeerNetwork

# In smaller fleets, each member's own view of the load suffices.
MIN_PACED_MEMBERS = 32
# Time after which a request that got no permit asks again, if no other target can take
# it.
PACE_RETRY_S = 0.1
# Time after a start from which the members' reports of requests under way are those of
# this start; a member that takes over the window goes on from them.
REPORTS_SETTLED_S = 3.0

_TOPIC = "gateway.pace"
_ANSWER_TOPIC = "gateway.pace_answer"
_NOTICE_TOPIC = "gateway.pace_notice"


class _Change(StrEnum):
    STARTED = "started"
    FAILED = "failed"
    ENDED = "ended"


class _Notice(NamedTuple):
    target_id: str
    incarnation: str
    change: _Change


class _Answer(NamedTuple):
    """What a member tells of a permitted request; `is_good` is None at its end."""

    number: int
    target_id: str
    incarnation: str
    is_good: bool | None


class _Recovery(NamedTuple):
    """A recovering target; `is_start` is False if it only failed several times."""

    incarnation: str
    since_s: float
    is_start: bool


class _UnstartedPermit(NamedTuple):
    member: str
    number: int
    incarnation: str


class PacedRequest:
    """A request at a target, whose first answer and end are reported once each.

    `report` is None if the target is not recovering; the answer is then an example for
    its peers.
    """

    def __init__(
        self,
        *,
        service: str,
        expected_ms: float,
        times: AnswerTimes,
        report: Callable[[bool | None], None] | None,
    ) -> None:
        self._service = service
        self._expected_ms = expected_ms
        self._times = times
        self._report = report
        self._is_answered = False
        self._overdue: asyncio.TimerHandle | None = None

    def start_timer(self) -> None:
        """Count the answer as slow as soon as it is later than one may be."""
        slow = self._times.slow_multiple(self._service)
        if self._report is not None and slow is not None:
            self._overdue = asyncio.get_running_loop().call_later(
                slow * self._expected_ms / 1000, self.record_trouble
            )

    def record_answer(self, answer_s: float) -> None:
        """Record the time to the first event or to the whole response."""
        if self._is_answered:
            return
        self._is_answered = True
        if self._overdue is not None:
            self._overdue.cancel()
        multiple = answer_s * 1000 / self._expected_ms
        if self._report is None:
            self._times.record(self._service, multiple)
        else:
            self._report(not self._times.is_slow(self._service, multiple))

    def record_trouble(self) -> None:
        """Record an error, also after a good beginning, or that no answer comes."""
        self._is_answered = True
        if self._report is not None:
            self._report(False)

    def end(self) -> None:
        """Record that the request is over."""
        if self._overdue is not None:
            self._overdue.cancel()
        if self._report is not None:
            self._report(None)
            self._report = None


class PacedTargets:
    """The recovering targets known to this member, and the permits that it grants.

    `running_at` returns the requests under way at a target by the members' reports.
    """

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: MonotonicClock,
        running_at: Callable[[str], int],
        member_count: Callable[[], int],
        is_enabled: bool = True,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._running_at = running_at
        self._member_count = member_count
        self._is_enabled = is_enabled
        self._times = AnswerTimes()
        self._exchange = PermitExchange(
            peers=peers, clock=clock, topic=_TOPIC, grant=self._grant, asks_next=False
        )
        self._recovery_by_target: dict[str, _Recovery] = {}
        self._ended_incarnation_by_target: dict[str, str] = {}
        # By target and incarnation, as members learn of a restart at different times.
        self._ledger_by_start: dict[tuple[str, str], PaceLedger] = {}
        # Permits of this member that no request has begun with, and all that it holds.
        self._unstarted_by_target: defaultdict[str, list[_UnstartedPermit]] = (
            defaultdict(list)
        )
        self._open_by_target: defaultdict[str, int] = defaultdict(int)
        peers.set_handler(_ANSWER_TOPIC, self._handle_answer)
        peers.set_handler(_NOTICE_TOPIC, self._handle_notice)

    def record_start(self, target: TargetEntry) -> None:
        """Record that the target has started during traffic."""
        self._begin(target.target_id, target.incarnation, _Change.STARTED)

    def record_failing(self, target: TargetEntry) -> None:
        """Record that a target fails again and again; it is paced when it recovers."""
        self._begin(target.target_id, target.incarnation, _Change.FAILED)

    def is_paced(self, target_id: str) -> bool:
        """Return whether the target is recovering, as far as is known."""
        return target_id in self._recovery_by_target and self._applies()

    async def acquire(self, target: TargetEntry) -> SendPermit:
        """Return a permit for one request; always granted if not recovering."""
        recovery = self._recovery_by_target.get(target.target_id)
        if recovery is None or not self._applies():
            return SendPermit(True, 0.0)
        target_id = target.target_id
        age_s = self._clock() - recovery.since_s
        self._open_by_target[target_id] += 1
        is_granted = False
        try:
            # The directory's entry may still be that of an earlier start.
            found = await self._exchange.ask(
                target._replace(incarnation=recovery.incarnation),
                value=target.slots,
                time_s=age_s if recovery.is_start else REPORTS_SETTLED_S,
                open_requests=self._open_by_target[target_id],
            )
            if found is None:
                # Nobody keeps the window, so this member sends one request at a time.
                is_granted = self._open_by_target[target_id] == 1
                wait_s = 0.0 if is_granted else PACE_RETRY_S
                found = SendPermit(is_granted, wait_s), self._peers.vm_id, 0
            permit, member, number = found
            is_granted = permit.is_granted
        finally:
            if not is_granted:
                self._open_by_target[target_id] -= 1
        if is_granted:
            self._unstarted_by_target[target_id].append(
                _UnstartedPermit(member, number, recovery.incarnation)
            )
        return permit

    def cancel(self, target: TargetEntry) -> None:
        """Give back a permit that no request begins with."""
        if self._unstarted_by_target.get(target.target_id):
            self.begin(target, service="", expected_ms=1.0).end()

    def begin(
        self, target: TargetEntry, *, service: str, expected_ms: float
    ) -> PacedRequest:
        """Return a request to the target, with a permit if it was given one.

        `expected_ms` is the time to its answer by its size, in any fixed proportion.
        """
        unstarted = self._unstarted_by_target.get(target.target_id)
        report: Callable[[bool | None], None] | None = None
        if unstarted:
            report = partial(self._report, target.target_id, unstarted.pop(0))
        elif self.is_paced(target.target_id):
            # Not an example for others: it was sent before this member knew.
            report = _ignore_answer
        request = PacedRequest(
            service=service,
            expected_ms=max(1.0, expected_ms),
            times=self._times,
            report=report,
        )
        request.start_timer()
        return request

    def count(self) -> int:
        """Return the number of recovering targets, as far as is known."""
        return len(self._recovery_by_target)

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the state of all other targets, which have left the directory."""
        for by_target in (self._recovery_by_target, self._ended_incarnation_by_target):
            for gone in by_target.keys() - target_ids:
                del by_target[gone]
        for gone in self._open_by_target.keys() - target_ids:
            if not self._open_by_target[gone]:
                del self._open_by_target[gone]
        for start in [s for s in self._ledger_by_start if s[0] not in target_ids]:
            del self._ledger_by_start[start]

    def _applies(self) -> bool:
        return self._is_enabled and self._member_count() >= MIN_PACED_MEMBERS

    def _begin(self, target_id: str, incarnation: str, change: _Change) -> None:
        if self._note(target_id, incarnation, change):
            self._notify_peers(target_id, incarnation, change)

    def _notify_peers(self, target_id: str, incarnation: str, change: _Change) -> None:
        notice = _Notice(target_id, incarnation, change)
        send_to_others(self._peers, _NOTICE_TOPIC, encode_msgpack(notice))

    def _note(self, target_id: str, incarnation: str, change: _Change) -> bool:
        """Apply a change; returns whether it was news."""
        known = self._recovery_by_target.get(target_id)
        is_known = known is not None and known.incarnation == incarnation
        if change is _Change.ENDED:
            self._ended_incarnation_by_target[target_id] = incarnation
            if is_known:
                del self._recovery_by_target[target_id]
            return is_known
        is_start = change is _Change.STARTED
        has_ended = self._ended_incarnation_by_target.get(target_id) == incarnation
        if is_known or (is_start and has_ended) or not self._applies():
            return False
        self._recovery_by_target[target_id] = _Recovery(
            incarnation, self._clock(), is_start
        )
        if has_ended:
            del self._ended_incarnation_by_target[target_id]
            self._ledger_by_start.pop((target_id, incarnation), None)
        get_logger().info(
            "target_recovering", target=target_id, incarnation=incarnation, cause=change
        )
        return True

    def _grant(self, member: str, ask: PermitAsk) -> SendPermit:
        start = (ask.target_id, ask.incarnation)
        ledger = self._ledger_by_start.get(start)
        running = self._running_at(ask.target_id)
        if ledger is None:
            ledger = PaceLedger(
                slots=round(ask.value),
                running=running if ask.time_s >= REPORTS_SETTLED_S else 0,
            )
            self._ledger_by_start[start] = ledger
        is_granted = ledger.reserve(
            (member, ask.number),
            now_s=self._clock(),
            open_requests=ask.open_requests,
            running=running,
        )
        if ledger.pace.is_ended:
            self._tell_ended(ask.target_id, ask.incarnation, member)
        return SendPermit(is_granted, 0.0 if is_granted else PACE_RETRY_S)

    def _tell_ended(self, target_id: str, incarnation: str, member: str) -> None:
        """Have all members end, or one that the notice has not reached."""
        if self._note(target_id, incarnation, _Change.ENDED):
            get_logger().info(
                "target_recovered", target=target_id, incarnation=incarnation
            )
            self._notify_peers(target_id, incarnation, _Change.ENDED)
        elif member != self._peers.vm_id:
            notice = _Notice(target_id, incarnation, _Change.ENDED)
            self._peers.send(member, _NOTICE_TOPIC, encode_msgpack(notice))

    def _report(
        self, target_id: str, permit: _UnstartedPermit, is_good: bool | None
    ) -> None:
        if is_good is None:
            self._open_by_target[target_id] -= 1
        answer = _Answer(permit.number, target_id, permit.incarnation, is_good)
        if permit.member == self._peers.vm_id:
            self._apply_answer(permit.member, answer)
        else:
            self._peers.send(permit.member, _ANSWER_TOPIC, encode_msgpack(answer))

    def _apply_answer(self, member: str, answer: _Answer) -> None:
        ledger = self._ledger_by_start.get((answer.target_id, answer.incarnation))
        if ledger is None:
            return
        permit = (member, answer.number)
        if answer.is_good is None:
            ledger.end(permit)
            return
        was_ended = ledger.pace.is_ended
        ledger.record_answer(permit, is_good=answer.is_good)
        if ledger.pace.is_ended and not was_ended:
            self._tell_ended(answer.target_id, answer.incarnation, self._peers.vm_id)

    def _handle_answer(self, sender: str, body: bytes) -> None:
        self._apply_answer(sender, decode_msgpack(body, _Answer, peer=sender))

    def _handle_notice(self, sender: str, body: bytes) -> None:
        notice = decode_msgpack(body, _Notice, peer=sender)
        self._note(notice.target_id, notice.incarnation, notice.change)


def _ignore_answer(_is_good: bool | None) -> None:
    """Report nothing."""
