"""Results of recent token exchanges with peers, for each account.

They determine which peers are asked first, and how long the VM backs off after its
peers could not supply enough tokens.
"""

import random
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_server.ports import PeerNetwork

# Back-off after an unsuccessful exchange, doubled each time up to the maximum.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 4.0
# Time after a back-off during which the account still counts as exhausted on all VMs.
EXHAUSTED_S = 5.0
# Maximum number of accounts with a record, and of peers in each record.
MAX_ACCOUNTS = 1000
MAX_PEERS_PER_ACCOUNT = 16


class ExchangeRecord(NamedTuple):
    """Result of the last exchanges for one account.

    `spare_by_peer` holds the tokens that peers had left, the latest reply last.
    """

    spare_by_peer: dict[str, int]
    backoff_s: float
    backoff_until: float


_EMPTY_RECORD = ExchangeRecord({}, 0.0, float("-inf"))


class ExchangeHistory:
    """Records of the accounts for which this VM asked its peers most recently."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._record_by_account: dict[str, ExchangeRecord] = {}

    def get(self, account: str) -> ExchangeRecord:
        """Return the account's record, an empty one when it has none."""
        return self._record_by_account.get(account, _EMPTY_RECORD)

    def is_backing_off(self, account: str) -> bool:
        """Return whether the back-off after an unsuccessful exchange is running."""
        return self._clock() < self.get(account).backoff_until

    def is_exhausted(self, account: str) -> bool:
        """Return whether an exchange was unsuccessful recently."""
        return self._clock() < self.get(account).backoff_until + EXHAUSTED_S

    def peers_with_spare(self, account: str) -> list[str]:
        """Return the peers that had spare tokens, those with most first."""
        spare_by_peer = self.get(account).spare_by_peer
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

    def record_spare(self, account: str, peer: str, spare_tokens: int) -> None:
        """Record the tokens that a peer had left after its grant."""
        record = self.get(account)
        spare_by_peer = dict(record.spare_by_peer)
        spare_by_peer.pop(peer, None)
        if spare_tokens > 0:
            spare_by_peer[peer] = spare_tokens
        if len(spare_by_peer) > MAX_PEERS_PER_ACCOUNT:
            del spare_by_peer[next(iter(spare_by_peer))]
        self._store(account, record._replace(spare_by_peer=spare_by_peer))

    def record_failure(self, account: str) -> None:
        """Record an unsuccessful exchange: back off, and ask only a few peers next."""
        record = self.get(account)
        backoff = min(max(2 * record.backoff_s, MIN_BACKOFF_S), MAX_BACKOFF_S)
        until = self._clock() + backoff
        self._store(account, record._replace(backoff_s=backoff, backoff_until=until))

    def record_success(self, account: str) -> None:
        """Record a successful exchange, which shortens the next back-off."""
        record = self.get(account)
        if record.backoff_s > 0:
            backoff = record.backoff_s / 2 if record.backoff_s > MIN_BACKOFF_S else 0.0
            self._store(account, record._replace(backoff_s=backoff))

    def _store(self, account: str, record: ExchangeRecord) -> None:
        self._record_by_account.pop(account, None)
        self._record_by_account[account] = record
        if len(self._record_by_account) > MAX_ACCOUNTS:
            del self._record_by_account[next(iter(self._record_by_account))]
