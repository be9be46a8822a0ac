"""A non-blocking log stream: a bounded queue and one writer thread.

Lines are dropped and counted while the queue is full; the count is logged as soon as
the queue has space again.
"""

import queue
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TextIO

# Lines buffered for a slow reader: some seconds of output of a busy process.
QUEUE_LINES = 4_000
# Interval at which lines are written: each wake-up costs processor time.
WRITE_INTERVAL_S = 0.1


class _BoundedStream:
    """The subset of the text stream interface that a logger uses."""

    def __init__(self) -> None:
        self.dropped = 0
        self.lines: queue.Queue[str] = queue.Queue(QUEUE_LINES)

    def write(self, text: str) -> int:
        """Queue `text`, or count it as dropped if the queue is full."""
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; the writer thread flushes."""


@contextmanager
def bounded_log_stream(
    target: TextIO, *, set_dropped: Callable[[int], None]
) -> Iterator[TextIO]:
    """Yield a stream whose lines a thread writes to `target`."""
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
