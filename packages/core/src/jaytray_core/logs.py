"""Structured logs: one line of key=value pairs for each event.

`configure_logs` is called once by each process. Keys and other secrets must not be
passed to a logger; as a second safeguard, `redact_secrets` replaces the values of
known field names.
"""

import logging
import sys
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import structlog

_SECRET_FIELDS = ("key", "authorization", "secret", "curve_secret_key")


# (logger, name of the method, event) -> event; may raise `structlog.DropEvent`.
Processor = Callable[[Any, str, MutableMapping[str, Any]], MutableMapping[str, Any]]


def configure_logs(
    *,
    stream: TextIO = sys.stderr,
    level: int = logging.INFO,
    limit_volume: Processor | None = None,
) -> None:
    """Write logs to `stream`, and from libraries only warnings and errors.

    `limit_volume` may drop an event by raising `structlog.DropEvent`.
    """
    volume_limits = [limit_volume] if limit_volume is not None else []
    for library in ("httpx", "httpcore", "uvicorn", "uvicorn.access", "litestar"):
        logging.getLogger(library).setLevel(logging.WARNING)
    structlog.configure(
        processors=[
            *volume_limits,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            redact_secrets,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )


def get_logger() -> Any:
    """Return a logger whose methods take an event name and fields."""
    return structlog.get_logger()


def redact_secrets(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Replace the values of secret fields."""
    for field in _SECRET_FIELDS:
        if field in event:
            event[field] = "[redacted]"
    return event
