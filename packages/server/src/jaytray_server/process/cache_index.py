"""Index of the prompt prefixes that each target probably has in its cache.

It combines two sources. Cache events of a target are exact but late, and a gap in their
sequence invalidates everything known about the target's cache. Dispatches of this VM
are known immediately but to this VM only, and count for a limited time. All entries are
hints: a wrong one costs time but never correctness.
"""

from collections import OrderedDict
from collections.abc import Iterable

from jaytray_core.clock import MonotonicClock
from jaytray_core.targets import CacheEvent, CacheEventKind

MAX_PREFIXES_PER_TARGET = 4_096
DISPATCH_HINT_S = 60.0


class CacheIndex:
    """Prefix digests by target, from cache events and this VM's dispatches.

    `max_prefixes` limits the digests kept for each target and source.
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
        """Return the sequence number of the last event applied, 0 if there is none."""
        return self._sequence_by_target.get(target, 0)

    def apply_events(self, target: str, events: Iterable[CacheEvent]) -> None:
        """Apply events in order; a gap first clears the entries of the target."""
        for event in events:
            last = self._sequence_by_target.get(target)
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence != last + 1:
                self._clear_prefixes(target)
            self._sequence_by_target[target] = event.sequence
            self._apply(target, event)

    def record_dispatch(self, target: str, prefix_digests: Iterable[str]) -> None:
        """Record that a prompt with these prefixes was sent to the target."""
        hinted = self._hinted_by_target.setdefault(target, OrderedDict())
        expires_at = self._clock() + self._dispatch_hint_s
        for digest in prefix_digests:
            hinted[digest] = expires_at
            hinted.move_to_end(digest)
        _trim(hinted, self._max_prefixes)

    def matched_prefixes(self, target: str, prefix_digests: tuple[str, ...]) -> int:
        """Return how many of the prefixes, shortest first, are probably cached."""
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
        """Drop all entries of a target, for example after its restart."""
        self._sequence_by_target.pop(target, None)
        self._clear_prefixes(target)

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

    def _clear_prefixes(self, target: str) -> None:
        self._stored_by_target.pop(target, None)
        self._hinted_by_target.pop(target, None)


def _trim(
    entries: OrderedDict[str, None] | OrderedDict[str, float], limit: int
) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)
