"""Results of recent token exchanges with peers, for each account.

They determine which peers are asked first, and how long the VM backs off after its
peers could not supply enough tokens.
"""

import random
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_server.ports import PeerNetwork

# Back-off after an unsuccessful exchange, doubled each time up to the maximum.
SMALLEST_PAUSE_S = 1.0
LARGEST_PAUSE_S = 4.0
# Time after a back-off during which the account still counts as exhausted on all VMs.
EXHAUSTED_S = 5.0
# Maximum number of accounts with a record, and of peers in each record.
MAX_REMEMBERED_ACCOUNTS = 1000
MAX_REMEMBERED_PEERS = 16


class ExchangeMemory(NamedTuple):
    """Result of the last exchanges for one account.

    `spare_by_peer` holds the tokens that peers had left, the latest answer last.
    """

    spare_by_peer: dict[str, int]
    pause_s: float
    paused_until: float


_NO_MEMORY = ExchangeMemory({}, 0.0, float("-inf"))


class ExchangeMemories:
    """Records of the accounts for which this VM asked its peers most recently."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._memory_by_account: dict[str, ExchangeMemory] = {}

    def of(self, account: str) -> ExchangeMemory:
        """Return the account's record, an empty one when it has none."""
        return self._memory_by_account.get(account, _NO_MEMORY)

    def is_paused(self, account: str) -> bool:
        """Return whether the back-off after an unsuccessful exchange is running."""
        return self._clock() < self.of(account).paused_until

    def is_exhausted(self, account: str) -> bool:
        """Return whether an exchange was unsuccessful recently."""
        return self._clock() < self.of(account).paused_until + EXHAUSTED_S

    def peers_with_spare(self, account: str) -> list[str]:
        """Return the peers that had spare tokens, those with most first."""
        spare_by_peer = self.of(account).spare_by_peer
        return sorted(spare_by_peer, key=lambda vm: spare_by_peer[vm], reverse=True)

    def ranked_peers(
        self, account: str, peers: PeerNetwork, rng: random.Random
    ) -> list[str]:
        """Return all other VMs: first those with spare tokens, then neighbours."""
        listed = [vm for vm in peers.listed_vms() if vm != peers.vm_id]
        near = peers.neighbours()
        rng.shuffle(near)
        rng.shuffle(listed)
        known = set(listed)
        ranked = dict.fromkeys((*self.peers_with_spare(account), *near, *listed))
        return [vm for vm in ranked if vm in known]

    def remember_spare(self, account: str, peer: str, spare_tokens: int) -> None:
        """Record the tokens that a peer had left after its grant."""
        memory = self.of(account)
        spare_by_peer = dict(memory.spare_by_peer)
        spare_by_peer.pop(peer, None)
        if spare_tokens > 0:
            spare_by_peer[peer] = spare_tokens
        if len(spare_by_peer) > MAX_REMEMBERED_PEERS:
            del spare_by_peer[next(iter(spare_by_peer))]
        self._remember(account, memory._replace(spare_by_peer=spare_by_peer))

    def remember_failure(self, account: str) -> None:
        """Record an unsuccessful exchange: back off, and ask only a few peers next."""
        memory = self.of(account)
        pause = min(max(2 * memory.pause_s, SMALLEST_PAUSE_S), LARGEST_PAUSE_S)
        until = self._clock() + pause
        self._remember(account, memory._replace(pause_s=pause, paused_until=until))

    def remember_success(self, account: str) -> None:
        """Record a successful exchange, which shortens the next back-off."""
        memory = self.of(account)
        if memory.pause_s > 0:
            pause = memory.pause_s / 2 if memory.pause_s > SMALLEST_PAUSE_S else 0.0
            self._remember(account, memory._replace(pause_s=pause))

    def _remember(self, account: str, memory: ExchangeMemory) -> None:
        self._memory_by_account.pop(account, None)
        self._memory_by_account[account] = memory
        if len(self._memory_by_account) > MAX_REMEMBERED_ACCOUNTS:
            del self._memory_by_account[next(iter(self._memory_by_account))]
