"""Requests in flight at each target, from this process and its peers' reports."""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock

# Reports of peers that are older than this are ignored.
PEER_REPORT_TTL_S = 2.0


class TargetLoad(NamedTuple):
    """Running requests at a target and its unread prompt tokens by priority."""

    running: int
    waiting_tokens_by_priority: dict[int, int]

    def waiting_tokens(self, priority: int) -> int:
        """Return the prompt tokens that are read before a request of this priority."""
        return sum(
            tokens
            for rank, tokens in self.waiting_tokens_by_priority.items()
            if rank <= priority
        )


class _InFlightRequest(NamedTuple):
    """A request of this process; `waiting_tokens` is 0 once its prompt was read."""

    waiting_tokens: int
    priority: int
    replica: str


class _PeerReport(NamedTuple):
    received_at_s: float
    load_by_target: dict[str, TargetLoad]
    replicas_by_target: dict[str, list[str]]


class LoadView:
    """Tracks requests in flight by target id."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._own_by_target: dict[str, dict[int, _InFlightRequest]] = {}
        self._report_by_peer: dict[str, _PeerReport] = {}
        self._next_run = 0

    def start(
        self, target_id: str, prompt_tokens: int, replica: str, *, priority: int
    ) -> int:
        """Add a request that is being sent, and return its run number.

        `replica` is the model, or the model and adapter, that it runs on.
        """
        self._next_run += 1
        runs = self._own_by_target.setdefault(target_id, {})
        runs[self._next_run] = _InFlightRequest(prompt_tokens, priority, replica)
        return self._next_run

    def mark_prompt_read(self, target_id: str, number: int) -> None:
        """Record that the prompt has been read."""
        runs = self._own_by_target.get(target_id, {})
        if number in runs:
            runs[number] = runs[number]._replace(waiting_tokens=0)

    def finish(self, target_id: str, number: int) -> None:
        """Remove a request."""
        runs = self._own_by_target.get(target_id, {})
        runs.pop(number, None)
        if not runs:
            self._own_by_target.pop(target_id, None)

    def set_peer_report(
        self,
        peer_id: str,
        load_by_target: dict[str, TargetLoad],
        replicas_by_target: dict[str, list[str]],
    ) -> None:
        """Store a peer's report of its requests in flight; drop expired ones."""
        oldest_s = self._clock() - PEER_REPORT_TTL_S
        for peer, report in list(self._report_by_peer.items()):
            if report.received_at_s < oldest_s:
                del self._report_by_peer[peer]
        self._report_by_peer[peer_id] = _PeerReport(
            self._clock(), load_by_target, replicas_by_target
        )

    def own_replicas(self) -> dict[str, list[str]]:
        """Return the replicas that this process's requests run on, by target."""
        return {
            target: sorted({run.replica for run in runs.values()})
            for target, runs in self._own_by_target.items()
        }

    def replicas_in_use(self, target_id: str) -> set[str]:
        """Return the replicas at a target that own or peers' requests run on."""
        own = self._own_by_target.get(target_id, {})
        in_use = {run.replica for run in own.values()}
        for peer in self._current_reports():
            in_use.update(peer.replicas_by_target.get(target_id, ()))
        return in_use

    def own_loads(self) -> dict[str, TargetLoad]:
        """Return this process's load by target."""
        return {target: self._own_load(target) for target in self._own_by_target}

    def load_of(self, target_id: str) -> TargetLoad:
        """Return the load of a target by own and peers' requests."""
        running, waiting = self._own_load(target_id)
        for peer in self._current_reports():
            load = peer.load_by_target.get(target_id)
            if load is not None:
                running += load.running
                for rank, tokens in load.waiting_tokens_by_priority.items():
                    waiting[rank] = waiting.get(rank, 0) + tokens
        return TargetLoad(running, waiting)

    def _own_load(self, target_id: str) -> TargetLoad:
        runs = self._own_by_target.get(target_id, {})
        waiting: dict[int, int] = {}
        for run in runs.values():
            if run.waiting_tokens:
                waiting[run.priority] = (
                    waiting.get(run.priority, 0) + run.waiting_tokens
                )
        return TargetLoad(len(runs), waiting)

    def _current_reports(self) -> list[_PeerReport]:
        oldest_s = self._clock() - PEER_REPORT_TTL_S
        return [p for p in self._report_by_peer.values() if p.received_at_s >= oldest_s]
