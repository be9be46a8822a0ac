"""Quarantine of requests that crash the targets which run them.

A break is a response that was cut off. Each break is counted for the content digest of
the request and sent to the peers before the caller gets the failure. A request with a
few breaks at different incarnations of targets, and no complete response in between, is
refused for a time. Identical requests, such as reads without a body, thereby clear each
other. An incarnation with a break some time ago and no complete response since counts
as down, and further breaks there are not counted.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_gateway.process.target_entry import TargetEntry

# Number of breaks after which a request is refused: the contract allows three runs.
MAX_BREAKS = 3
# Breaks within this time count as one: a single network fault can cut off several runs
# of identical requests. A caller's retry comes later than that.
COMMON_CAUSE_S = 0.5
# Time after the last break for which the request is refused.
QUARANTINE_S = 60.0
RETRY_AFTER_S = 5.0
MAX_DIGESTS = 2_000
MAX_INCARNATIONS = 2_000


class RunEnd(NamedTuple):
    """Outcome of a run of the request with this digest at a target's incarnation."""

    digest: str
    target_id: str
    incarnation: str
    is_broken: bool


class _Suspect(NamedTuple):
    breaks: tuple[tuple[str, str], ...]
    last_break_s: float


class CrashGuard:
    """Counts breaks by content digest; `notify_peers` sends own outcomes to peers."""

    def __init__(
        self, *, clock: MonotonicClock, notify_peers: Callable[[RunEnd], None]
    ) -> None:
        self._clock = clock
        self._notify_peers = notify_peers
        self._suspect_by_digest: OrderedDict[str, _Suspect] = OrderedDict()
        # Time of the first break at an incarnation since its last complete response.
        self._first_break_s_by_incarnation: OrderedDict[tuple[str, str], float] = (
            OrderedDict()
        )

    def check(self, digest: str) -> None:
        """Raise `request_suspected` if the request with this digest is quarantined."""
        suspect = self._suspect_by_digest.get(digest)
        if suspect is None or len(suspect.breaks) < MAX_BREAKS:
            return
        if self._clock() - suspect.last_break_s > QUARANTINE_S:
            del self._suspect_by_digest[digest]
            return
        raise JaytrayError(
            messages.REQUEST_SUSPECTED,
            step=Step.ADMIT,
            retry_after_s=RETRY_AFTER_S,
        )

    def quarantined(self) -> frozenset[str]:
        """Return the digests of the requests that are refused now."""
        oldest_s = self._clock() - QUARANTINE_S
        return frozenset(
            digest
            for digest, suspect in self._suspect_by_digest.items()
            if len(suspect.breaks) >= MAX_BREAKS and suspect.last_break_s >= oldest_s
        )

    def quarantine(self, digest: str) -> None:
        """Refuse the request with this digest from now on."""
        if digest not in self.quarantined():
            breaks = tuple(("", str(number)) for number in range(MAX_BREAKS))
            self._suspect_by_digest[digest] = _Suspect(breaks, self._clock())
            get_logger().warning("request_quarantined", digest=digest)

    def end_quarantine(self, digest: str) -> None:
        """Let the request with this digest through again."""
        if digest in self.quarantined():
            del self._suspect_by_digest[digest]

    def forget_crash(self, incarnation: tuple[str, str]) -> None:
        """Discount the breaks at a target's incarnation, as their cause is known."""
        for digest, suspect in list(self._suspect_by_digest.items()):
            if incarnation in suspect.breaks:
                left = tuple(other for other in suspect.breaks if other != incarnation)
                self._suspect_by_digest[digest] = suspect._replace(breaks=left)

    def record_broken_response(self, digest: str, target: TargetEntry) -> None:
        """Count a response that was cut off, and notify the peers."""
        run_end = RunEnd(digest, target.target_id, target.incarnation, True)
        self.apply_run_end(run_end)
        self._notify_peers(run_end)

    def record_complete_response(self, digest: str, target: TargetEntry) -> None:
        """Clear a request that had a complete response, and notify the peers."""
        self._first_break_s_by_incarnation.pop(
            (target.target_id, target.incarnation), None
        )
        if digest in self._suspect_by_digest:
            run_end = RunEnd(digest, target.target_id, target.incarnation, False)
            self.apply_run_end(run_end)
            self._notify_peers(run_end)

    def apply_run_end(self, run_end: RunEnd) -> None:
        """Apply the outcome of a run at this member or a peer."""
        if not run_end.is_broken:
            self._suspect_by_digest.pop(run_end.digest, None)
            return
        now_s = self._clock()
        incarnation = (run_end.target_id, run_end.incarnation)
        if (
            now_s - self._first_break_s_by_incarnation.setdefault(incarnation, now_s)
            > COMMON_CAUSE_S
        ):
            return
        if len(self._first_break_s_by_incarnation) > MAX_INCARNATIONS:
            self._first_break_s_by_incarnation.popitem(last=False)
        previous = self._suspect_by_digest.pop(
            run_end.digest, _Suspect((), -QUARANTINE_S)
        )
        is_same_cause = (
            incarnation in previous.breaks
            or now_s - previous.last_break_s < COMMON_CAUSE_S
        )
        breaks = previous.breaks if is_same_cause else (*previous.breaks, incarnation)
        get_logger().info(
            "request_break",
            digest=run_end.digest,
            target=run_end.target_id,
            incarnation=run_end.incarnation,
            breaks=len(breaks),
            is_counted=not is_same_cause,
        )
        last_break_s = previous.last_break_s if is_same_cause else now_s
        self._suspect_by_digest[run_end.digest] = _Suspect(breaks, last_break_s)
        if len(breaks) == MAX_BREAKS and not is_same_cause:
            get_logger().warning("request_quarantined", digest=run_end.digest)
        while len(self._suspect_by_digest) > MAX_DIGESTS:
            self._suspect_by_digest.popitem(last=False)
