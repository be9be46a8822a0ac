"""How an HTTP exchange may fail, whichever client made it."""

import enum


class Progress(enum.Enum):
    """How far a failed exchange got."""

    NOT_SENT = "not_sent"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"


class ExchangeError(Exception):
    """An exchange without a whole answer."""

    def __init__(self, *, progress: Progress, detail: str) -> None:
        super().__init__(detail)
        self.progress = progress
        self.detail = detail
