"""Time sources, passed as callables so that tests can use a virtual clock."""

import time
from collections.abc import Callable

# Returns seconds on a monotonic clock of this process.
MonotonicClock = Callable[[], float]
# Returns seconds since the Unix epoch.
WallClock = Callable[[], float]

monotonic_clock: MonotonicClock = time.monotonic
wall_clock: WallClock = time.time
