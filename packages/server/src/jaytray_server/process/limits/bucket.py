"""Token bucket of one client account on this VM, with exact refunds.

The bucket guarantees that over every time window the tokens charged and not refunded
are at most the capacity at the start of the window plus the rate times the window. A
charge counts at the time of its admission. Capacity and rate may change; the share
table and the loans keep their sums over all VMs constant.

A refund must not raise the level above what it would be if only the used tokens had
been charged. Each open charge therefore has a headroom: how far the level of a bucket
that was full right after the charge would now be above the level of this one. A
refund adds at most the headroom.
"""

# Tolerance for rounding errors when the level is compared with a charge, in tokens.
ROUNDING_TOKENS = 1e-6


class TokenBucket:
    """Level, capacity and rate of one account; all times in seconds.

    The level starts at zero. It is negative when the capacity was lowered below the
    amounts that are lent out.
    """

    def __init__(self, *, now: float) -> None:
        self.capacity = 0.0
        self.rate = 0.0
        self.level = 0.0
        self._updated_at = now
        # In order of the charges, oldest first; the values are non-decreasing.
        self._headroom_by_charge: dict[int, float] = {}

    def advance(self, now: float) -> None:
        """Refill up to `now`."""
        elapsed = now - self._updated_at
        if elapsed > 0:
            self._updated_at = now
            self.level += elapsed * self.rate
        self._clamp()

    def set_limits(self, *, capacity: float, rate: float, now: float) -> None:
        """Refill up to `now`, then set capacity and rate without raising the level."""
        self.advance(now)
        self.capacity = capacity
        self.rate = rate
        self._clamp()

    def can_take(self, tokens: float) -> bool:
        """Return whether the level covers `tokens`."""
        return self.level + ROUNDING_TOKENS >= tokens

    def charge(self, charge_id: int, tokens: float) -> None:
        """Charge `tokens` for an admitted request; `give_back` closes the charge."""
        self.level -= tokens
        self._headroom_by_charge[charge_id] = self.capacity - self.level

    def give_back(self, charge_id: int, unused: float) -> float:
        """Close a charge and refund its unused tokens; a second call has no effect.

        Returns the number of tokens by which the level rose.
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
        """Remove `tokens` from the level without opening a charge."""
        self.level -= tokens

    def deposit(self, tokens: float) -> None:
        """Add `tokens` whose capacity was added before."""
        self.level += tokens
        self._clamp()

    def seconds_until(self, tokens: float) -> float | None:
        """Return the time until refill alone covers `tokens`; None if it never does."""
        missing = tokens - self.level
        if missing <= ROUNDING_TOKENS:
            return 0.0
        if tokens > self.capacity + ROUNDING_TOKENS or self.rate <= 0:
            return None
        return missing / self.rate

    def has_open_charges(self) -> bool:
        """Return whether any charge is still open."""
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
