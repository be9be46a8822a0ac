"""Requests that this VM has in flight at each target."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class InFlightRequests:
    """Counts of digests in flight by target."""

    def __init__(self) -> None:
        self._digests_by_target: dict[str, Counter[str]] = {}

    @contextmanager
    def track(self, target: str, digest: str) -> Iterator[None]:
        """Count `digest` as in flight at `target` during the block."""
        digests = self._digests_by_target.setdefault(target, Counter())
        digests[digest] += 1
        try:
            yield
        finally:
            digests[digest] -= 1
            if not digests[digest]:
                del digests[digest]
            if not digests:
                self._digests_by_target.pop(target, None)

    def digests_at(self, target: str) -> list[str]:
        """Return the digests in flight at `target`."""
        return sorted(self._digests_by_target.get(target, ()))
