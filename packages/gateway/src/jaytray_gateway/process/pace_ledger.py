"""The permitted requests at a recovering target, at the member that grants permits."""

from jaytray_gateway.process.held_permits import HeldPermits, PermitId
from jaytray_gateway.process.recovery_pace import RecoveryPace

# A permit whose end was lost is forgotten after this time. Ends of a member that goes
# on asking are noticed earlier.
MAX_HOLD_S = 30.0


class PaceLedger:
    """The window of one start of a target, and what is in flight within it.

    `running` is the number of requests that the target ran already when this member
    began to grant permits, by the members' reports.
    """

    def __init__(self, *, slots: int, running: int = 0) -> None:
        self.pace = RecoveryPace(slots=slots, running=running)
        # Reports are seconds old. They count only if requests are under way that this
        # member has not permitted.
        self._counts_reports = running >= self.pace.window
        self._held = HeldPermits()

    def reserve(
        self, permit: PermitId, *, now_s: float, open_requests: int, running: int
    ) -> bool:
        """Return whether one more request may be sent.

        `open_requests` is the number of the asking member's requests, this one
        included; of any more, the end was lost. `running` is the number under way by
        the members' reports.
        """
        self._held.drop_lost(permit, now_s=now_s, open_requests=open_requests)
        in_flight = len(self._held)
        if self._counts_reports:
            in_flight = max(in_flight, running)
        if not self.pace.allows(in_flight):
            return False
        self._held.add(
            permit, expires_s=now_s + MAX_HOLD_S, send_number=self.pace.send()
        )
        return True

    def record_answer(self, permit: PermitId, *, is_good: bool) -> None:
        """Record the first answer to a permitted request."""
        number = self._held.send_number(permit)
        if number is not None:
            self.pace.record_answer(number, is_good=is_good)

    def end(self, permit: PermitId) -> None:
        """Record that a permitted request is over."""
        self._held.remove(permit)
