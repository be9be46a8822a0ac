"""Runs tests on virtual time with seeded random numbers; clocks of such runs.

Tests with many timeouts finish without waiting, in the same order each time. Only
for code that opens no sockets.
"""

import asyncio
import random
import time
import uuid
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

from jaytray_standins.virtual_loop import VirtualLoop

T = TypeVar("T")
# Seconds since the Unix epoch at which virtual time starts.
EPOCH_S = 1_700_000_000.0


def loop_clock() -> float:
    """Return the time of the running loop, real or virtual, in seconds."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return time.monotonic()


def loop_wall_clock() -> float:
    """Return seconds since the Unix epoch on the running loop's time."""
    return EPOCH_S + loop_clock()


def run_virtual(main: Coroutine[Any, Any, T], *, seed: int = 0) -> T:
    """Run `main` on virtual time with seeded random numbers and ids."""
    rng = random.Random(seed)

    def seeded_uuid() -> uuid.UUID:
        return uuid.UUID(int=rng.getrandbits(128), version=4)

    random.seed(seed)
    with (
        mock.patch("uuid.uuid4", seeded_uuid),
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
    ):
        return runner.run(main)
