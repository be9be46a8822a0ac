"""Evidence against requests that were in flight when a target crashed.

A first crash makes every request in flight a suspect. A suspect runs again only
alone. If its target crashes again, the suspect is quarantined, and the others in
flight there are not blamed; if it gets a whole answer, it is cleared.
"""

from typing import NamedTuple

from jaytray_core.clock import WallClock

# Seconds after its last crash for which a request stays suspect or quarantined.
SUSPICION_S = 600.0
QUARANTINE_S = 1800.0
CRASHES_TO_QUARANTINE = 2
MAX_DIGESTS = 10_000


class Suspect(NamedTuple):
    """Evidence against one request.

    `crash_ids` name the crashes in which it was in flight and no other suspect is
    to blame. `until_s` is when the evidence expires, in seconds since the Unix epoch.
    """

    digest: str
    crash_ids: tuple[str, ...]
    until_s: float

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request is refused everywhere."""
        return len(self.crash_ids) >= CRASHES_TO_QUARANTINE


class CrashReport(NamedTuple):
    """What one VM saw of a crash.

    `blamed` are the requests that it counts against, `exonerated` those that were in
    flight beside a known suspect.
    """

    crash_id: str
    blamed: list[str]
    exonerated: list[str]
    at_s: float


class Evidence:
    """All suspects that this VM knows of; merging reports in any order is safe."""

    def __init__(self, *, wall_clock: WallClock) -> None:
        self._wall_clock = wall_clock
        self._suspects_by_digest: dict[str, Suspect] = {}
        # Crashes that a known suspect explains.
        self._explained_crashes: dict[str, frozenset[str]] = {}

    def find(self, digest: str) -> Suspect | None:
        """Return the evidence against `digest`, or None."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None or suspect.until_s < self._wall_clock():
            self._suspects_by_digest.pop(digest, None)
            return None
        return suspect

    def report_crash(self, crash_id: str, digests: list[str]) -> CrashReport:
        """Return and take in the report of a crash with `digests` in flight."""
        suspects = [d for d in digests if self._has_earlier_crash(d, crash_id)]
        blamed = suspects or digests
        report = CrashReport(
            crash_id=crash_id,
            blamed=blamed,
            exonerated=[d for d in digests if d not in blamed],
            at_s=self._wall_clock(),
        )
        self.apply(report)
        return report

    def apply(self, report: CrashReport) -> None:
        """Take in a report of this VM or of another one."""
        explained_by = self._explained_crashes.get(report.crash_id)
        blamed = [d for d in report.blamed if explained_by is None or d in explained_by]
        if any(self._has_earlier_crash(d, report.crash_id) for d in blamed):
            known = [d for d in blamed if self._has_earlier_crash(d, report.crash_id)]
            self._explain(report.crash_id, frozenset(known))
            blamed = known
        for digest in blamed:
            self._add_crash(digest, report.crash_id, report.at_s)

    def merge(self, suspect: Suspect) -> None:
        """Take in a suspect that was read from the key-value service."""
        if suspect.until_s < self._wall_clock():
            return
        known = self.find(suspect.digest)
        crash_ids = sorted({*suspect.crash_ids, *(known.crash_ids if known else ())})
        until_s = max(suspect.until_s, known.until_s if known else 0.0)
        self._store(Suspect(suspect.digest, tuple(crash_ids), until_s))

    def clear(self, digest: str, crash_ids: tuple[str, ...]) -> None:
        """Drop the evidence of `crash_ids` against `digest`; later crashes stay."""
        suspect = self._suspects_by_digest.pop(digest, None)
        if suspect is None:
            return
        rest = tuple(c for c in suspect.crash_ids if c not in crash_ids)
        if rest:
            self._store(suspect._replace(crash_ids=rest))

    def list_suspects(self) -> list[Suspect]:
        """Return all suspects and quarantined requests by digest."""
        found = [self.find(digest) for digest in sorted(self._suspects_by_digest)]
        return [suspect for suspect in found if suspect is not None]

    def _has_earlier_crash(self, digest: str, crash_id: str) -> bool:
        suspect = self.find(digest)
        return suspect is not None and any(c != crash_id for c in suspect.crash_ids)

    def _add_crash(self, digest: str, crash_id: str, at_s: float) -> None:
        known = self.find(digest)
        crash_ids = {*(known.crash_ids if known else ()), crash_id}
        is_quarantined = len(crash_ids) >= CRASHES_TO_QUARANTINE
        until_s = at_s + (QUARANTINE_S if is_quarantined else SUSPICION_S)
        self._store(Suspect(digest, tuple(sorted(crash_ids)), until_s))

    def _explain(self, crash_id: str, digests: frozenset[str]) -> None:
        """Take the crash off all but `digests`."""
        self._explained_crashes[crash_id] = digests
        if len(self._explained_crashes) > MAX_DIGESTS:
            del self._explained_crashes[next(iter(self._explained_crashes))]
        for suspect in list(self._suspects_by_digest.values()):
            if suspect.digest in digests or crash_id not in suspect.crash_ids:
                continue
            rest = tuple(c for c in suspect.crash_ids if c != crash_id)
            if rest:
                self._store(suspect._replace(crash_ids=rest))
            else:
                del self._suspects_by_digest[suspect.digest]

    def _store(self, suspect: Suspect) -> None:
        self._suspects_by_digest.pop(suspect.digest, None)
        self._suspects_by_digest[suspect.digest] = suspect
        if len(self._suspects_by_digest) > MAX_DIGESTS:
            del self._suspects_by_digest[next(iter(self._suspects_by_digest))]
