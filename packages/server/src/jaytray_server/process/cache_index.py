"""Which target probably has which prompt prefix in its cache.

Two sources are joined. Cache events of a target are exact but late, and a gap in
their sequence makes everything known of that target's cache worthless. Own
dispatches are known at once, but only to this VM; they count for a limited time.
Nothing here is more than a hint: a wrong entry costs time, never correctness.
"""

from collections import OrderedDict
from collections.abc import Iterable

from jaytray_core.clock import MonotonicClock
from jaytray_core.targets import CacheEvent, CacheEventKind

MAX_PREFIXES_PER_TARGET = 4_096
DISPATCH_HINT_S = 60.0


class CacheIndex:
    """Prefix digests by target, from cache events and own dispatches.

    `max_prefixes` bounds the digests kept for each target and source.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        max_prefixes: int = MAX_PREFIXES_PER_TARGET,
        dispatch_hint_s: float = DISPATCH_HINT_S,
    ) -> None:
        self._clock = clock
        self._max_prefixes = max_prefixes
        self._dispatch_hint_s = dispatch_hint_s
        self._sequence_by_target: dict[str, int] = {}
        self._stored_by_target: dict[str, OrderedDict[str, None]] = {}
        self._hinted_by_target: dict[str, OrderedDict[str, float]] = {}

    def last_sequence(self, target: str) -> int:
        """Return the sequence of the last event applied, 0 when there is none."""
        return self._sequence_by_target.get(target, 0)

    def apply_events(self, target: str, events: Iterable[CacheEvent]) -> None:
        """Apply events in order; a gap forgets what was known of the target."""
        for event in events:
            last = self._sequence_by_target.get(target)
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence != last + 1:
                self._forget_contents(target)
            self._sequence_by_target[target] = event.sequence
            self._apply(target, event)

    def record_dispatch(self, target: str, prefix_digests: Iterable[str]) -> None:
        """Remember that a prompt with these prefixes was sent to the target."""
        hinted = self._hinted_by_target.setdefault(target, OrderedDict())
        expires_at = self._clock() + self._dispatch_hint_s
        for digest in prefix_digests:
            hinted[digest] = expires_at
            hinted.move_to_end(digest)
        _trim(hinted, self._max_prefixes)

    def matched_prefixes(self, target: str, prefix_digests: tuple[str, ...]) -> int:
        """Return how many of the growing prefixes the target probably caches."""
        stored = self._stored_by_target.get(target)
        hinted = self._hinted_by_target.get(target)
        if not stored and not hinted:
            return 0
        now = self._clock()
        for matched in range(len(prefix_digests), 0, -1):
            digest = prefix_digests[matched - 1]
            if stored and digest in stored:
                return matched
            if hinted and hinted.get(digest, now) > now:
                return matched
        return 0

    def forget(self, target: str) -> None:
        """Drop all that is known of a target, as after its restart."""
        self._sequence_by_target.pop(target, None)
        self._forget_contents(target)

    def _apply(self, target: str, event: CacheEvent) -> None:
        stored = self._stored_by_target.setdefault(target, OrderedDict())
        if event.kind is CacheEventKind.STORED:
            stored[event.prefix_digest] = None
            _trim(stored, self._max_prefixes)
            return
        stored.pop(event.prefix_digest, None)
        hinted = self._hinted_by_target.get(target)
        if hinted:
            hinted.pop(event.prefix_digest, None)

    def _forget_contents(self, target: str) -> None:
        self._stored_by_target.pop(target, None)
        self._hinted_by_target.pop(target, None)


def _trim(
    entries: OrderedDict[str, None] | OrderedDict[str, float], limit: int
) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)
