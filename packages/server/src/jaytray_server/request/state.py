"""State of request handling that lives as long as the process."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock, WallClock
from jaytray_core.keyvalue import KeyValueService
from jaytray_server.ports import PeerNetwork
from jaytray_server.process.idempotency.commits import Commits
from jaytray_server.process.idempotency.idempotency import Idempotency
from jaytray_server.process.quarantine.quarantine import Quarantine

# Longest wait for outcomes of idempotent calls to be recorded at a planned stop.
STOP_WAIT_S = 5.0


class RequestState(NamedTuple):
    """Idempotent calls and crash evidence of this VM."""

    idempotency: Idempotency
    quarantine: Quarantine

    def duties_by_name(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks to run for the life of the process."""
        return {
            "idempotency_expiry": self.idempotency.expire_forever,
            "quarantine": self.quarantine.run,
        }

    async def close(self) -> None:
        """Record the outcomes that are still on their way, at a planned stop."""
        await self.idempotency.close(max_wait_s=STOP_WAIT_S)


def make_request_state(
    *,
    key_value: KeyValueService,
    peers: PeerNetwork,
    clock: MonotonicClock,
    wall_clock: WallClock,
    boot_id_of: Callable[[str], str],
) -> RequestState:
    """Return the state, which already listens to other VMs.

    `boot_id_of` gives the last boot id that a target reported, or an empty string.
    """
    commits = Commits(
        key_value=key_value, peers=peers, clock=clock, wall_clock=wall_clock
    )
    commits.listen()
    quarantine = Quarantine(
        peers=peers,
        key_value=key_value,
        wall_clock=wall_clock,
        boot_id_of=boot_id_of,
    )
    quarantine.listen()
    return RequestState(
        idempotency=Idempotency(commits=commits, clock=clock, wall_clock=wall_clock),
        quarantine=quarantine,
    )
