"""Requests in flight at each target, as this process and its peers know them."""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock

# Figures of a peer that has been silent for longer are dropped.
PEER_LIMIT_S = 2.0


class TargetLoad(NamedTuple):
    """Requests running at a target and prompt tokens that it has yet to read."""

    running: int
    waiting_tokens: int


class _InFlight:
    """Own requests at one target: prompt tokens yet unread, and what they run on."""

    def __init__(self) -> None:
        self.waiting_tokens_by_run: dict[int, int] = {}
        self.replica_by_run: dict[int, str] = {}

    def load(self) -> TargetLoad:
        tokens = self.waiting_tokens_by_run.values()
        return TargetLoad(len(tokens), sum(tokens))


class _PeerLoad(NamedTuple):
    heard_at_s: float
    load_by_target: dict[str, TargetLoad]
    replicas_by_target: dict[str, list[str]]


class LoadView:
    """Loads by target id."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._own_by_target: dict[str, _InFlight] = {}
        self._peer_by_id: dict[str, _PeerLoad] = {}
        self._next_run = 0

    def start(self, target_id: str, prompt_tokens: int, replica: str) -> int:
        """Count a request that is being sent; returns its run number.

        `replica` is the model, or the model and adapter, that it runs on.
        """
        self._next_run += 1
        in_flight = self._own_by_target.setdefault(target_id, _InFlight())
        in_flight.waiting_tokens_by_run[self._next_run] = prompt_tokens
        in_flight.replica_by_run[self._next_run] = replica
        return self._next_run

    def first_piece(self, target_id: str, run: int) -> None:
        """Note that the prompt has been read."""
        in_flight = self._own_by_target.get(target_id)
        if in_flight is not None and run in in_flight.waiting_tokens_by_run:
            in_flight.waiting_tokens_by_run[run] = 0

    def finish(self, target_id: str, run: int) -> None:
        """Stop counting a request."""
        in_flight = self._own_by_target.get(target_id)
        if in_flight is not None:
            in_flight.waiting_tokens_by_run.pop(run, None)
            in_flight.replica_by_run.pop(run, None)
            if not in_flight.waiting_tokens_by_run:
                del self._own_by_target[target_id]

    def set_peer(
        self,
        peer_id: str,
        load_by_target: dict[str, TargetLoad],
        replicas_by_target: dict[str, list[str]],
    ) -> None:
        """Take the requests in flight that a peer reports."""
        self._peer_by_id[peer_id] = _PeerLoad(
            self._clock(), load_by_target, replicas_by_target
        )

    def own_replicas(self) -> dict[str, list[str]]:
        """Return the replicas that own requests run on, by target."""
        return {
            target: sorted(set(held.replica_by_run.values()))
            for target, held in self._own_by_target.items()
        }

    def replicas_in_use(self, target_id: str) -> set[str]:
        """Return the replicas at a target that any known request runs on."""
        own = self._own_by_target.get(target_id)
        in_use = set(own.replica_by_run.values()) if own else set()
        for peer in self._fresh_peers():
            in_use.update(peer.replicas_by_target.get(target_id, ()))
        return in_use

    def own(self) -> dict[str, TargetLoad]:
        """Return the own requests in flight by target."""
        return {target: held.load() for target, held in self._own_by_target.items()}

    def total(self, target_id: str) -> TargetLoad:
        """Return all known requests in flight at a target."""
        own = self._own_by_target.get(target_id)
        running, waiting = own.load() if own else (0, 0)
        for peer in self._fresh_peers():
            load = peer.load_by_target.get(target_id)
            if load is not None:
                running += load.running
                waiting += load.waiting_tokens
        return TargetLoad(running, waiting)

    def _fresh_peers(self) -> list[_PeerLoad]:
        oldest_s = self._clock() - PEER_LIMIT_S
        return [p for p in self._peer_by_id.values() if p.heard_at_s >= oldest_s]
