"""Time sources, passed as callables so that tests can use a virtual clock."""

import time
from collections.abc import Callable

# Returns seconds on a monotonic clock of this process.
MonotonicClock = Callable[[], float]
# Returns seconds since the Unix epoch.
WallClock = Callable[[], float]


def monotonic_clock() -> float:
    """Return seconds on a clock that goes on while the VM is suspended.

    Leases and shares are judged by it: a VM that was suspended must find on waking
    that its time has passed, which `time.monotonic` does not show on Linux.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


wall_clock: WallClock = time.time
