"""Errors of HTTP exchanges, common to all clients."""

import enum


class ExchangeProgress(enum.Enum):
    """How far a failed exchange got.

    Only with `NOT_SENT` is it certain that the peer did not receive the request.
    """

    NOT_SENT = "not_sent"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"


class ExchangeError(Exception):
    """An exchange that gave no complete response."""

    def __init__(self, *, progress: ExchangeProgress, detail: str) -> None:
        super().__init__(detail)
        self.progress = progress
        self.detail = detail
