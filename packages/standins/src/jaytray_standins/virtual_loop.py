"""An event loop whose time jumps to the next timer instead of waiting for it.

Code under test uses `asyncio.sleep` and `asyncio.timeout` unchanged, without waiting in
real time. `asyncio.get_running_loop().time` is the virtual clock.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _TimeSkippingSelector(selectors.SelectSelector):
    """Polls files without blocking, and advances the time if none is ready."""

    def __init__(self, *, skip: Callable[[float], None]) -> None:
        super().__init__()
        self._skip = skip

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    "deadlock: every task waits and no timer is scheduled"
                )
            self._skip(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, which starts at 0."""

    def __init__(self) -> None:
        self._virtual_s = 0.0
        super().__init__(_TimeSkippingSelector(skip=self._skip))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s

    def _skip(self, seconds: float) -> None:
        self._virtual_s += seconds


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
