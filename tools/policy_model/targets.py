"""A simulated target: continuous batching, prefill, prefix cache and memory.

Time advances in ticks. Each accelerator gives every running request the same token
rate, which falls as more of them run. Prompts are prefilled one after another, except
for the blocks that the prefix cache holds.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from jaytray_core.document.model import Target
from jaytray_core.targets import (
    CacheEvent,
    CacheEventKind,
    LoadReport,
    Order,
    OrderKind,
    Resident,
    ResidentState,
)

STEP_BASE_S = 0.015
STEP_PER_REQUEST_S = 0.0008
PREFILL_TOKENS_PER_S = 8_000.0
CACHED_BLOCKS = 2_000
MODEL_LOAD_S = 8.0
ADAPTER_LOAD_S = 0.03
UNLOAD_S = 0.5


class Call(NamedTuple):
    """One request of a caller; its first token is due at `deadline_s`."""

    request_id: str
    name: str
    model: str
    account: str
    vm: int
    arrived_at_s: float
    deadline_s: float
    prompt_tokens: int
    output_tokens: int
    prefix_digests: tuple[str, ...]


class Running:
    """A request at a target; `first_token_at_s` is None until its prefill ends."""

    def __init__(self, *, call: Call) -> None:
        self.call = call
        self.prefill_left_s = 0.0
        self.first_token_at_s: float | None = None
        self.tokens = 0.0


class FakeAccelerator:
    """An accelerator with its residents, prefill queue and decode batch."""

    def __init__(self) -> None:
        self.residents_by_name: dict[str, Resident] = {}
        self.prefill: deque[Running] = deque()
        self.decoding: list[Running] = []

    def used_mib(self) -> int:
        """Return the memory that the residents take."""
        return sum(r.memory_mib for r in self.residents_by_name.values())


class FakeTarget:
    """State of one target.

    `overcommitted_mib` is the most by which placement exceeded an accelerator's memory.
    """

    def __init__(self, *, target: Target) -> None:
        self.target = target
        self.accelerators = [FakeAccelerator() for _ in range(target.accelerators)]
        self.queue: deque[Running] = deque()
        self.is_up = True
        self.boots = 1
        self.overcommitted_mib = 0
        self.settled_order_ids: deque[str] = deque(maxlen=200)
        self.pending_changes: list[tuple[float, Order]] = []
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.cache_events: deque[CacheEvent] = deque(maxlen=5_000)
        self.cache_sequence = 0

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return sum(len(a.prefill) + len(a.decoding) for a in self.accelerators)

    def is_ready(self, name: str) -> bool:
        """Return whether requests for `name` can run here now."""
        return self.is_up and self._ready_accelerator(name) is not None

    def submit(self, call: Call) -> None:
        """Queue a request for a name that is ready."""
        self.queue.append(Running(call=call))

    def crash(self) -> list[Call]:
        """Stop, losing all state; return the requests that were lost."""
        lost = [running.call for running in self.queue]
        for accelerator in self.accelerators:
            lost += [r.call for r in (*accelerator.prefill, *accelerator.decoding)]
        self.accelerators = [FakeAccelerator() for _ in self.accelerators]
        self.queue.clear()
        self.pending_changes.clear()
        self.cache.clear()
        self.is_up = False
        self.boots += 1
        return lost

    def begin_order(self, order: Order, *, now: float, ready_at_s: float) -> None:
        """Begin a load or an unload that completes at `ready_at_s`."""
        accelerator = self.accelerators[order.accelerator]
        resident = accelerator.residents_by_name.get(order.name)
        if order.kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER):
            accelerator.residents_by_name[order.name] = Resident(
                order.name,
                order.model,
                order.version,
                order.accelerator,
                order.memory_mib,
                ResidentState.LOADING,
            )
            excess = accelerator.used_mib() - self.target.accelerator_memory_mib
            self.overcommitted_mib = max(self.overcommitted_mib, excess)
        elif resident is not None:
            leaving = resident._replace(state=ResidentState.UNLOADING)
            accelerator.residents_by_name[order.name] = leaving
        self.pending_changes.append((ready_at_s, order))

    def advance(self, now: float, tick_s: float) -> list[Running]:
        """Simulate one tick; return the requests that ended in it."""
        if not self.is_up:
            return []
        self._finish_changes(now)
        self._admit()
        ended: list[Running] = []
        for accelerator in self.accelerators:
            self._prefill(accelerator, now, tick_s)
            ended += self._decode(accelerator, tick_s)
        return ended

    def report(self, now: float) -> LoadReport:
        """Return a load report taken at `now`."""
        expected = [r.call.output_tokens - r.tokens for r in self._all_running()]
        expected += [float(r.call.output_tokens) for r in self.queue]
        return LoadReport(
            self.target.name,
            f"boot-{self.boots}",
            now,
            [r for a in self.accelerators for r in a.residents_by_name.values()],
            list(self.settled_order_ids),
            0,
            self.running,
            len(self.queue),
            int(sum(expected)),
            False,
        )

    def _all_running(self) -> list[Running]:
        return [r for a in self.accelerators for r in (*a.prefill, *a.decoding)]

    def _ready_accelerator(self, name: str) -> FakeAccelerator | None:
        hosts = [
            accelerator
            for accelerator in self.accelerators
            if (resident := accelerator.residents_by_name.get(name)) is not None
            and resident.state is ResidentState.READY
        ]
        return min(hosts, key=lambda a: len(a.prefill) + len(a.decoding), default=None)

    def _finish_changes(self, now: float) -> None:
        due = [change for change in self.pending_changes if change[0] <= now]
        for change in due:
            self.pending_changes.remove(change)
            order = change[1]
            residents = self.accelerators[order.accelerator].residents_by_name
            resident = residents.get(order.name)
            if resident and resident.state is ResidentState.LOADING:
                residents[order.name] = resident._replace(state=ResidentState.READY)
            elif resident:
                for name, other in list(residents.items()):
                    if order.name in (name, other.model):
                        del residents[name]
            self.settled_order_ids.append(order.order_id)

    def _admit(self) -> None:
        free = self.target.max_running_requests - self.running
        while self.queue and free > 0:
            running = self.queue.popleft()
            host = self._ready_accelerator(
                running.call.name
            ) or self._ready_accelerator(running.call.model)
            host = host or self.accelerators[0]
            running.prefill_left_s = self._prefill_s(running.call)
            host.prefill.append(running)
            free -= 1

    def _prefill_s(self, call: Call) -> float:
        cached = 0
        for digest in call.prefix_digests:
            if digest not in self.cache:
                break
            cached += 1
        for digest in call.prefix_digests:
            if digest not in self.cache:
                self._record_cache_event(CacheEventKind.STORED, call.model, digest)
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > CACHED_BLOCKS:
            digest, _ = self.cache.popitem(last=False)
            self._record_cache_event(CacheEventKind.EVICTED, call.model, digest)
        uncached_fraction = 1.0 - cached / max(1, len(call.prefix_digests))
        return call.prompt_tokens * uncached_fraction / PREFILL_TOKENS_PER_S

    def _record_cache_event(
        self, kind: CacheEventKind, model: str, digest: str
    ) -> None:
        self.cache_sequence += 1
        self.cache_events.append(
            CacheEvent(self.cache_sequence, kind, model, digest, 0)
        )

    def _prefill(self, accelerator: FakeAccelerator, now: float, tick_s: float) -> None:
        left_s = tick_s
        while accelerator.prefill and left_s > 0:
            running = accelerator.prefill[0]
            used_s = min(left_s, running.prefill_left_s)
            running.prefill_left_s -= used_s
            left_s -= used_s
            if running.prefill_left_s <= 0:
                accelerator.prefill.popleft()
                running.first_token_at_s = now + tick_s - left_s
                accelerator.decoding.append(running)

    def _decode(self, accelerator: FakeAccelerator, tick_s: float) -> list[Running]:
        batch = accelerator.decoding
        step_s = STEP_BASE_S + STEP_PER_REQUEST_S * len(batch)
        ended = []
        for running in batch:
            running.tokens += tick_s / step_s
            if running.tokens >= running.call.output_tokens:
                ended.append(running)
        if ended:
            accelerator.decoding = [r for r in batch if r.tokens < r.call.output_tokens]
        return ended
