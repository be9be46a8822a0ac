"""Rate and burst limits of all client accounts on this VM, coordinated with its peers.

Combines the limiter, this VM's share and the token exchange. One background task
maintains the share: it registers the process in the share table, claims the parts of
VMs that the platform has dropped, and gives parts to VMs that have too few. Requests
never wait for that task or for the key-value service.
"""

import asyncio
import random
from collections.abc import Sequence

from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.logs import get_logger
from jaytray_core.tasks import wait_until_set
from jaytray_core.vm_list import VmEntry
from jaytray_server.ports import CurrentDocument, Limiter, Metrics, PeerNetwork
from jaytray_server.process.limits.lending import SHARE_LOAN_HOLD_S
from jaytray_server.process.limits.limiter import AccountLimiter, limiter_functions
from jaytray_server.process.limits.membership import Membership
from jaytray_server.process.limits.message_budget import MessageBudget
from jaytray_server.process.limits.share_table import ShareTable, spread_parts
from jaytray_server.process.limits.shares import SHARES_KEY, OwnShare, TableRead
from jaytray_server.process.limits.token_exchange import TokenExchange
from jaytray_server.process.metrics import make_null_metrics

CHANGED_TOPIC = "limits.changed"
# Interval of the background loop, in seconds.
TICK_S = 0.5
# Minimum interval between two reads of the table, and maximum bytes read per second.
MIN_READ_INTERVAL_S = 5.0
READ_BYTES_PER_S = 200.0
# Interval between reads while tasks are pending; doubled after each failed read.
RETRY_INTERVAL_S = 1.0
MAX_RETRY_INTERVAL_S = 10.0
MAX_DOUBLINGS = 4
EVICTION_INTERVAL_S = 10.0
# Maximum number of compare-and-swap attempts in a row while other VMs write, and the
# upper bound of the random pause after the first one; it doubles after each attempt.
SWAP_ATTEMPTS = 6
SWAP_PAUSE_S = 0.05
# A VM that holds less than an even share divided by this factor is given parts.
SMALL_SHARE_DIVISOR = 4


class AccountLimits:
    """Account limits on this VM; `run` is the background task.

    `functions` is the interface for requests. `handle_listed_vms` must be called with
    each VM list that was read, including unchanged ones. `leave` transfers the share
    to other VMs before a planned stop.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        key_value: KeyValueService,
        peers: PeerNetwork,
        current_document: CurrentDocument,
        clock: MonotonicClock,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
        key: str = SHARES_KEY,
    ) -> None:
        self._vm_id = vm_id
        self._peers = peers
        self._clock = clock
        self._rng = rng or random.Random()
        self._metrics = metrics or make_null_metrics()
        self.budget = MessageBudget(clock=clock)
        self.limiter = AccountLimiter(
            current_document=current_document,
            clock=clock,
            on_shortage=lambda account: self.exchange.request_tokens(account),
            on_return=lambda account, loan, tokens: self.exchange.return_tokens(
                account, loan, tokens
            ),
            metrics=self._metrics,
        )
        self.exchange = TokenExchange(
            limiter=self.limiter,
            peers=peers,
            clock=clock,
            rng=self._rng,
            budget=self.budget,
            metrics=self._metrics,
        )
        self.share = OwnShare(
            vm_id=vm_id,
            incarnation=f"{self._rng.getrandbits(48):012x}",
            key_value=key_value,
            clock=clock,
            settle_s=SHARE_LOAN_HOLD_S,
            on_parts=self._handle_parts,
            key=key,
        )
        self.membership = Membership(vm_id=vm_id, clock=clock)
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._is_leaving = False
        self._failures = 0
        self._next_read_at = clock()
        self._next_eviction_at = clock() + EVICTION_INTERVAL_S
        peers.set_handler(CHANGED_TOPIC, self._handle_changed)

    @property
    def functions(self) -> Limiter:
        """Return the limiter interface for requests."""
        return limiter_functions(self.limiter)

    async def run(self) -> None:
        """Maintain this VM's share until cancelled."""
        try:
            while True:
                self._run_local_tasks()
                if not self._is_leaving and self._clock() >= self._next_read_at:
                    async with self._lock:
                        await self._maintain_safely()
                await self._wait_for_tick()
        finally:
            await self.exchange.close()

    def handle_listed_vms(self, entries: Sequence[VmEntry]) -> None:
        """Update the membership from a VM list that was just read."""
        before = self.membership.live
        self.membership.handle_list(entries, self._table_vms())
        if self.membership.is_dropped():
            self.share.stop_using()
        has_dropped = bool(self.membership.dropped_vms(self._table_vms()))
        if not self.share.is_registered:
            self._next_read_at = self._clock()
            self._wake.set()
        elif has_dropped or self.membership.live != before:
            self._schedule_read()

    def follow_document(self) -> None:
        """Apply a new document now rather than at the next request or tick."""
        self.limiter.follow_document()

    async def leave(self) -> None:
        """Transfer this VM's share to other VMs, which claim any rest later."""
        async with self._lock:
            self._is_leaving = True
            for attempt in range(SWAP_ATTEMPTS):
                try:
                    if await self._transfer_share():
                        return
                except JaytrayError as err:
                    self._log_failure(err)
                await self._pause(attempt)

    def _run_local_tasks(self) -> None:
        self.share.apply_due_increase()
        self.exchange.drop_expired_asks()
        self.limiter.follow_document()
        if self._clock() >= self._next_eviction_at:
            self._next_eviction_at = self._clock() + EVICTION_INTERVAL_S
            self.limiter.evict_idle()
            self._metrics.gauge("limits.accounts", self.limiter.accounts_in_memory)
            self._metrics.gauge("limits.parts", self.limiter.parts)

    async def _wait_for_tick(self) -> None:
        if await wait_until_set(self._wake, TICK_S):
            self._wake.clear()

    async def _maintain_safely(self) -> None:
        try:
            is_settled = await self._maintain()
            self._failures = 0
        except JaytrayError as err:
            self._log_failure(err)
            is_settled = False
            self._failures += 1
        self._next_read_at = self._clock() + self._read_interval(is_settled)

    async def _maintain(self) -> bool:
        """Read the table and run pending tasks; return whether none is left."""
        if not self.membership.is_listed():
            return False
        read = await self._register()
        if read is None:
            return False
        await self.share.settle_transfer()
        await self._claim_dropped()
        await self._give_to_small_shares()
        return not self._pending_tasks()

    async def _register(self) -> TableRead | None:
        """Register this process and return the table.

        Returns None when concurrent writes of other VMs win every attempt.
        """
        for attempt in range(SWAP_ATTEMPTS):
            read = await self.share.read()
            if read is None:
                await self.share.create(list(self.membership.live))
            elif self.share.is_registered:
                return read
            await self.share.register()
            if self.share.is_registered:
                self._notify_donors()
                return self.share.last_read
            await self._pause(attempt)
        return None

    async def _claim_dropped(self) -> None:
        live = self.membership.live
        dropped = [
            vm_id
            for vm_id in self.membership.dropped_vms(self._table_vms())
            if self.membership.should_perform(f"claim {vm_id}", live)
        ]
        receivers = [vm for vm in live if self._is_started(vm)]
        if dropped and await self.share.claim(dropped, receivers):
            get_logger().info(
                "limits_shares_claimed",
                gone=",".join(dropped),
                receivers=len(receivers),
            )
            self._notify(receivers)

    async def _give_to_small_shares(self) -> None:
        table = self._table()
        own = table.entries_by_vm.get(self._vm_id)
        donors = self._donors()
        receivers = [
            vm
            for vm in self._vms_with_small_share()
            if self.membership.should_perform(f"give {vm}", donors)
        ]
        if own is None or not receivers:
            return
        owned = {vm: table.entries_by_vm[vm].parts for vm in receivers}
        parts_by_receiver = spread_parts(own.parts // 2, owned)
        if await self.share.give_away(parts_by_receiver):
            self._log_transfer(parts_by_receiver, "new_vm")

    async def _transfer_share(self) -> bool:
        await self.share.read()
        await self.share.settle_transfer()
        table = self._table()
        own = table.entries_by_vm.get(self._vm_id)
        if own is None or own.parts == 0 or not self.share.is_registered:
            return True
        owned = {
            vm: table.entries_by_vm[vm].parts
            for vm in self.membership.live
            if vm != self._vm_id and self._is_started(vm)
        }
        parts_by_receiver = spread_parts(own.parts, owned)
        if not parts_by_receiver:
            return True
        is_recorded = await self.share.give_away(parts_by_receiver, is_leaving=True)
        if is_recorded:
            self._log_transfer(parts_by_receiver, "leaving")
        return is_recorded

    def _pending_tasks(self) -> list[str]:
        dropped = self.membership.dropped_vms(self._table_vms())
        tasks = [f"claim {vm}" for vm in dropped]
        tasks += [f"give {vm}" for vm in self._vms_with_small_share() if self._donors()]
        self.membership.retain_tasks(tasks)
        return tasks

    def _vms_with_small_share(self) -> list[str]:
        return [
            vm
            for vm in self.membership.live
            if self._is_started(vm)
            and self._parts_of(vm) * SMALL_SHARE_DIVISOR < self._even_share()
        ]

    def _donors(self) -> list[str]:
        return [
            vm
            for vm in self.membership.live
            if self._is_started(vm) and self._parts_of(vm) * 2 >= self._even_share()
        ]

    def _even_share(self) -> float:
        entries = self._table().entries_by_vm.values()
        return sum(entry.parts for entry in entries) / max(1, len(self.membership.live))

    def _parts_of(self, vm_id: str) -> int:
        entry = self._table().entries_by_vm.get(vm_id)
        return entry.parts if entry is not None else 0

    def _is_started(self, vm_id: str) -> bool:
        entry = self._table().entries_by_vm.get(vm_id)
        return entry is not None and entry.incarnation != ""

    def _table(self) -> ShareTable:
        read = self.share.last_read
        return read.table if read is not None else ShareTable({})

    def _table_vms(self) -> list[str]:
        return list(self._table().entries_by_vm)

    def _notify_donors(self) -> None:
        if self._vm_id in self._vms_with_small_share():
            self._notify(self._donors())

    def _notify(self, vms: Sequence[str]) -> None:
        """Notify VMs of a changed table; a lost message only delays their next read."""
        for vm_id in vms:
            if vm_id != self._vm_id and self.budget.may_send():
                self.budget.spend(len(CHANGED_TOPIC))
                self._peers.send(vm_id, CHANGED_TOPIC, b"")

    def _handle_changed(self, _sender: str, _body: bytes) -> None:
        self._schedule_read()

    def _handle_parts(self, parts: int) -> None:
        get_logger().info("limits_share_changed", parts=parts, was=self.limiter.parts)
        self._metrics.gauge("limits.parts", parts)
        self.limiter.set_parts(parts)

    def _schedule_read(self) -> None:
        soon = self._clock() + self._rng.random() * RETRY_INTERVAL_S
        self._next_read_at = min(self._next_read_at, soon)

    def _read_interval(self, is_settled: bool) -> float:
        read = self.share.last_read
        jitter = 0.8 + 0.4 * self._rng.random()
        if not is_settled or read is None:
            doublings = min(self._failures, MAX_DOUBLINGS)
            interval = RETRY_INTERVAL_S * float(1 << doublings)
            return min(interval, MAX_RETRY_INTERVAL_S) * jitter
        by_size = read.size_bytes / READ_BYTES_PER_S
        return max(MIN_READ_INTERVAL_S, by_size) * jitter

    async def _pause(self, attempt: int) -> None:
        await asyncio.sleep(self._rng.random() * SWAP_PAUSE_S * 2**attempt)

    def _log_transfer(self, parts_by_receiver: dict[str, int], reason: str) -> None:
        get_logger().info(
            "limits_share_given",
            parts=sum(parts_by_receiver.values()),
            receivers=",".join(parts_by_receiver),
            reason=reason,
        )
        self._notify(list(parts_by_receiver))

    def _log_failure(self, err: JaytrayError) -> None:
        self._metrics.increment("limits.table_failures", 1)
        get_logger().warning(
            "limits_table_unavailable", code=err.code, detail=err.text, peer=err.peer
        )
