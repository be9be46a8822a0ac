"""State of request handling that lives as long as the process."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock, WallClock
from jaytray_core.keyvalue import KeyValueService
from jaytray_server.ports import PeerNetwork
from jaytray_server.process.deferred.leases import ShardLeases
from jaytray_server.process.deferred.runner import DeferredRunner
from jaytray_server.process.deferred.store import DeferredStore
from jaytray_server.process.idempotency.commits import EntryCommitter
from jaytray_server.process.idempotency.idempotency import Idempotency
from jaytray_server.process.quarantine.quarantine import Quarantine
from jaytray_server.request.deferred_routes import run_job
from jaytray_server.request.services import RequestServices

# Longest wait at a planned stop for the outcomes of idempotent calls to be recorded.
MAX_STOP_WAIT_S = 5.0


class RequestState(NamedTuple):
    """Idempotent calls, crash evidence and deferred jobs of this VM."""

    idempotency: Idempotency
    quarantine: Quarantine
    deferred: DeferredStore
    shard_leases: ShardLeases

    def make_runner(self, services: RequestServices) -> DeferredRunner:
        """Return the runner of deferred jobs; it needs the complete `services`."""
        return DeferredRunner(
            store=self.deferred,
            leases=self.shard_leases,
            run_job=lambda job: run_job(services, job),
            may_start=lambda: services.lifecycle.is_ready,
            clock=services.clock,
            wall_clock=services.wall_clock,
        )

    def background_tasks_by_name(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks to run for the life of the process."""
        return {
            "idempotency_expiry": self.idempotency.run_expiry,
            "quarantine": self.quarantine.run,
        }

    async def close(self) -> None:
        """Record the pending outcomes of idempotent calls, at a planned stop."""
        await self.idempotency.close(max_wait_s=MAX_STOP_WAIT_S)


def make_request_state(
    *,
    key_value: KeyValueService,
    peers: PeerNetwork,
    clock: MonotonicClock,
    wall_clock: WallClock,
    boot_id_of: Callable[[str], str],
) -> RequestState:
    """Return the state, with its handlers for other VMs' messages registered.

    `boot_id_of` returns the last boot id that a target reported, or an empty string.
    """
    committer = EntryCommitter(
        key_value=key_value, peers=peers, clock=clock, wall_clock=wall_clock
    )
    committer.register_handlers()
    quarantine = Quarantine(
        peers=peers,
        key_value=key_value,
        wall_clock=wall_clock,
        boot_id_of=boot_id_of,
    )
    quarantine.register_handlers()
    return RequestState(
        idempotency=Idempotency(
            committer=committer, clock=clock, wall_clock=wall_clock
        ),
        quarantine=quarantine,
        deferred=DeferredStore(key_value=key_value, wall_clock=wall_clock),
        shard_leases=ShardLeases(key_value=key_value, peers=peers, clock=clock),
    )
