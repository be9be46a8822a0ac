"""Flow control for bodies whose bytes the protocol itself holds back."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.flow_control import FlowControl


class PacedFlow(FlowControl):
    """Flow control that calls back when the application wants more of a body."""

    def __init__(
        self, transport: asyncio.Transport, on_wanted: Callable[[], None]
    ) -> None:
        super().__init__(transport)
        self._on_wanted = on_wanted

    def pause_reading(self) -> None:
        """Give the application no more; the protocol decides what is received."""
        self.read_paused = True

    def resume_reading(self) -> None:
        """Give the application more."""
        if self.read_paused:
            self.read_paused = False
            self._on_wanted()
