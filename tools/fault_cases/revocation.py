"""Registry of running streams, which a case can end as if their key was withdrawn."""

from collections.abc import Iterator
from contextlib import contextmanager

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_server.version.running_streams import EndStream


class StreamRegister:
    """Registry of the streams that run on one VM."""

    def __init__(self) -> None:
        self._ends: dict[int, EndStream] = {}
        self._last_id = 0

    @contextmanager
    def register(self, _key_digest: str, end: EndStream) -> Iterator[None]:
        """Keep a stream registered while the block runs."""
        self._last_id += 1
        stream_id = self._last_id
        self._ends[stream_id] = end
        try:
            yield
        finally:
            del self._ends[stream_id]

    def end_all(self) -> None:
        """End all streams, as when their key is withdrawn."""
        for end in list(self._ends.values()):
            end(
                JaytrayError(
                    messages.KEY_WITHDRAWN,
                    step=Step.STREAM,
                    execution=Execution.MAY_HAVE_RUN,
                )
            )
