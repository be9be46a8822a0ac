"""An event loop whose time jumps to the next timer instead of waiting for it.

Tests with many timeouts run at once and in the same order each time. Only for code
that opens no sockets.
"""

import asyncio
import random
import selectors
import time
import uuid
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

T = TypeVar("T")
# Seconds since the Unix epoch at which virtual time starts.
EPOCH_S = 1_700_000_000.0


class _JumpingSelector(selectors.SelectSelector):
    """Polls without waiting and adds the wait to the virtual time."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """The event loop on virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _JumpingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


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
