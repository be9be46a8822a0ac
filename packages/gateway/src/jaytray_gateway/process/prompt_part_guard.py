"""Quarantine of prompt parts that crash the targets which respond to them.

A crash breaks many attempts at once. Those whose response had not begun are suspect, as
a harmful part crashes the target when it begins the response. Crashes are counted for
every part of the suspect attempts but the last one, which is the request's own. A part
of a response that got beyond its beginning is sound: its count starts again, and for a
short time crashes are not counted for it, as a harmful part never gets that far. A
target that goes on with an earlier request has not crashed, whatever broke the others.

Requests that share a harmful part share the parts before it too, so of the parts with
enough crashes the last one in the prompt is to blame. While parts of different requests
have as many crashes, none of them is blamed, as the next crash may tell them apart. The
attempts beside a blamed part are cleared of its crashes.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_gateway.process.recent_times import RecentTimes
from jaytray_gateway.process.target_entry import TargetEntry

# Number of crashes after which requests with a part are refused.
MAX_CRASHES = 3
# Number of crashes after which one of several parts with as many is blamed.
MAX_TIED_CRASHES = 8
# Breaks at a target within this time belong to one crash.
CRASH_WINDOW_S = 0.5
# Crashes of several targets within this time count once: one outage may cause them.
OUTAGE_WINDOW_S = 0.2
# Time from the first break of a crash until it is counted. By then the members have
# reported theirs, and noticed whether the target goes on with other requests.
SETTLE_S = 1.0
# Time since its first chunk after which a response is beyond its beginning.
RESPONSE_BEGUN_S = 0.25
# Time before a crash in which a part that was sound is not to blame for it.
SOUND_S = 3.0
# Time for which requests with a part are refused. After it, one more crash is enough.
PART_QUARANTINE_S = 600.0
MAX_PARTS = 4_000
MAX_CRASH_RECORDS = 500
MAX_CRASHES_PER_PART = 20
# Crashes that are kept to clear the attempts beside a part that is blamed later.
MAX_COUNTED_CRASHES = 50
MAX_SUSPECTS_PER_CRASH = 100
MAX_PARTS_PER_SUSPECT = 16

# A target and its incarnation.
Incarnation = tuple[str, str]


class PartEvidence(NamedTuple):
    """What one member observed, for the others.

    With `is_sound`, responses on `parts` got beyond their beginning. Otherwise an
    attempt with `parts` broke before that at a target or, if `parts` is empty, the
    target still works although attempts broke there.
    """

    parts: tuple[str, ...]
    is_sound: bool
    target_id: str = ""
    incarnation: str = ""


class _Crash(NamedTuple):
    """Breaks at one incarnation; `chains` are the parts of the suspect attempts."""

    incarnation: Incarnation
    first_break_s: float
    chains: list[tuple[str, ...]]


class PromptPartGuard:
    """Counts crashes by prompt part.

    `notify_peers` sends own observations to peers. `on_explained` is called with the
    target and incarnation of each crash that a quarantined part has caused.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        notify_peers: Callable[[PartEvidence], None],
        on_explained: Callable[[Incarnation], None],
    ) -> None:
        self.quarantined_until_s_by_part: dict[str, float] = {}
        self._clock = clock
        self._notify_peers = notify_peers
        self._on_explained = on_explained
        # Crashes that are not counted yet.
        self._crash_by_incarnation: dict[Incarnation, _Crash] = {}
        # How many of their breaks this member has seen itself.
        self._own_breaks_by_incarnation: Counter[Incarnation] = Counter()
        # Times of the first break at incarnations whose crash was counted.
        self._crashed_at_s_by_incarnation: OrderedDict[Incarnation, float] = (
            OrderedDict()
        )
        self._counted_crashes: deque[_Crash] = deque(maxlen=MAX_COUNTED_CRASHES)
        self._crash_times_s_by_part: OrderedDict[str, list[float]] = OrderedDict()
        # Last responses here that got beyond their beginning.
        self._sound_parts = RecentTimes(max_keys=MAX_PARTS)

    def check(self, parts: Sequence[str]) -> None:
        """Raise `request_suspected` if one of the parts is quarantined."""
        self.settle_crashes()
        for part in parts:
            until_s = self.quarantined_until_s_by_part.get(part)
            if until_s is not None:
                raise JaytrayError(
                    messages.REQUEST_SUSPECTED,
                    step=Step.ADMIT,
                    retry_after_s=until_s - self._clock(),
                )

    def record_break(self, parts: tuple[str, ...], target: TargetEntry) -> None:
        """Record an attempt that broke before its response had begun."""
        if not parts:
            return
        parts = parts[-MAX_PARTS_PER_SUSPECT:]
        evidence = PartEvidence(parts, False, target.target_id, target.incarnation)
        self.apply_evidence(evidence)
        self._notify_peers(evidence)
        incarnation = (target.target_id, target.incarnation)
        if incarnation in self._crash_by_incarnation:
            self._own_breaks_by_incarnation[incarnation] += 1

    def withdraw_breaks(self, targets: Iterable[TargetEntry]) -> None:
        """Discount breaks at targets that this member, it turns out, does not reach.

        A crash that other members have seen as well is counted all the same.
        """
        for target in targets:
            incarnation = (target.target_id, target.incarnation)
            own_breaks = self._own_breaks_by_incarnation.pop(incarnation, 0)
            crash = self._crash_by_incarnation.get(incarnation)
            if crash is not None and len(crash.chains) == own_breaks:
                evidence = PartEvidence((), False, *incarnation)
                self.apply_evidence(evidence)
                self._notify_peers(evidence)

    def record_begun_response(self, parts: tuple[str, ...]) -> None:
        """Record a response that got beyond its beginning."""
        for part in parts:
            self._sound_parts.note(part, self._clock())
        suspected = tuple(part for part in parts if self._is_suspected(part))
        if suspected:
            evidence = PartEvidence(suspected, True)
            self.apply_evidence(evidence)
            self._notify_peers(evidence)

    def record_chunk(self, target: TargetEntry, *, sent_at_s: float) -> None:
        """Record that a target still works on a request sent at `sent_at_s`."""
        incarnation = (target.target_id, target.incarnation)
        crashed_at_s = self._crashed_at_s_by_incarnation.get(incarnation)
        if crashed_at_s is not None and sent_at_s > crashed_at_s + CRASH_WINDOW_S:
            # It works again without a new incarnation, so it can crash again.
            del self._crashed_at_s_by_incarnation[incarnation]
        crash = self._crash_by_incarnation.get(incarnation)
        if crash is None or sent_at_s >= crash.first_break_s:
            return
        # Chunks that arrived before the break may be read after it.
        if self._clock() - crash.first_break_s > CRASH_WINDOW_S:
            evidence = PartEvidence((), False, *incarnation)
            self.apply_evidence(evidence)
            self._notify_peers(evidence)

    def apply_evidence(self, evidence: PartEvidence) -> None:
        """Apply an observation of this member or a peer."""
        incarnation = (evidence.target_id, evidence.incarnation)
        if evidence.is_sound:
            self._clear(evidence.parts)
        elif evidence.parts:
            self._add_break(incarnation, evidence.parts)
        elif self._crash_by_incarnation.pop(incarnation, None) is not None:
            self._own_breaks_by_incarnation.pop(incarnation, None)
            get_logger().info(
                "target_crash_refuted",
                target=evidence.target_id,
                incarnation=evidence.incarnation,
            )

    def quarantined(self) -> frozenset[str]:
        """Return the parts whose requests are refused now."""
        self.settle_crashes()
        return frozenset(self.quarantined_until_s_by_part)

    def quarantine(self, part: str) -> None:
        """Refuse requests with this part from now on."""
        if part not in self.quarantined_until_s_by_part:
            until_s = self._clock() + PART_QUARANTINE_S
            self.quarantined_until_s_by_part[part] = until_s
            get_logger().warning("prompt_part_quarantined", part=part)
            for crash in self._crashes_with(part):
                self._on_explained(crash.incarnation)
            self._release_parts_beside(part)

    def end_quarantine(self, part: str) -> None:
        """Let requests with this part through again until the next crash."""
        if self.quarantined_until_s_by_part.pop(part, None) is not None:
            now_s = self._clock()
            self._crash_times_s_by_part[part] = [
                now_s - number * 2 * OUTAGE_WINDOW_S
                for number in range(MAX_CRASHES, 1, -1)
            ]

    def settle_crashes(self) -> None:
        """Count the crashes whose reports are in, and end quarantines that are over."""
        now_s = self._clock()
        for incarnation, crash in list(self._crash_by_incarnation.items()):
            if now_s - crash.first_break_s >= SETTLE_S:
                del self._crash_by_incarnation[incarnation]
                self._own_breaks_by_incarnation.pop(incarnation, None)
                self._crashed_at_s_by_incarnation[incarnation] = crash.first_break_s
                self._count_crash(crash)
        while len(self._crashed_at_s_by_incarnation) > MAX_CRASH_RECORDS:
            self._crashed_at_s_by_incarnation.popitem(last=False)
        for part, until_s in list(self.quarantined_until_s_by_part.items()):
            if until_s <= now_s:
                self.end_quarantine(part)

    def _add_break(self, incarnation: Incarnation, parts: tuple[str, ...]) -> None:
        now_s = self._clock()
        # Requests sent to a target that is down break as well.
        if incarnation in self._crashed_at_s_by_incarnation:
            return
        crash = self._crash_by_incarnation.get(incarnation)
        if crash is None:
            if len(self._crash_by_incarnation) >= MAX_CRASH_RECORDS:
                return
            crash = self._crash_by_incarnation[incarnation] = _Crash(
                incarnation, now_s, []
            )
        is_same_crash = now_s - crash.first_break_s <= CRASH_WINDOW_S
        if is_same_crash and len(crash.chains) < MAX_SUSPECTS_PER_CRASH:
            crash.chains.append(parts)

    def _count_crash(self, crash: _Crash) -> None:
        known = [
            chain
            for chain in crash.chains
            if not self.quarantined_until_s_by_part.keys().isdisjoint(chain)
        ]
        # Beside a request that is known to crash targets, no other one is suspect.
        chains = known or self._without_sound_parts(crash)
        parts = {part for chain in chains for part in chain}
        for part in parts:
            self._add_crash(part, crash.first_break_s)
        tied = [] if known else self._parts_to_blame(chains)
        crashes = max((len(self._crash_times_s_by_part[p]) for p in tied), default=0)
        is_blamed = len(tied) == 1 or crashes >= MAX_TIED_CRASHES
        get_logger().info(
            "target_crash_counted",
            target=crash.incarnation[0],
            suspects=len(crash.chains),
            parts=",".join(sorted(parts)),
            is_explained=bool(known),
            blamed=tied[0] if is_blamed else "-",
        )
        self._counted_crashes.append(crash)
        if known:
            self._on_explained(crash.incarnation)
        elif is_blamed:
            if len(tied) == 1:
                self._clear_beside(tied[0])
            self.quarantine(tied[0])

    def _add_crash(self, part: str, crash_s: float) -> None:
        times_s = self._crash_times_s_by_part.pop(part, [])
        self._crash_times_s_by_part[part] = [*times_s, crash_s][-MAX_CRASHES_PER_PART:]
        if len(self._crash_times_s_by_part) > MAX_PARTS:
            self._crash_times_s_by_part.popitem(last=False)

    def _parts_to_blame(self, chains: list[tuple[str, ...]]) -> list[str]:
        """Return the parts with the most crashes of the last ones in their chains."""
        enough = {
            part
            for chain in chains
            for part in chain
            if _count_outages(self._crash_times_s_by_part[part]) >= MAX_CRASHES
        }
        before_others = {
            part
            for chain in chains
            for part in [part for part in chain if part in enough][:-1]
        }
        crashes_by_part = {
            part: len(self._crash_times_s_by_part[part])
            for part in enough - before_others
        }
        most = max(crashes_by_part.values(), default=0)
        return sorted(part for part, count in crashes_by_part.items() if count == most)

    def _crashes_with(self, part: str) -> list[_Crash]:
        return [
            crash
            for crash in self._counted_crashes
            if any(part in chain for chain in crash.chains)
        ]

    def _clear_beside(self, blamed: str) -> None:
        """Discount the crashes that `blamed` caused from other requests' parts."""
        for crash in self._crashes_with(blamed):
            causing = [chain for chain in crash.chains if blamed in chain]
            beside = {part for chain in crash.chains for part in chain}
            for part in beside.difference(*causing):
                times_s = self._crash_times_s_by_part.get(part, [])
                if crash.first_break_s in times_s:
                    times_s.remove(crash.first_break_s)

    def _release_parts_beside(self, blamed: str) -> None:
        """Release parts that were blamed only for crashes that `blamed` may explain.

        Parts that stand before or after it in a prompt stay quarantined.
        """
        explained = self._crashes_with(blamed)
        chains = [chain for crash in explained for chain in crash.chains]
        related = {part for chain in chains if blamed in chain for part in chain}
        for part in self.quarantined_until_s_by_part.keys() - related - {blamed}:
            crashes = self._crashes_with(part)
            if crashes and all(crash in explained for crash in crashes):
                self._clear((part,))

    def _without_sound_parts(self, crash: _Crash) -> list[tuple[str, ...]]:
        """Return the chains of a crash without sound parts, and tell peers of these."""
        parts = {part for chain in crash.chains for part in chain}
        sound = {part for part in parts if self._was_sound(part, crash)}
        if sound:
            self._notify_peers(PartEvidence(tuple(sorted(sound)), True))
        return [
            tuple(part for part in chain if part not in sound) for chain in crash.chains
        ]

    def _was_sound(self, part: str, crash: _Crash) -> bool:
        """Return whether a response on the part went well shortly before the crash."""
        return 0 <= crash.first_break_s - self._sound_parts.last(part) < SOUND_S

    def _is_suspected(self, part: str) -> bool:
        return (
            part in self._crash_times_s_by_part
            or part in self.quarantined_until_s_by_part
            or any(
                part in chain
                for crash in self._crash_by_incarnation.values()
                for chain in crash.chains
            )
        )

    def _clear(self, parts: tuple[str, ...]) -> None:
        sound = frozenset(parts)
        for part in sound:
            self._crash_times_s_by_part.pop(part, None)
            if self.quarantined_until_s_by_part.pop(part, None) is not None:
                get_logger().warning("prompt_part_released", part=part)
        for crash in self._crash_by_incarnation.values():
            crash.chains[:] = [
                tuple(part for part in chain if part not in sound)
                for chain in crash.chains
            ]


def _count_outages(crash_times_s: Iterable[float]) -> int:
    """Return the number of crashes that are not part of the outage before them."""
    count, outage_s = 0, -float("inf")
    for crash_s in sorted(crash_times_s):
        if crash_s - outage_s >= OUTAGE_WINDOW_S:
            count, outage_s = count + 1, crash_s
    return count
