"""The permits that are held at one target, at the member that grants them."""

from typing import NamedTuple

# The member that asked, and the number of its question.
PermitId = tuple[str, int]


class _HeldPermit(NamedTuple):
    expires_s: float
    send_number: int


class HeldPermits:
    """Permits whose requests are under way, as far as is known."""

    def __init__(self) -> None:
        self._held_by_permit: dict[PermitId, _HeldPermit] = {}

    def __len__(self) -> int:
        return len(self._held_by_permit)

    def drop_lost(self, permit: PermitId, *, now_s: float, open_requests: int) -> None:
        """Drop permits whose end was lost, before a member gets `permit`.

        `open_requests` is the number of that member's requests when it asked, this one
        included; of any more, the end was lost.
        """
        member, number = permit
        earlier = [
            held
            for held in self._held_by_permit
            if held[0] == member and held[1] < number
        ]
        for lost in earlier[: max(0, len(earlier) - open_requests + 1)]:
            del self._held_by_permit[lost]
        for held, state in list(self._held_by_permit.items()):
            if state.expires_s <= now_s:
                del self._held_by_permit[held]

    def add(self, permit: PermitId, *, expires_s: float, send_number: int = 0) -> None:
        """Add a permit, which is dropped at `expires_s` if its end is lost."""
        self._held_by_permit[permit] = _HeldPermit(expires_s, send_number)

    def send_number(self, permit: PermitId) -> int | None:
        """Return the number that the permit was added with, None if it is not held."""
        held = self._held_by_permit.get(permit)
        return held.send_number if held is not None else None

    def remove(self, permit: PermitId) -> bool:
        """Remove a permit; returns whether it was held."""
        return self._held_by_permit.pop(permit, None) is not None
