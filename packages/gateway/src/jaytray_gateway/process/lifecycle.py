"""Lifecycle state of the process, read by requests and the load balancer's probe."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf


class Lifecycle:
    """State of a planned stop; `is_stopping` is never reset.

    Requests that still run at `ends_at_s` are ended. Once `refuses_late` is true, no
    request is taken that may not be done by then. `is_refusing` refuses all, also
    waiting ones that have not been sent to a target.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self.ends_at_s = inf
        self.refuses_late = False
        self.is_refusing = False
        self.running_requests = 0
        self._end_by_number: dict[int, Callable[[], None]] = {}
        self._next_number = 0

    def begin_stop(self, *, ends_at_s: float) -> None:
        """Begin a planned stop."""
        self.is_stopping = True
        self.ends_at_s = ends_at_s

    @contextmanager
    def ended_by(self, end: Callable[[], None]) -> Iterator[None]:
        """Call `end` if the process stops while the context is open."""
        self._next_number += 1
        number = self._next_number
        self._end_by_number[number] = end
        try:
            yield
        finally:
            del self._end_by_number[number]

    def end_requests(self) -> None:
        """Have the requests that still run respond now."""
        self.is_refusing = True
        for end in list(self._end_by_number.values()):
            end()
