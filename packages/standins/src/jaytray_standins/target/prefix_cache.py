"""Bounded cache of prompt prefixes, with delayed and lost events."""

import collections

from jaytray_core.clock import MonotonicClock
from jaytray_core.prefix_digests import (
    BLOCK_CHARACTERS,
    CHARACTERS_PER_TOKEN,
    prefix_digests,
)
from jaytray_core.targets import CacheEvent, CacheEventKind

_BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
_KEPT_EVENTS = 10_000


class PrefixCache:
    """The prefixes that one target used most recently.

    Events become visible `event_delay_s` late; every `lose_every`-th event is lost
    (none if 0), which leaves a gap in the sequence.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        capacity_tokens: int,
        event_delay_s: float,
        lose_every: int,
    ) -> None:
        self._clock = clock
        self._capacity_blocks = capacity_tokens // _BLOCK_TOKENS
        self._event_delay_s = event_delay_s
        self._lose_every = lose_every
        self._sequence = 0
        self._name_by_digest: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = collections.deque(
            maxlen=_KEPT_EVENTS
        )

    def use(self, name: str, prompt: str) -> int:
        """Store the prefixes of a prompt; return the tokens found in the cache."""
        digests = prefix_digests(name, prompt)
        hits = 0
        for digest in digests:
            if digest not in self._name_by_digest:
                break
            hits += 1
        for position, digest in enumerate(digests):
            if digest not in self._name_by_digest:
                tokens = (position + 1) * _BLOCK_TOKENS
                self._publish(CacheEventKind.STORED, name, digest, tokens)
            self._name_by_digest[digest] = name
            self._name_by_digest.move_to_end(digest)
        self._evict()
        return hits * _BLOCK_TOKENS

    def clear(self) -> None:
        """Drop all prefixes and events without new events, like a restart."""
        self._name_by_digest.clear()
        self._events.clear()

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the visible events with a higher sequence, oldest first."""
        horizon_s = self._clock() - self._event_delay_s
        return [
            event
            for at_s, event in self._events
            if event.sequence > sequence and at_s <= horizon_s
        ]

    def _evict(self) -> None:
        while len(self._name_by_digest) > self._capacity_blocks:
            digest, name = self._name_by_digest.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, name, digest, 0)

    def _publish(
        self, kind: CacheEventKind, name: str, digest: str, tokens: int
    ) -> None:
        self._sequence += 1
        if self._lose_every and self._sequence % self._lose_every == 0:
            return
        event = CacheEvent(self._sequence, kind, name, digest, tokens)
        self._events.append((self._clock(), event))
