"""Fair queueing of client accounts for the running slots of targets.

Each target has a bounded number of running requests. Waiting requests start in the
order of start-time fair queueing: the start tag of a request is the maximum of the
target's virtual time and its account's last finish tag, which advances by tokens
divided by weight. An account that exceeds its fair share only lengthens its own queue.

Interactive requests take precedence over deferred ones, except that one in
`DEFERRED_START_INTERVAL` starts goes to a deferred request if one is waiting. A request
that cannot start within its maximum wait is refused as soon as this is known.
"""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.document.model import TrafficClass
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.ports import CurrentDocument, Metrics, SlotRequest
from jaytray_server.process.metrics import make_null_metrics

# Running calls per address of a plain service, for which the document sets no limit.
SERVICE_RUNNING_CALLS = 64
MAX_WAITING_PER_TARGET = 512
MAX_WAITING_PER_ACCOUNT = 128
# One in this many starts goes to a deferred request if one is waiting.
DEFERRED_START_INTERVAL = 8
# Minimum `retry_after_s` of a refusal, in seconds.
MIN_RETRY_AFTER_S = 1.0
# Replaces smaller weights, to avoid division by zero.
MIN_WEIGHT = 1e-9
# Number of finish tags of a target above which those in the past are dropped.
MAX_FINISH_TAGS = 256
# Weight of the newest observation in the mean time for which a slot is held.
HOLD_TIME_GAIN = 0.2


class _Waiting(NamedTuple):
    start_tag: float
    sequence: int
    request: SlotRequest
    future: asyncio.Future[None]


class _TargetQueue:
    """Slots, queues and virtual time of one target."""

    def __init__(self) -> None:
        self.running = 0
        self.virtual_time = 0.0
        self.finish_tags: dict[tuple[TrafficClass, str], float] = {}
        self.waiting: dict[TrafficClass, list[_Waiting]] = {
            traffic_class: [] for traffic_class in TrafficClass
        }
        self.waiting_by_account: dict[str, int] = {}
        self.starts_since_deferred = 0
        self.mean_hold_s: float | None = None

    def waiting_total(self) -> int:
        """Return the number of waiting requests over all accounts."""
        return sum(self.waiting_by_account.values())

    def drop_old_tags(self) -> None:
        """Drop the finish tags that no longer have an effect."""
        self.finish_tags = {
            key: tag for key, tag in self.finish_tags.items() if tag > self.virtual_time
        }

    def is_idle(self) -> bool:
        """Return whether no request runs or waits."""
        return self.running == 0 and not self.waiting_by_account


class TargetSlots:
    """Running slots of all targets; `acquire` is a `ports.AcquireSlot`."""

    def __init__(
        self,
        *,
        current_document: CurrentDocument,
        clock: MonotonicClock,
        metrics: Metrics | None = None,
        max_waiting_per_target: int = MAX_WAITING_PER_TARGET,
        max_waiting_per_account: int = MAX_WAITING_PER_ACCOUNT,
    ) -> None:
        self._current_document = current_document
        self._clock = clock
        self._metrics = metrics or make_null_metrics()
        self._max_waiting_per_target = max_waiting_per_target
        self._max_waiting_per_account = max_waiting_per_account
        self._queues_by_target: dict[str, _TargetQueue] = {}
        self._sequence = itertools.count()

    @asynccontextmanager
    async def acquire(self, request: SlotRequest) -> AsyncIterator[None]:
        """Hold one slot of the target for the block.

        Raises `queue_full`, or `deadline_unreachable` when the wait would be too long.
        """
        queue = self._queues_by_target.setdefault(request.target, _TargetQueue())
        asked_at = self._clock()
        await self._start(queue, request)
        started_at = self._clock()
        self._metrics.timing("slots.wait", 1000 * (started_at - asked_at))
        try:
            yield
        finally:
            self._finish(queue, request.target, self._clock() - started_at)

    async def _start(self, queue: _TargetQueue, request: SlotRequest) -> None:
        # A new document may have given the target more slots.
        self._start_waiting(queue, request.target)
        if not queue.waiting_by_account and queue.running < self._slots(request.target):
            queue.virtual_time = self._tag(queue, request)
            queue.running += 1
            return
        self._check_bounds(queue, request)
        await self._wait(queue, request)

    def _check_bounds(self, queue: _TargetQueue, request: SlotRequest) -> None:
        own_waiting = queue.waiting_by_account.get(request.account, 0)
        estimate = self._wait_estimate(queue, request)
        is_full = (
            queue.waiting_total() >= self._max_waiting_per_target
            or own_waiting >= self._max_waiting_per_account
        )
        if is_full:
            raise self._refusal(messages.QUEUE_FULL, request, estimate)
        if request.max_wait_s <= 0 or estimate > request.max_wait_s:
            raise self._refusal(messages.DEADLINE_UNREACHABLE, request, estimate)

    async def _wait(self, queue: _TargetQueue, request: SlotRequest) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        tag = self._tag(queue, request)
        waiting = _Waiting(tag, next(self._sequence), request, future)
        heapq.heappush(queue.waiting[request.traffic_class], waiting)
        account = request.account
        queue.waiting_by_account[account] = queue.waiting_by_account.get(account, 0) + 1
        try:
            async with asyncio.timeout(request.max_wait_s):
                await asyncio.shield(future)
        except TimeoutError:
            if not future.done():
                estimate = self._wait_estimate(queue, request)
                raise self._refusal(
                    messages.DEADLINE_UNREACHABLE, request, estimate
                ) from None
        except asyncio.CancelledError:
            if future.done():
                self._finish(queue, request.target, None)
            raise
        finally:
            if not future.done():
                future.cancel()
                queue.waiting[request.traffic_class].remove(waiting)
                heapq.heapify(queue.waiting[request.traffic_class])
                self._leave_queue(queue, account)
                self._refund_tag(queue, request)

    def _tag(self, queue: _TargetQueue, request: SlotRequest) -> float:
        """Return the start tag and advance the account's finish tag."""
        start = self._start_tag(queue, request)
        key = (request.traffic_class, request.account)
        queue.finish_tags[key] = start + _virtual_cost(request)
        return start

    def _refund_tag(self, queue: _TargetQueue, request: SlotRequest) -> None:
        """Undo what a request that never started added to the finish tag."""
        key = (request.traffic_class, request.account)
        if key in queue.finish_tags:
            queue.finish_tags[key] -= _virtual_cost(request)

    def _start_tag(self, queue: _TargetQueue, request: SlotRequest) -> float:
        last_finish = queue.finish_tags.get((request.traffic_class, request.account))
        return max(queue.virtual_time, last_finish or 0.0)

    def _finish(self, queue: _TargetQueue, target: str, held_s: float | None) -> None:
        queue.running -= 1
        if held_s is not None:
            previous = held_s if queue.mean_hold_s is None else queue.mean_hold_s
            queue.mean_hold_s = previous + HOLD_TIME_GAIN * (held_s - previous)
        self._start_waiting(queue, target)
        if queue.is_idle():
            queue.finish_tags.clear()
            queue.virtual_time = 0.0
        elif len(queue.finish_tags) > MAX_FINISH_TAGS:
            queue.drop_old_tags()

    def _start_waiting(self, queue: _TargetQueue, target: str) -> None:
        while queue.running < self._slots(target):
            waiting = self._next(queue)
            if waiting is None:
                return
            queue.virtual_time = max(queue.virtual_time, waiting.start_tag)
            queue.running += 1
            self._leave_queue(queue, waiting.request.account)
            waiting.future.set_result(None)

    def _next(self, queue: _TargetQueue) -> _Waiting | None:
        interactive = queue.waiting[TrafficClass.INTERACTIVE]
        deferred = queue.waiting[TrafficClass.DEFERRED]
        is_deferred_turn = queue.starts_since_deferred >= DEFERRED_START_INTERVAL - 1
        if deferred and (is_deferred_turn or not interactive):
            queue.starts_since_deferred = 0
            return heapq.heappop(deferred)
        if interactive:
            queue.starts_since_deferred += 1
            return heapq.heappop(interactive)
        return None

    def _leave_queue(self, queue: _TargetQueue, account: str) -> None:
        remaining = queue.waiting_by_account[account] - 1
        if remaining:
            queue.waiting_by_account[account] = remaining
        else:
            del queue.waiting_by_account[account]

    def _slots(self, target: str) -> int:
        declared = self._current_document().targets_by_name.get(target)
        return declared.max_running_requests if declared else SERVICE_RUNNING_CALLS

    def _wait_estimate(self, queue: _TargetQueue, request: SlotRequest) -> float:
        """Return the expected wait in seconds, 0 while no slot hold time is known."""
        slots = self._slots(request.target)
        if queue.mean_hold_s is None or slots == 0:
            return 0.0
        ahead = self._waiting_ahead(queue, request)
        return queue.mean_hold_s * (ahead + 1) / slots

    def _waiting_ahead(self, queue: _TargetQueue, request: SlotRequest) -> int:
        """Return how many waiting requests would start before `request`."""
        own_tag = self._start_tag(queue, request)
        ahead = sum(
            1
            for waiting in queue.waiting[request.traffic_class]
            if waiting.start_tag <= own_tag
        )
        if request.traffic_class is TrafficClass.DEFERRED:
            interactive = len(queue.waiting[TrafficClass.INTERACTIVE])
            ahead += min(interactive, (ahead + 1) * (DEFERRED_START_INTERVAL - 1))
        return ahead

    def _refusal(
        self,
        template: messages.MessageTemplate,
        request: SlotRequest,
        estimate: float,
    ) -> JaytrayError:
        self._metrics.increment(f"slots.refused.{template.code}", 1)
        return JaytrayError(
            template,
            step=Step.QUEUE,
            retry_after_s=max(estimate, MIN_RETRY_AFTER_S),
            name=request.target,
        )


def _virtual_cost(request: SlotRequest) -> float:
    return request.tokens / max(request.weight, MIN_WEIGHT)
