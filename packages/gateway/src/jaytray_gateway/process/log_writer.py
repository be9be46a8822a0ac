"""A non-blocking log stream: a bounded queue and one writer thread.

Lines are dropped and counted while the queue is full; the count is logged as soon as
the queue has space again.
"""

import os
import queue
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TextIO

# Lines buffered for a slow reader: some seconds of output of a busy process.
QUEUE_LINES = 4_000
# Interval at which lines are written: each wake-up costs processor time.
WRITE_INTERVAL_S = 0.1
# Time at the end for the remaining lines to be written. It is part of the grace period,
# and nobody may be reading.
LAST_LINES_S = 0.2


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
    write: Callable[[str], object], *, set_dropped: Callable[[int], None]
) -> Iterator[TextIO]:
    """Yield a stream whose lines a thread passes to `write`."""
    stream = _BoundedStream()
    ended = threading.Event()
    writer = threading.Thread(
        target=_write_lines, args=(stream, write, ended, set_dropped), daemon=True
    )
    writer.start()
    try:
        yield stream  # type: ignore[misc]
    finally:
        ended.set()
        writer.join(timeout=LAST_LINES_S)


def make_writer(descriptor: int) -> Callable[[str], None]:
    """Return a function that writes text to a file descriptor.

    A text stream is not used, because the interpreter flushes it at exit and waits for
    its lock, which a thread holds whose write nobody reads.
    """

    def write(text: str) -> None:
        data = memoryview(text.encode("utf-8", "replace"))
        while data:
            data = data[os.write(descriptor, data) :]

    return write


def _write_lines(
    stream: _BoundedStream,
    write: Callable[[str], object],
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
            write("".join(parts))
        if is_last:
            return
