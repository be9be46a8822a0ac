"""Whether this VM reaches the targets of each service over its own links.

A VM may lose its path to all targets while callers, the key-value service and other VMs
still reach it. A connection that cannot be opened, or requests under way without a byte
from any target of their service, raise a suspicion. It is checked by connecting to some
targets; a service is cut off until one of them accepts.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_core.tasks import cancel_all
from jaytray_gateway.connection.target_pool import TargetConnectionPool
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.target_entry import TargetEntry

CHECK_INTERVAL_S = 0.1
# Requests under way without a byte from any target of the service for this long. A
# stream has an event every few tens of milliseconds.
SILENCE_S = 0.4
# Targets accept connections within milliseconds, also when they are busy.
CONNECT_TIMEOUT_S = 0.5
TARGETS_PER_CHECK = 2
# Further targets that are tried if none of those accepts: some may be down, or out of
# reach by themselves.
MORE_TARGETS_PER_CHECK = 6
# Shortest time between two checks: after a failed connection or while cut off, and of
# silence, which also occurs when all targets are slow.
MIN_CHECK_INTERVAL_S = 0.3
MIN_SILENCE_CHECK_INTERVAL_S = 1.5
# Longest wait of a request whose connection failed for the result of a check. Refused
# connections fail within milliseconds.
FAILURE_CHECK_WAIT_S = 0.05


# Called with the targets of a service that is cut off from now on.
OnCutOff = Callable[[list[TargetEntry]], None]


class _ServiceReach:
    """State of one service; `exchanges` are start times of those under way."""

    def __init__(self) -> None:
        self.exchanges: dict[int, float] = {}
        self.heard_at_s = -float("inf")
        self.checked_at_s = -float("inf")
        self.cut_off_since_s: float | None = None
        self.check: asyncio.Task[None] | None = None


class TargetReach:
    """Checks the links to the targets of all services that requests are sent to."""

    def __init__(
        self,
        *,
        directory: Directory,
        pools: TargetConnectionPool,
        clock: MonotonicClock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._pools = pools
        self._clock = clock
        self._rng = rng
        self._cut_off_listeners: list[OnCutOff] = []
        self._reach_by_service: dict[str, _ServiceReach] = {}
        self._next_exchange = 0

    def on_cut_off(self, listener: OnCutOff) -> None:
        """Call `listener` when a service turns out to be cut off."""
        self._cut_off_listeners.append(listener)

    def is_cut_off(self, service: str) -> bool:
        """Return whether no target of the service accepts connections from here."""
        reach = self._reach_by_service.get(service)
        return reach is not None and reach.cut_off_since_s is not None

    def cut_off_services(self) -> list[str]:
        """Return the services that are cut off from this VM."""
        return [name for name in self._reach_by_service if self.is_cut_off(name)]

    @contextmanager
    def exchange(self, service: str) -> Iterator[None]:
        """Expect bytes from the service's targets while the context is open."""
        reach = self._reach_of(service)
        self._next_exchange += 1
        number = self._next_exchange
        reach.exchanges[number] = self._clock()
        try:
            yield
        finally:
            del reach.exchanges[number]

    def record_bytes(self, service: str) -> None:
        """Record that bytes arrived from a target."""
        self._reach_of(service).heard_at_s = self._clock()

    async def check_failure(self, service: str) -> None:
        """Check after a failed connection; waits for the result only if it is near."""
        reach = self._reach_of(service)
        if self._clock() - reach.checked_at_s >= MIN_CHECK_INTERVAL_S:
            self._start_check(service, reach)
        if reach.check is not None:
            await asyncio.wait({reach.check}, timeout=FAILURE_CHECK_WAIT_S)

    async def run(self) -> None:
        """Check the links whenever there is a reason, until cancelled."""
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                for service, reach in list(self._reach_by_service.items()):
                    if self._needs_check(reach):
                        self._start_check(service, reach)
        finally:
            await cancel_all(
                [
                    reach.check
                    for reach in self._reach_by_service.values()
                    if reach.check
                ]
            )

    def _start_check(self, service: str, reach: _ServiceReach) -> None:
        if reach.check is None or reach.check.done():
            reach.check = asyncio.create_task(self._check(service, reach))

    def _reach_of(self, service: str) -> _ServiceReach:
        return self._reach_by_service.setdefault(service, _ServiceReach())

    def _needs_check(self, reach: _ServiceReach) -> bool:
        now_s = self._clock()
        since_check_s = now_s - reach.checked_at_s
        if reach.cut_off_since_s is not None:
            return since_check_s >= MIN_CHECK_INTERVAL_S
        if not reach.exchanges or since_check_s < MIN_SILENCE_CHECK_INTERVAL_S:
            return False
        oldest_s = min(reach.exchanges.values())
        return now_s - max(oldest_s, reach.heard_at_s) >= SILENCE_S

    async def _check(self, service: str, reach: _ServiceReach) -> None:
        targets = self._directory.targets_of(service)
        reach.checked_at_s = self._clock()
        if not targets:
            return
        self._rng.shuffle(targets)
        tried = targets[:TARGETS_PER_CHECK]
        is_reached = await self._can_connect(tried)
        if not is_reached and reach.cut_off_since_s is None:
            more = targets[TARGETS_PER_CHECK:][:MORE_TARGETS_PER_CHECK]
            tried += more
            is_reached = await self._can_connect(more)
        if is_reached == (reach.cut_off_since_s is None):
            return
        now_s = self._clock()
        if is_reached:
            away_s = now_s - (reach.cut_off_since_s or now_s)
            reach.cut_off_since_s = None
            get_logger().info(
                "targets_reachable", service=service, away_s=round(away_s, 2)
            )
            return
        reach.cut_off_since_s = now_s
        # Open connections may hang.
        for target in targets:
            self._pools.drop_target(target.target_id)
        get_logger().warning(
            "targets_unreachable",
            service=service,
            tried=",".join(target.target_id for target in tried),
            silent_s=round(now_s - reach.heard_at_s, 2) if reach.exchanges else "",
        )
        for listener in self._cut_off_listeners:
            listener(targets)

    async def _can_connect(self, targets: list[TargetEntry]) -> bool:
        """Return whether one of the targets accepts a connection."""
        connected = await asyncio.gather(
            *(
                self._pools.open_idle(
                    target.target_id, target.address, timeout_s=CONNECT_TIMEOUT_S
                )
                for target in targets
            )
        )
        return any(connected)
