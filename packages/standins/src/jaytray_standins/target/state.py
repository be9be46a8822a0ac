"""State of a target stand-in: a simulated model engine on a given clock.

It serves only models that are ready on its accelerators, generates tokens one by one
and records the requests that it receives, so that tests can prove that requests run at
most once, that no target sees a key and that memory is never overcommitted.
"""

import asyncio
import collections
from collections.abc import AsyncGenerator, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.targets import (
    CacheEvent,
    InferRequest,
    LoadReport,
    Order,
    OrderReply,
)
from jaytray_standins.target.accelerators import Accelerators, LoadTimes
from jaytray_standins.target.generation import Generation, decode_body, generate
from jaytray_standins.target.prefix_cache import PrefixCache
from jaytray_standins.target.records import (
    Overcommit,
    OvercommitError,
    RanRequest,
    completion_digest,
    truncate_body,
)
from jaytray_standins.target.slots import RunningSlots
from jaytray_standins.virtual_time import Sleep
from jaytray_standins.weight_store.state import WeightStoreState

CRASH_MARKER = b"crash-the-target"
_KEPT_REQUESTS = 200_000
_SNAPSHOTS_PER_LAG = 20


class TargetCrashedError(Exception):
    """The target crashed while the request was running."""


class RequestRefusedError(Exception):
    """The target refused the request before running it."""


class TokenEvent(NamedTuple):
    """One generated token, or the end of the response."""

    end_index: int
    text: str
    is_end: bool
    output_tokens: int
    finish_reason: str
    prompt_tokens: int


class TargetState:
    """One target; `sleep` must follow the time of `clock`.

    `first_token_s` is the prefill time of a prompt without cached prefix; cached
    prompt tokens reduce it in proportion. Load reports show the state of
    `report_lag_s` ago. A crash empties the memory; the target accepts connections
    again, with a new boot id, `restart_s` later.
    """

    def __init__(
        self,
        *,
        name: str,
        accelerators: int,
        accelerator_memory_mib: int,
        checks_fencing: bool,
        clock: MonotonicClock,
        sleep: Sleep = asyncio.sleep,
        weight_store: WeightStoreState | None = None,
        load_times: LoadTimes = LoadTimes(2.0, 0.03, 0.2),
        max_running_requests: int = 32,
        first_token_s: float = 0.02,
        token_interval_s: float = 0.005,
        cache_tokens: int = 65_536,
        cache_event_delay_s: float = 0.2,
        lose_every_cache_event: int = 0,
        report_lag_s: float = 0.0,
        restart_s: float = 2.0,
    ) -> None:
        self.name = name
        self.clock = clock
        self.sleep = sleep
        self.first_token_s = first_token_s
        self.token_interval_s = token_interval_s
        self.report_lag_s = report_lag_s
        self.restart_s = restart_s
        self.is_leaving = False
        self.crashes = 0
        self.down_until_s = float("-inf")
        self.ran_requests: collections.deque[RanRequest] = collections.deque(
            maxlen=_KEPT_REQUESTS
        )
        self.cancelled_request_ids: list[str] = []
        self.slots = RunningSlots(limit=max_running_requests)
        self.cache = PrefixCache(
            clock=clock,
            capacity_tokens=cache_tokens,
            event_delay_s=cache_event_delay_s,
            lose_every=lose_every_cache_event,
        )
        self.accelerators = Accelerators(
            clock=clock,
            accelerators=accelerators,
            memory_mib=accelerator_memory_mib,
            checks_fencing=checks_fencing,
            load_times=load_times,
            weight_store=weight_store or WeightStoreState(clock=clock),
        )
        self._pending_by_request_id: dict[str, int] = {}
        self._cancelled: set[str] = set()
        self._reports: collections.deque[LoadReport] = collections.deque()
        self._take_report()

    @property
    def boot_id(self) -> str:
        """Return the id of the target since its last start."""
        return f"{self.name}-boot-{self.crashes + 1}"

    @property
    def overcommits(self) -> list[Overcommit]:
        """Return each order that exceeded an accelerator's memory."""
        return self.accelerators.overcommits

    @property
    def is_up(self) -> bool:
        """Return whether connections are accepted."""
        return self.clock() >= self.down_until_s

    def assert_not_overcommitted(self) -> None:
        """Raise `OvercommitError` if memory was ever exceeded."""
        if self.overcommits:
            raise OvercommitError(f"{self.name}: {self.overcommits}")

    def apply_order(self, order: Order) -> OrderReply:
        """Apply an order; see `Accelerators.apply`."""
        reply = self.accelerators.apply(order)
        self._take_report()
        return reply

    def add_ready(self, order: Order) -> None:
        """Add what an order would load, ready at once, to set up a test."""
        self.accelerators.add_ready(order)
        self._take_report()

    def load_report(self) -> LoadReport:
        """Return the load report of `report_lag_s` ago."""
        if self.report_lag_s <= 0:
            return self._current_report()
        self._take_report()
        return self._reports[0]

    def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the visible cache events after a sequence number."""
        return self.cache.events_after(after)

    def cancel(self, request_id: str) -> None:
        """Stop a running request; an unknown id is ignored."""
        if request_id in self._pending_by_request_id:
            self._cancelled.add(request_id)
            self.cancelled_request_ids.append(request_id)

    def crash(self) -> None:
        """Drop the memory and all running requests, and restart."""
        self.crashes += 1
        self.down_until_s = self.clock() + self.restart_s
        self.accelerators.clear()
        self.cache.clear()
        self._reports.clear()
        self._take_report()

    async def run(
        self, request: InferRequest, headers: list[tuple[str, str]]
    ) -> AsyncGenerator[TokenEvent, None]:
        """Generate the response token by token; the last event has `is_end`.

        Raises `RequestRefusedError` before the request runs, `TargetCrashedError`
        when the target crashes. A cancelled request ends without its last event.
        """
        generation = generate(decode_body(request.body))
        boot_id = self.boot_id
        with self._track_running(request, generation):
            async with self.slots.slot(request.priority):
                self._begin(request, headers, boot_id)
                await self.sleep(self._prefill_s(request, generation))
                end_index = request.resume_after_tokens
                for text in generation.tokens[request.resume_after_tokens :]:
                    self._check_alive(boot_id)
                    if request.request_id in self._cancelled:
                        return
                    end_index += 1
                    self._count_token(request.request_id)
                    yield _token_event(end_index, text, generation)
                    await self.sleep(self.token_interval_s)
                self._check_alive(boot_id)
                yield _end_event(generation)

    @contextmanager
    def _track_running(
        self, request: InferRequest, generation: Generation
    ) -> Iterator[None]:
        if not self.accelerators.is_ready(request.model):
            raise RequestRefusedError(f"model {request.model} is not ready")
        boot_id = self.boot_id
        pending = len(generation.tokens) - request.resume_after_tokens
        self._pending_by_request_id[request.request_id] = max(0, pending)
        self.accelerators.running_by_name[request.model] += 1
        self._take_report()
        try:
            yield
        finally:
            self._pending_by_request_id.pop(request.request_id, None)
            self._cancelled.discard(request.request_id)
            if boot_id == self.boot_id:
                self.accelerators.running_by_name[request.model] -= 1
            self._take_report()

    def _begin(
        self, request: InferRequest, headers: list[tuple[str, str]], boot_id: str
    ) -> None:
        self._check_alive(boot_id)
        self.ran_requests.append(
            RanRequest(
                request_id=request.request_id,
                method="POST",
                path=request.path,
                query="",
                body_digest=completion_digest(request.body),
                body=truncate_body(request.body),
                headers=headers,
                model=request.model,
                priority=request.priority,
                resume_after_tokens=request.resume_after_tokens,
                started_at_s=self.clock(),
                was_leaving=self.is_leaving,
            )
        )
        if CRASH_MARKER in request.body:
            self.crash()
            raise TargetCrashedError

    def _count_token(self, request_id: str) -> None:
        pending = self._pending_by_request_id.get(request_id, 0)
        if pending > 0:
            self._pending_by_request_id[request_id] = pending - 1

    def _prefill_s(self, request: InferRequest, generation: Generation) -> float:
        cached = self.cache.use(request.model, generation.prompt)
        uncached_fraction = 1.0 - min(1.0, cached / generation.prompt_tokens)
        return self.first_token_s * uncached_fraction

    def _check_alive(self, boot_id: str) -> None:
        if boot_id != self.boot_id:
            raise TargetCrashedError

    def _take_report(self) -> None:
        """Keep a snapshot for later reports and drop those no longer needed."""
        now_s = self.clock()
        if self.report_lag_s <= 0:
            return
        spacing_s = self.report_lag_s / _SNAPSHOTS_PER_LAG
        if not self._reports or now_s - self._reports[-1].taken_at_s >= spacing_s:
            self._reports.append(self._current_report())
        horizon_s = now_s - self.report_lag_s
        while len(self._reports) > 1 and self._reports[1].taken_at_s <= horizon_s:
            self._reports.popleft()

    def _current_report(self) -> LoadReport:
        return LoadReport(
            target=self.name,
            boot_id=self.boot_id,
            taken_at_s=self.clock(),
            residents=self.accelerators.residents(),
            settled_order_ids=self.accelerators.settled_order_ids(),
            highest_fencing_number=self.accelerators.highest_fencing_number,
            running_requests=self.slots.running,
            queued_requests=self.slots.queued,
            tokens_pending=sum(self._pending_by_request_id.values()),
            is_leaving=self.is_leaving,
        )


def _token_event(end_index: int, text: str, generation: Generation) -> TokenEvent:
    return TokenEvent(end_index, text, False, 0, "", generation.prompt_tokens)


def _end_event(generation: Generation) -> TokenEvent:
    length = len(generation.tokens)
    return TokenEvent(
        length, "", True, length, generation.finish_reason, generation.prompt_tokens
    )
