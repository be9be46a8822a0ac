"""A log stream that never blocks: a bounded queue and one writing thread.

Lines that find the queue full are dropped and counted; the count is written as soon
as there is room again.
"""

import queue
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TextIO

# Lines held for a slow reader: some seconds of a busy process.
QUEUE_LINES = 4_000
# Pace at which lines are written; each wake-up costs processor time.
WRITE_INTERVAL_S = 0.1


class _BoundedStream:
    """The part of a text stream that a logger uses."""

    def __init__(self) -> None:
        self.dropped = 0
        self.lines: queue.Queue[str] = queue.Queue(QUEUE_LINES)

    def write(self, text: str) -> int:
        """Queue `text`, or count it as dropped."""
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes."""


@contextmanager
def bounded_log_stream(
    target: TextIO, *, set_dropped: Callable[[int], None]
) -> Iterator[TextIO]:
    """Give a stream whose lines a thread writes to `target`."""
    stream = _BoundedStream()
    ended = threading.Event()
    writer = threading.Thread(
        target=_write_lines, args=(stream, target, ended, set_dropped), daemon=True
    )
    writer.start()
    try:
        yield stream  # type: ignore[misc]
    finally:
        ended.set()
        writer.join(timeout=1.0)


def _write_lines(
    stream: _BoundedStream,
    target: TextIO,
    ended: threading.Event,
    set_dropped: Callable[[int], None],
) -> None:
    reported = 0
    while True:
        is_last = ended.wait(WRITE_INTERVAL_S)
        parts = []
        while not stream.lines.empty():
            parts.append(stream.lines.get_nowait())
        if stream.dropped > reported:
            reported = stream.dropped
            set_dropped(reported)
            parts.append(f"event=log_lines_dropped total={reported}\n")
        if parts:
            target.write("".join(parts))
            target.flush()
        if is_last:
            return
