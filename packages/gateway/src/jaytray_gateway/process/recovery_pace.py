"""How many requests a target may run at once after it has started or recovered.

A state machine for one start of a target. It follows how the target answers, not a
clock: a window of requests that may be in flight grows with each good answer and is
halved at the first sign of trouble.
"""

# First window, as a fraction of the target's slots.
INITIAL_FRACTION = 1 / 8


class RecoveryPace:
    """The window of a target; has ended once the window reaches the slots.

    Requests are numbered in the order in which they are sent. `running` is the number
    of requests that the target is known to run well already.
    """

    def __init__(self, *, slots: int, running: int = 0) -> None:
        self._slots = float(max(1, slots))
        self.window = min(self._slots, max(1.0, slots * INITIAL_FRACTION, running))
        self.is_ended = self.window >= self._slots
        self._sent = 0
        # Answers to requests sent before the last halving say nothing of the window
        # that it left.
        self._first_counted = 1

    def allows(self, in_flight: int) -> bool:
        """Return whether one more request may be sent."""
        return self.is_ended or in_flight + 1 <= self.window

    def send(self) -> int:
        """Return the number of a request that is sent now."""
        self._sent += 1
        return self._sent

    def record_answer(self, number: int, *, is_good: bool) -> None:
        """Record the first answer to a request.

        With one more request for each good answer, the window has doubled once a whole
        window was answered.
        """
        if self.is_ended or number < self._first_counted:
            return
        if is_good:
            self.window = min(self._slots, self.window + 1)
            self.is_ended = self.window >= self._slots
        else:
            self.window = max(1.0, self.window / 2)
            self._first_counted = self._sent + 1
