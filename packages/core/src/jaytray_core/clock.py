"""Time sources, passed as callables so that tests can use a virtual clock."""

import time
from collections.abc import Callable

# Returns seconds on a monotonic clock of this process.
MonotonicClock = Callable[[], float]
# Returns seconds since the Unix epoch.
WallClock = Callable[[], float]


def monotonic_clock() -> float:
    """Return seconds on a clock that advances while the VM is suspended.

    Leases and shares expire by it: after a suspension a VM must see that they have
    expired, but on Linux `time.monotonic` does not advance during one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


wall_clock: WallClock = time.time
