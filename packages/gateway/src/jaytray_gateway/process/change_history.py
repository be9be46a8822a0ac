"""The last known change of each key, and which changes another copy may be told of.

A watch reports removals. A read only shows which keys exist, so it does not show that a
key was created and removed since the last watch. Another copy that has seen the key in
between cannot be updated from this one.
"""

from typing import NamedTuple

from jaytray_core.keyvalue import ABSENT_REVISION, KeyValueRecord, PrefixRead


class KeyState(NamedTuple):
    """Last known state of a key; `value` is empty once the key was removed."""

    value: bytes
    revision: int


class ChangeHistory:
    """Last changes by key, and the revisions that only reads cover."""

    def __init__(self) -> None:
        self.state_by_key: dict[str, KeyState] = {}
        # Keys whose change only a read has shown, with the read's revision. The change
        # may be recorded with a lower revision than it has, or come after copies were
        # updated past it.
        self._read_revision_by_repaired_key: dict[str, int] = {}
        # The last step by a read, and the end of the one before.
        self._step_begin = ABSENT_REVISION
        self._step_end = ABSENT_REVISION
        self._previous_step_end = ABSENT_REVISION

    def is_newer(self, key: str, revision: int) -> bool:
        """Return whether `revision` is above that of the last known state of a key."""
        state = self.state_by_key.get(key)
        return state is None or revision > state.revision

    def newest_revision(self) -> int:
        """Return the revision of the newest record."""
        states = self.state_by_key.values()
        return max((state.revision for state in states), default=ABSENT_REVISION)

    def record_read(
        self, read: PrefixRead, known_revision: int
    ) -> list[KeyValueRecord]:
        """Record a read by a copy that knew all changes up to `known_revision`.

        Returns the removals of the keys that the read did not find.
        """
        found = {record.key for record in read.records}
        # Watch responses may have arrived during the read. What they say of a key that
        # is missing is outdated, unless it was written after the read.
        removed = [
            # A key that was written at the read's revision was removed later.
            KeyValueRecord(key, b"", max(read.revision, state.revision + 1))
            for key, state in self.state_by_key.items()
            if key not in found and state.value and state.revision <= read.revision
        ]
        missed = [
            record
            for record in read.records
            if record.revision <= known_revision
            and self.is_newer(record.key, record.revision)
        ]
        if read.revision > known_revision:
            self._previous_step_end = self._step_end
            self._step_begin, self._step_end = known_revision, read.revision
        self._read_revision_by_repaired_key = {
            key: revision
            for key, revision in self._read_revision_by_repaired_key.items()
            if revision >= self._previous_step_end
        } | {record.key: read.revision for record in (*missed, *removed)}
        return removed

    def changes_after(
        self, revision: int, newest_revision: int, *, known_revision: int
    ) -> list[KeyValueRecord] | None:
        """Return the last change of each key that a copy at `revision` lacks.

        `newest_revision` is that of the copy's newest record, which may be higher, and
        all changes up to `known_revision` are known here. Returns None if some of the
        changes are not known.
        """
        if not self._covers(revision, newest_revision):
            return None
        # A copy that is ahead may know that the key has been removed since.
        repaired = (
            self._read_revision_by_repaired_key if revision <= known_revision else {}
        )
        return [
            KeyValueRecord(key, *state)
            for key, state in self.state_by_key.items()
            if state.revision > revision or key in repaired
        ]

    def _covers(self, revision: int, newest_revision: int) -> bool:
        """Return whether every removal is known that a copy may lack."""
        if revision >= self._step_end:
            return self._step_end > ABSENT_REVISION
        # A read of several calls takes a key for removed that was written at the read's
        # revision and removed between the calls. Its removal has no revision here.
        is_before_step = newest_revision <= self._step_begin
        return is_before_step and revision > self._previous_step_end
