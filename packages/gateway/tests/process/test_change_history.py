"""Tests of copies of the store that are updated from each other."""

import random
from collections.abc import Callable

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.keyvalue import KeyValueRecord, PrefixRead, WatchBatch
from jaytray_gateway.process.change_history import ChangeHistory, KeyState
from jaytray_gateway.process.directory import Directory
from jaytray_standins.faults import FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore
from packages.gateway.tests.process.test_directory import ADAPTER

KEYS = [f"own/{name}" for name in "abcd"]
SEEDS = 400
Changes = list[KeyValueRecord] | None
# (hub's copy, revision of the other copy, revision of its newest record) -> changes.
ChangesAfter = Callable[[Directory, int, int], Changes]


class Store:
    """A store whose keys are written and removed at random."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.events = [KeyValueRecord(KEYS[0], b"0", 1)]

    def change(self) -> None:
        key, number = self.rng.choice(KEYS), len(self.events) + 1
        is_removed = self.value(key, number) and self.rng.random() < 0.6
        value = b"" if is_removed else b"%d" % number
        self.events.append(KeyValueRecord(key, value, number))

    def value(self, key: str, revision: int) -> bytes:
        for event in reversed(self.events[:revision]):
            if event.key == key:
                return event.value
        return b""

    def read(self) -> PrefixRead:
        """Read all keys in two calls, with changes in between."""
        revision = len(self.events)
        first = {e.key: e for e in self.events if e.key < KEYS[2]}
        while self.rng.random() < 0.5:
            self.change()
        second = {e.key: e for e in self.events if e.key >= KEYS[2]}
        found = [e for e in (first | second).values() if e.value]
        return PrefixRead(found, revision)

    def watch(self, after: int) -> WatchBatch:
        return WatchBatch(self.events[after:], len(self.events))


def lacks_changes(seed: int, find: ChangesAfter) -> bool:
    """Return whether a copy that follows another one ever lacks a change."""
    rng = random.Random(seed)
    store = Store(rng)
    service = in_process_key_value(KeyValueStore(clock=lambda: 0.0), FaultSwitches())
    hub, member = (
        Directory(key_value=service, adapter=ADAPTER, clock=lambda: 0.0)
        for _ in range(2)
    )
    for copy in (hub, member):
        copy.apply_read(store.read(), 0.0)
    for _ in range(60):
        for _ in range(rng.randrange(4)):
            store.change()
        copy = rng.choice((hub, hub, member))
        if rng.random() < 0.4:
            copy.apply_read(store.read(), 0.0)
        elif rng.random() < 0.5:
            copy.apply_batch(store.watch(copy.revision), 0.0)
        else:
            newest = member.history.newest_revision()
            changes = find(hub, member.revision, newest)
            if changes is not None:
                member.apply_batch(WatchBatch(changes, hub.revision), 0.0)
        for key in KEYS:
            allowed = {store.value(key, member.revision)}
            later = store.events[member.revision :]
            allowed |= {event.value for event in later if event.key == key}
            if member.records_by_key.get(key, b"") not in allowed:
                return True
    return False


def changes_after(hub: Directory, revision: int, newest: int) -> Changes:
    return hub.history.changes_after(revision, newest, known_revision=hub.revision)


def without_steps(hub: Directory, revision: int, _newest: int) -> Changes:
    """Pass on changes after a read as if it were a watch."""
    states = hub.history.state_by_key.items()
    records = [KeyValueRecord(key, *state) for key, state in states]
    return [record for record in records if record.revision > revision]


def without_order(hub: Directory, revision: int, newest: int) -> Changes:
    """Pass on repaired changes to copies that are ahead, too."""
    return hub.history.changes_after(revision, newest, known_revision=revision)


def without_removals(hub: Directory, revision: int, newest: int) -> Changes:
    changes = changes_after(hub, revision, newest)
    return changes and [record for record in changes if record.value]


class ChangeHistoryTests(TestCase):
    def test_copy_that_follows_another_one_has_every_change(self) -> None:
        # Guards against removals and changes that one of the copies never learns of.
        lacking = [seed for seed in range(SEEDS) if lacks_changes(seed, changes_after)]
        self.assertEqual([], lacking)

    @parameterized.expand(
        [
            (without_steps,),
            (without_order,),
            (without_removals,),
        ]
    )
    def test_check_finds_a_broken_variant(self, variant: ChangesAfter) -> None:
        # Guards against a check that would pass whatever the copies contain.
        self.assertTrue(any(lacks_changes(seed, variant) for seed in range(SEEDS)))

    def test_copy_that_is_ahead_is_not_updated_across_a_read(self) -> None:
        # Guards against a key that is kept after a read of several calls, as a removal
        # of a key that is not known here has no record.
        history = ChangeHistory()
        history.record_read(PrefixRead([], 4), 0)
        history.record_read(PrefixRead([], 9), 5)
        for revision, newest, is_covered in [
            (4, 4, False),
            (5, 5, True),
            (5, 6, False),
            (6, 6, False),
            (9, 9, True),
        ]:
            changes = history.changes_after(revision, newest, known_revision=9)
            self.assertEqual(is_covered, changes is not None)

    def test_change_that_watches_missed_is_passed_on(self) -> None:
        # Guards against a change that a hub has only after its members are past it.
        history = ChangeHistory()
        history.record_read(PrefixRead([], 5), 0)
        record = KeyValueRecord(KEYS[0], b"1", 4)
        history.record_read(PrefixRead([record], 5), 5)
        history.state_by_key[record.key] = KeyState(record.value, record.revision)
        changes = history.changes_after(5, 5, known_revision=5)
        self.assertEqual([record], changes)
