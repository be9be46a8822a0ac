"""Quarantine of requests that crash the targets which run them.

A break is a response that was cut off. Each break is counted for the content digest of
the request and sent to the peers before the caller gets the failure. A request with a
few breaks at different incarnations of targets, and no complete response in between, is
refused for a time.

Breaks have other causes than the request. One fault of a network or of many targets
cuts off what runs at the moment, so a break counts only if its run was sent after the
last break that counted. Nor does it count if its run was sent after another break at
that incarnation, which is down unless it has given a complete response since. A request
that had a complete response shortly before does not crash targets: identical requests,
such as reads without a body, thereby clear each other.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_gateway.process.recent_times import RecentTimes
from jaytray_gateway.process.target_entry import TargetEntry

# Number of breaks after which a request is refused: the contract allows three runs.
MAX_BREAKS = 3
# Time after a complete response for which breaks of identical requests do not count.
SOUND_S = 5.0
# Time after the last break for which the request is refused.
QUARANTINE_S = 60.0
RETRY_AFTER_S = 5.0
MAX_DIGESTS = 2_000
MAX_INCARNATIONS = 2_000
MAX_SOUND_DIGESTS = 4_000


class RunEnd(NamedTuple):
    """Outcome of a run of the request with this digest at a target's incarnation.

    `ran_s` is how long ago the run was sent when it broke.
    """

    digest: str
    target_id: str
    incarnation: str
    is_broken: bool
    ran_s: float


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
        # Last complete responses here.
        self._sound_digests = RecentTimes(max_keys=MAX_SOUND_DIGESTS)

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
        """Refuse the request with this digest from now on, as a member has recorded.

        If it is sound here, notify the peers instead, which ends the record.
        """
        if self._is_sound(digest):
            self._notify_peers(RunEnd(digest, "", "", False, 0.0))
        elif digest not in self.quarantined():
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

    def record_broken_response(
        self, digest: str, target: TargetEntry, *, sent_at_s: float
    ) -> None:
        """Count the response to a run that was cut off, and notify the peers."""
        ran_s = self._clock() - sent_at_s
        run_end = RunEnd(digest, target.target_id, target.incarnation, True, ran_s)
        self.apply_run_end(run_end)
        if not self._is_sound(digest):
            self._notify_peers(run_end)

    def record_complete_response(self, digest: str, target: TargetEntry) -> None:
        """Clear a request that had a complete response, and notify the peers."""
        self._first_break_s_by_incarnation.pop(
            (target.target_id, target.incarnation), None
        )
        self._sound_digests.note(digest, self._clock())
        if digest in self._suspect_by_digest:
            run_end = RunEnd(digest, target.target_id, target.incarnation, False, 0.0)
            self.apply_run_end(run_end)
            self._notify_peers(run_end)

    def apply_run_end(self, run_end: RunEnd) -> None:
        """Apply the outcome of a run at this member or a peer."""
        if not run_end.is_broken:
            self._suspect_by_digest.pop(run_end.digest, None)
            return
        is_counted = self._count_break(run_end)
        suspect = self._suspect_by_digest.get(run_end.digest)
        breaks = len(suspect.breaks) if suspect else 0
        get_logger().info(
            "request_break",
            digest=run_end.digest,
            target=run_end.target_id,
            incarnation=run_end.incarnation,
            breaks=breaks,
            is_counted=is_counted,
        )
        if is_counted and breaks == MAX_BREAKS:
            get_logger().warning("request_quarantined", digest=run_end.digest)

    def _count_break(self, run_end: RunEnd) -> bool:
        """Return whether the break counts against its request."""
        now_s = self._clock()
        sent_at_s = now_s - run_end.ran_s
        incarnation = (run_end.target_id, run_end.incarnation)
        first_break_s = self._first_break_s_by_incarnation.setdefault(
            incarnation, now_s
        )
        if len(self._first_break_s_by_incarnation) > MAX_INCARNATIONS:
            self._first_break_s_by_incarnation.popitem(last=False)
        if sent_at_s > first_break_s or self._is_sound(run_end.digest):
            return False
        previous = self._suspect_by_digest.get(
            run_end.digest, _Suspect((), -float("inf"))
        )
        if incarnation in previous.breaks or sent_at_s < previous.last_break_s:
            return False
        self._suspect_by_digest.pop(run_end.digest, None)
        self._suspect_by_digest[run_end.digest] = _Suspect(
            (*previous.breaks, incarnation), now_s
        )
        while len(self._suspect_by_digest) > MAX_DIGESTS:
            self._suspect_by_digest.popitem(last=False)
        return True

    def _is_sound(self, digest: str) -> bool:
        """Return whether an identical request had a complete response recently."""
        return self._clock() - self._sound_digests.last(digest) < SOUND_S
