"""Tracks how far the attempts of one request got.

Whether a refused request may have run is derived here from its attempts, never
decided where an error is raised.
"""

import enum
from collections.abc import Callable

from jaytray_core.errors import Execution, JaytrayError


class _Progress(enum.Enum):
    UNSENT = enum.auto()
    MAY_HAVE_BEEN_SENT = enum.auto()


class DispatchTracker:
    """Attempts of one request: their targets and whether they may have run."""

    def __init__(self) -> None:
        self.attempts = 0
        # Attempts after which the request may have had an effect.
        self.attempts_sent = 0
        self.failed_targets: list[str] = []
        # Called before each attempt; raises if the request must not be sent any more.
        self.before_send: Callable[[], None] = lambda: None
        self._progress = _Progress.UNSENT
        self._may_have_run = False

    @property
    def execution(self) -> Execution:
        """Return whether any attempt so far may have had an effect."""
        if self._may_have_run or self._progress is _Progress.MAY_HAVE_BEEN_SENT:
            return Execution.MAY_HAVE_RUN
        return Execution.NOT_RUN

    def begin(self) -> None:
        """Record that bytes of a new attempt may be sent from now on."""
        self.before_send()
        self.attempts += 1
        self._progress = _Progress.MAY_HAVE_BEEN_SENT

    def fail(self, target: str, error: JaytrayError) -> None:
        """Record the failure of the attempt at `target`.

        A target connection raises `not_run` only if no byte was sent or the target
        reported that it did not run the request.
        """
        self.failed_targets.append(target)
        if error.execution is Execution.MAY_HAVE_RUN:
            self._may_have_run = True
            self.attempts_sent += 1
        self._progress = _Progress.UNSENT

    def apply_to(self, error: JaytrayError) -> JaytrayError:
        """Set the execution of `error` to that of the whole request."""
        error.execution = self.execution
        return error
