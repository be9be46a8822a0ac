"""Token bucket of one client account on this VM, exact about returned tokens.

The bucket promises, for every window, that tokens charged and not returned are at
most the capacity at the window's start plus the rate over the window, where a
charge counts at the time of its admission. Capacity and rate may change; the sums
over all VMs are kept by the share table and the grants.

A return must not lift the level above what it would be, had only the used tokens
been charged. So each open charge has a headroom: by how much a bucket that was full
right after the charge would now be above this one. A return adds at most that.
"""

# Slack for rounding when a level is compared with a charge, in tokens.
ROUNDING_TOKENS = 1e-6


class TokenBucket:
    """Level, capacity and rate of one account; all times in seconds.

    The level starts empty and may be below zero after the capacity was lowered
    below the amounts that are lent out.
    """

    def __init__(self, *, now: float) -> None:
        self.capacity = 0.0
        self.rate = 0.0
        self.level = 0.0
        self._updated_at = now
        # By charge id, oldest first; values never fall from older to newer.
        self._headroom_by_charge: dict[int, float] = {}

    def advance(self, now: float) -> None:
        """Refill up to `now`."""
        elapsed = now - self._updated_at
        if elapsed > 0:
            self._updated_at = now
            self.level += elapsed * self.rate
        self._clamp()

    def set_limits(self, *, capacity: float, rate: float, now: float) -> None:
        """Refill up to `now`, then change capacity and rate; the level never rises."""
        self.advance(now)
        self.capacity = capacity
        self.rate = rate
        self._clamp()

    def can_take(self, tokens: float) -> bool:
        """Return whether the level covers `tokens`."""
        return self.level + ROUNDING_TOKENS >= tokens

    def charge(self, charge_id: int, tokens: float) -> None:
        """Take `tokens` for an admitted request; `give_back` closes it."""
        self.level -= tokens
        self._headroom_by_charge[charge_id] = self.capacity - self.level

    def give_back(self, charge_id: int, unused: float) -> float:
        """Close a charge and return what it did not use; a second call does nothing.

        Returns the tokens that the level rose by.
        """
        headroom = self._headroom_by_charge.get(charge_id)
        if headroom is None:
            return 0.0
        returned = min(unused, headroom)
        self.level += returned
        self._lower_headrooms(charge_id, headroom - returned, returned)
        del self._headroom_by_charge[charge_id]
        return returned

    def withdraw(self, tokens: float) -> None:
        """Remove `tokens` from the level for good."""
        self.level -= tokens

    def deposit(self, tokens: float) -> None:
        """Add `tokens` that came with an equal rise of the capacity."""
        self.level += tokens
        self._clamp()

    def seconds_until(self, tokens: float) -> float | None:
        """Return the refill time until the level covers `tokens`; None if never."""
        missing = tokens - self.level
        if missing <= ROUNDING_TOKENS:
            return 0.0
        if tokens > self.capacity + ROUNDING_TOKENS or self.rate <= 0:
            return None
        return missing / self.rate

    def has_open_charges(self) -> bool:
        """Return whether any admitted request is not settled yet."""
        return bool(self._headroom_by_charge)

    def _clamp(self) -> None:
        self.level = min(self.level, self.capacity)
        room = self.capacity - self.level
        for charge_id in reversed(self._headroom_by_charge):
            if self._headroom_by_charge[charge_id] <= room:
                break
            self._headroom_by_charge[charge_id] = room

    def _lower_headrooms(
        self, charge_id: int, remaining: float, returned: float
    ) -> None:
        is_newer = False
        for other, headroom in self._headroom_by_charge.items():
            if other == charge_id:
                is_newer = True
            elif is_newer:
                self._headroom_by_charge[other] = headroom - returned
            else:
                self._headroom_by_charge[other] = min(headroom, remaining)
