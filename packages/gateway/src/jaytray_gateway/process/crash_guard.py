"""Requests that break the targets which run them, recognised by their content.

Each broken answer is counted for the request's digest and told to the peers before
the caller gets the failure. After a few breaks on different targets' starts the
request is refused for a time.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_gateway.process.target_entry import TargetEntry

# Breaks after which a request is refused, as the contract allows three runs.
MAX_BREAKS = 3
# Time after the last break for which it stays refused.
HOLD_S = 60.0
RETRY_S = 5.0
MAX_DIGESTS = 2_000


class Break(NamedTuple):
    """One broken answer: the request's digest and the target's start."""

    digest: str
    target_id: str
    incarnation: str


class _Suspect(NamedTuple):
    breaks: tuple[tuple[str, str], ...]
    last_s: float


class CrashGuard:
    """Breaks by content digest; `tell_peers` passes a new one on."""

    def __init__(
        self, *, clock: MonotonicClock, tell_peers: Callable[[Break], None]
    ) -> None:
        self._clock = clock
        self._tell_peers = tell_peers
        self._suspect_by_digest: OrderedDict[str, _Suspect] = OrderedDict()

    def check(self, digest: str) -> None:
        """Raise when the request with this digest broke too many targets."""
        suspect = self._suspect_by_digest.get(digest)
        if suspect is None or len(suspect.breaks) < MAX_BREAKS:
            return
        if self._clock() - suspect.last_s > HOLD_S:
            del self._suspect_by_digest[digest]
            return
        raise JaytrayError(
            messages.REQUEST_SUSPECTED,
            step=Step.ADMIT,
            retry_after_s=RETRY_S,
        )

    def note_break(self, digest: str, target: TargetEntry) -> None:
        """Count an answer that broke off here, and tell the peers."""
        found = Break(digest, target.target_id, target.incarnation)
        self.take(found)
        self._tell_peers(found)

    def take(self, found: Break) -> None:
        """Count a break, also one that a peer tells of."""
        before = self._suspect_by_digest.pop(found.digest, _Suspect((), 0.0))
        place = (found.target_id, found.incarnation)
        breaks = before.breaks if place in before.breaks else (*before.breaks, place)
        self._suspect_by_digest[found.digest] = _Suspect(breaks, self._clock())
        if len(breaks) == MAX_BREAKS:
            get_logger().warning("request_quarantined", digest=found.digest)
        while len(self._suspect_by_digest) > MAX_DIGESTS:
            self._suspect_by_digest.popitem(last=False)
