"""Crash evidence about requests that were in flight when a target crashed.

After a first crash, every request that was in flight at the target is a suspect. A
suspect may run again only under an exclusive lock. If its target crashes again, the
suspect is quarantined and the other requests in flight there are not blamed. If it
gets a complete response, it is cleared.
"""

from typing import NamedTuple

from jaytray_core.clock import WallClock

# Seconds after its last crash for which a request stays suspected or quarantined.
SUSPICION_S = 600.0
QUARANTINE_S = 1800.0
CRASHES_TO_QUARANTINE = 2
MAX_DIGESTS = 10_000


class Suspect(NamedTuple):
    """Evidence about one request.

    `crash_ids` are the crashes during which it was in flight and which are not
    attributed to another suspect. `until_s` is the Unix time in seconds when the
    evidence expires.
    """

    digest: str
    crash_ids: tuple[str, ...]
    until_s: float

    @property
    def is_quarantined(self) -> bool:
        """Return whether all VMs refuse the request."""
        return len(self.crash_ids) >= CRASHES_TO_QUARANTINE


class CrashReport(NamedTuple):
    """One VM's report of a crash.

    `blamed` are the requests to which the crash is attributed; `exonerated` are those
    that were in flight together with a known suspect.
    """

    crash_id: str
    blamed: list[str]
    exonerated: list[str]
    at_s: float


class Evidence:
    """All suspects known to this VM; reports may be merged in any order."""

    def __init__(self, *, wall_clock: WallClock) -> None:
        self._wall_clock = wall_clock
        self._suspects_by_digest: dict[str, Suspect] = {}
        # Digests of the suspects to which a crash is attributed, by crash id.
        self._suspects_by_attributed_crash: dict[str, frozenset[str]] = {}

    def find(self, digest: str) -> Suspect | None:
        """Return the evidence about `digest`, or None."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None or suspect.until_s < self._wall_clock():
            self._suspects_by_digest.pop(digest, None)
            return None
        return suspect

    def report_crash(self, crash_id: str, digests: list[str]) -> CrashReport:
        """Create and apply the report of a crash with `digests` in flight."""
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
        """Apply a report of this VM or of another one."""
        attributed_to = self._suspects_by_attributed_crash.get(report.crash_id)
        blamed = [
            d for d in report.blamed if attributed_to is None or d in attributed_to
        ]
        if any(self._has_earlier_crash(d, report.crash_id) for d in blamed):
            known = [d for d in blamed if self._has_earlier_crash(d, report.crash_id)]
            self._attribute_crash(report.crash_id, frozenset(known))
            blamed = known
        for digest in blamed:
            self._add_crash(digest, report.crash_id, report.at_s)

    def merge(self, suspect: Suspect) -> None:
        """Merge a suspect that was read from the key-value service."""
        if suspect.until_s < self._wall_clock():
            return
        known = self.find(suspect.digest)
        crash_ids = sorted({*suspect.crash_ids, *(known.crash_ids if known else ())})
        until_s = max(suspect.until_s, known.until_s if known else 0.0)
        self._store(Suspect(suspect.digest, tuple(crash_ids), until_s))

    def clear(self, digest: str, crash_ids: tuple[str, ...]) -> None:
        """Drop `crash_ids` from the evidence about `digest`; other crashes are kept."""
        suspect = self._suspects_by_digest.pop(digest, None)
        if suspect is None:
            return
        rest = tuple(c for c in suspect.crash_ids if c not in crash_ids)
        if rest:
            self._store(suspect._replace(crash_ids=rest))

    def list_suspects(self) -> list[Suspect]:
        """Return all suspected and quarantined requests, sorted by digest."""
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

    def _attribute_crash(self, crash_id: str, digests: frozenset[str]) -> None:
        """Attribute the crash to `digests` and remove it from all other suspects."""
        self._suspects_by_attributed_crash[crash_id] = digests
        if len(self._suspects_by_attributed_crash) > MAX_DIGESTS:
            del self._suspects_by_attributed_crash[
                next(iter(self._suspects_by_attributed_crash))
            ]
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
