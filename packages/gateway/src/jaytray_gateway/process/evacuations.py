"""Failure domains that the operator evacuates, and when requests to them must stop.

The operator's write is acknowledged at a time that members don't know. It cannot have
been before the time as of which the directory's copy was last known to be current
without the evacuation, so a member counts the bound from there. Until its end, targets
in the failure domain are used where the others are clearly busier, so that the load
moves without a surge.
"""

from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger

# Fraction of the bound after which no request is sent any more; the rest covers the
# time from the last check to the arrival at the target.
EVACUATION_FRACTION = 0.85
# Cost in milliseconds, in the choice of a target, of one that is about to be evacuated:
# the delay of some four queued requests elsewhere.
EVACUATION_COST_MS = 250.0

# Time for which a request that the key-value service has lost holds, as the operator
# writes it again.
LOST_REQUEST_S = 10.0

# Called with the failure domain.
OnEvacuationEnded = Callable[[str], None]


class _Evacuation(NamedTuple):
    """`restores` is the service's number of restores when the request was last seen."""

    in_force_at_s: float
    restores: int
    is_logged: bool = False
    # When it ends because its request was lost, None if it was not.
    ends_at_s: float | None = None


class Evacuations:
    """The requested evacuations; has no effect if `evacuation_s` is None.

    `evacuation_s` is the time after the acknowledgement from which no request may reach
    the targets. `known_domains` may be empty if the failure domains are not known.
    """

    def __init__(
        self,
        *,
        clock: MonotonicClock,
        evacuation_s: float | None = None,
        known_domains: frozenset[str] = frozenset(),
    ) -> None:
        self._clock = clock
        self._evacuation_s = evacuation_s
        self._known_domains = known_domains
        self._evacuation_by_domain: dict[str, _Evacuation] = {}
        self._listeners: list[OnEvacuationEnded] = []

    def on_ended(self, listener: OnEvacuationEnded) -> None:
        """Call `listener` after each end of an evacuation."""
        self._listeners.append(listener)

    def apply(
        self,
        failure_domain: str,
        *,
        is_requested: bool,
        absent_as_of_s: float,
        is_lost: bool = False,
        restores: int = 0,
    ) -> None:
        """Apply the presence of the operator's request.

        Up to `absent_as_of_s`, a request that is new was not in the store. With
        `is_lost`, it is absent because the service has returned from an older copy,
        which it has done `restores` times.
        """
        if self._evacuation_s is None:
            return
        known = self._evacuation_by_domain.get(failure_domain)
        if is_requested and known is None:
            now_s = self._clock()
            left_s = self._evacuation_s * EVACUATION_FRACTION
            in_force_at_s = min(now_s + left_s, absent_as_of_s + left_s)
            self._evacuation_by_domain[failure_domain] = _Evacuation(
                in_force_at_s, restores
            )
            get_logger().warning(
                "evacuation_seen",
                failure_domain=failure_domain,
                is_known_domain=(
                    not self._known_domains or failure_domain in self._known_domains
                ),
                in_force_in_s=round(max(0.0, in_force_at_s - now_s), 2),
            )
            self.update()
        elif known is not None and is_requested:
            self._evacuation_by_domain[failure_domain] = known._replace(
                ends_at_s=None, restores=restores
            )
        elif known is not None and is_lost:
            ends_at_s = self._clock() + LOST_REQUEST_S
            self._evacuation_by_domain[failure_domain] = known._replace(
                ends_at_s=ends_at_s
            )
        elif known is not None:
            self._end(failure_domain)

    def was_seen_since(self, failure_domain: str, restores: int) -> bool:
        """Return whether the request was seen after the service's last restore."""
        evacuation = self._evacuation_by_domain.get(failure_domain)
        return evacuation is not None and evacuation.restores == restores

    def is_requested(self, failure_domain: str) -> bool:
        """Return whether the failure domain is evacuated now or soon."""
        return failure_domain in self._evacuation_by_domain

    def is_in_force(self, failure_domain: str) -> bool:
        """Return whether no request may be sent to the failure domain."""
        evacuation = self._evacuation_by_domain.get(failure_domain)
        return evacuation is not None and self._clock() >= evacuation.in_force_at_s

    def cost_ms(self, failure_domain: str) -> float:
        """Return the cost of a target in the failure domain, for the choice of one."""
        return EVACUATION_COST_MS if self.is_requested(failure_domain) else 0.0

    def count(self) -> int:
        """Return the number of failure domains that are evacuated now or soon."""
        return len(self._evacuation_by_domain)

    def update(self) -> None:
        """End evacuations whose request was lost; log those in force, once each."""
        for failure_domain, evacuation in list(self._evacuation_by_domain.items()):
            ends_at_s = evacuation.ends_at_s
            if ends_at_s is not None and self._clock() >= ends_at_s:
                self._end(failure_domain)
            elif not evacuation.is_logged and self.is_in_force(failure_domain):
                self._evacuation_by_domain[failure_domain] = evacuation._replace(
                    is_logged=True
                )
                get_logger().warning(
                    "evacuation_in_force", failure_domain=failure_domain
                )

    def _end(self, failure_domain: str) -> None:
        del self._evacuation_by_domain[failure_domain]
        get_logger().warning("evacuation_ended", failure_domain=failure_domain)
        for listener in self._listeners:
            listener(failure_domain)
