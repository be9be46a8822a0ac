"""This VM's view of each target: delayed load reports plus its own requests.

A load report is outdated when it arrives. It does not cover the requests that this VM
has sent since it was taken, so their expected tokens, the own tokens in flight, are
added to the reported load. A target that fails is suspected for a time that grows with
each consecutive failure. A target whose first tokens or pieces are late is marked slow
for a limited time.

The table may be changed only from the event loop and does no I/O.
"""

from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.targets import LoadReport, Resident, ResidentState

REPORT_LAG_S = 1.0
REPORT_STALE_S = 15.0
INITIAL_SUSPICION_S = 1.0
MAX_SUSPICION_S = 30.0
MAX_SUSPICION_DOUBLINGS = 5
SLOW_S = 5.0
# Weight of the newest observation in the mean duration of requests.
DURATION_GAIN = 0.2


class OwnRequest(NamedTuple):
    """A request of this VM at a target; `tokens` is the number still expected.

    `progressed_at_s` is when the last piece arrived, None before the first one.
    """

    tokens: int
    started_at_s: float
    progressed_at_s: float | None


class TargetLoad(NamedTuple):
    """Estimated current load of a target."""

    requests: int
    tokens: int


class TargetEntry:
    """Mutable state of one target; accessed only through `TargetTable`."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.received_at_s = float("-inf")
        self.own_requests_by_id: dict[str, OwnRequest] = {}
        self.own_tokens = 0
        self.mean_run_s: float | None = None
        self.consecutive_failures = 0
        self.suspected_until_s = float("-inf")
        self.slow_until_s = float("-inf")


class TargetTable:
    """State of all targets, keyed by name, with an index of ready replicas.

    `report_lag_s` is the maximum age of a report when it arrives; own requests that
    started within that time before its arrival are assumed to be missing from it. A
    target without a report for `report_stale_s` is suspected. With
    `counts_own_requests` False, own requests are ignored; this is for comparisons.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        report_lag_s: float = REPORT_LAG_S,
        report_stale_s: float = REPORT_STALE_S,
        counts_own_requests: bool = True,
    ) -> None:
        self._clock = clock
        self._report_lag_s = report_lag_s
        self.report_stale_s = report_stale_s
        self._counts_own_requests = counts_own_requests
        self._entries_by_target: dict[str, TargetEntry] = {}
        self._ready_by_name: dict[str, dict[str, list[Resident]]] = {}

    def record_report(self, report: LoadReport) -> bool:
        """Apply a report and return whether it was applied.

        A report that is not newer than the known one of the same boot is ignored.
        """
        entry = self._entry(report.target)
        known = entry.report
        if (
            known is not None
            and known.boot_id == report.boot_id
            and known.taken_at_s >= report.taken_at_s
        ):
            return False
        if known is None or known.residents != report.residents:
            self._remove_from_index(report.target, known)
            self._index_residents(report)
        entry.report = report
        entry.received_at_s = self._clock()
        return True

    def known_targets(self) -> set[str]:
        """Return the names of all targets in the table."""
        return set(self._entries_by_target)

    def report_of(self, target: str) -> LoadReport | None:
        """Return the last report of a target."""
        entry = self._entries_by_target.get(target)
        return entry.report if entry else None

    def report_age_s(self, target: str) -> float:
        """Return the seconds since the last report arrived; infinity without one."""
        entry = self._entries_by_target.get(target)
        return self._clock() - entry.received_at_s if entry else float("inf")

    def ready_replicas(self, name: str) -> dict[str, list[Resident]]:
        """Return the ready residents `name` by target; callers must not modify it."""
        return self._ready_by_name.get(name, {})

    def load_of(self, target: str) -> TargetLoad:
        """Return the reported load plus own requests that it cannot include."""
        entry = self._entries_by_target.get(target)
        if entry is None:
            return TargetLoad(0, 0)
        report = entry.report
        requests = report.running_requests + report.queued_requests if report else 0
        tokens = report.tokens_pending if report else 0
        if not self._counts_own_requests:
            return TargetLoad(requests, tokens)
        missing_since = entry.received_at_s - self._report_lag_s
        missing = [
            own.tokens
            for own in entry.own_requests_by_id.values()
            if own.started_at_s >= missing_since
        ]
        return TargetLoad(
            max(requests + len(missing), len(entry.own_requests_by_id)),
            max(tokens + sum(missing), entry.own_tokens),
        )

    def mean_run_s(self, target: str) -> float | None:
        """Return the mean duration of own requests at a target, None if unknown."""
        entry = self._entries_by_target.get(target)
        return entry.mean_run_s if entry else None

    def is_leaving(self, target: str) -> bool:
        """Return whether the target reported that it is leaving."""
        report = self.report_of(target)
        return report is not None and report.is_leaving

    def is_suspected(self, target: str) -> bool:
        """Return whether the target failed recently or its last report is stale."""
        entry = self._entries_by_target.get(target)
        if entry is None:
            return True
        now = self._clock()
        is_stale = now - entry.received_at_s > self.report_stale_s
        return now < entry.suspected_until_s or is_stale

    def is_slow(self, target: str) -> bool:
        """Return whether the target missed a deadline recently."""
        entry = self._entries_by_target.get(target)
        return entry is not None and self._clock() < entry.slow_until_s

    def record_start(self, target: str, request_id: str, tokens: int) -> None:
        """Count an own request that was sent to the target."""
        entry = self._entry(target)
        self.record_finish(target, request_id)
        entry.own_requests_by_id[request_id] = OwnRequest(tokens, self._clock(), None)
        entry.own_tokens += tokens

    def record_progress(self, target: str, request_id: str, tokens: int) -> None:
        """Set the tokens still expected of an own request."""
        entry = self._entry(target)
        own = entry.own_requests_by_id.get(request_id)
        if own is None:
            return
        entry.own_tokens += tokens - own.tokens
        entry.own_requests_by_id[request_id] = own._replace(
            tokens=tokens, progressed_at_s=self._clock()
        )
        entry.consecutive_failures = 0

    def own_request(self, target: str, request_id: str) -> OwnRequest | None:
        """Return an own request that is running at the target, or None."""
        entry = self._entries_by_target.get(target)
        return entry.own_requests_by_id.get(request_id) if entry else None

    def record_finish(self, target: str, request_id: str) -> None:
        """Remove an own request; unknown ones are ignored."""
        entry = self._entry(target)
        own = entry.own_requests_by_id.pop(request_id, None)
        if own is None:
            return
        entry.own_tokens -= own.tokens
        run_s = self._clock() - own.started_at_s
        known_s = entry.mean_run_s
        entry.mean_run_s = (
            run_s if known_s is None else known_s + DURATION_GAIN * (run_s - known_s)
        )

    def record_failure(self, target: str) -> None:
        """Suspect the target for a time that doubles with each consecutive failure."""
        entry = self._entry(target)
        doublings = min(entry.consecutive_failures, MAX_SUSPICION_DOUBLINGS)
        duration_s = min(MAX_SUSPICION_S, INITIAL_SUSPICION_S * 2**doublings)
        entry.consecutive_failures += 1
        entry.suspected_until_s = self._clock() + duration_s

    def mark_slow(self, target: str) -> None:
        """Mark the target as slow for `SLOW_S` because it missed a deadline."""
        self._entry(target).slow_until_s = self._clock() + SLOW_S

    def forget(self, target: str) -> None:
        """Remove a target that the document no longer declares."""
        entry = self._entries_by_target.pop(target, None)
        self._remove_from_index(target, entry.report if entry else None)

    def _entry(self, target: str) -> TargetEntry:
        entry = self._entries_by_target.get(target)
        if entry is None:
            entry = self._entries_by_target[target] = TargetEntry()
        return entry

    def model_version_at(self, target: str, model: str) -> str:
        """Return the version of the model's replicas, empty if there are several."""
        residents = self.ready_replicas(model).get(target, ())
        versions = {resident.version for resident in residents}
        return versions.pop() if len(versions) == 1 else ""

    def _index_residents(self, report: LoadReport) -> None:
        for resident in report.residents:
            if resident.state is ResidentState.READY:
                replicas = self._ready_by_name.setdefault(resident.name, {})
                replicas.setdefault(report.target, []).append(resident)

    def _remove_from_index(self, target: str, report: LoadReport | None) -> None:
        for resident in report.residents if report else ():
            self._ready_by_name.get(resident.name, {}).pop(target, None)
