"""Running streams by API key, to end the streams of a withdrawn key."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from jaytray_core import message_registry as messages
from jaytray_core.document.model import Document
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_server.ports import CurrentDocument
from jaytray_server.version.authentication import is_key_valid

# Ends one stream with an error that is sent to its caller. Must not block.
EndStream = Callable[[JaytrayError], None]


class RunningStreams:
    """The streams running on this VM, by the digest of their key.

    Pass `end_withdrawn` to `DocumentFollower.on_change`.
    """

    def __init__(self, *, current: CurrentDocument) -> None:
        self._current = current
        self._streams_by_digest: dict[str, dict[int, EndStream]] = {}
        self._last_id = 0

    @contextmanager
    def register(self, key_digest: str, end: EndStream) -> Iterator[None]:
        """Register a stream for the duration of the `with` block.

        Raises `key_withdrawn` if the key was withdrawn after the caller authenticated.
        """
        if not is_key_valid(self._current(), key_digest):
            raise _withdrawn_error(Execution.NOT_RUN)
        self._last_id += 1
        stream_id = self._last_id
        self._streams_by_digest.setdefault(key_digest, {})[stream_id] = end
        try:
            yield
        finally:
            streams = self._streams_by_digest.get(key_digest, {})
            streams.pop(stream_id, None)
            if not streams:
                self._streams_by_digest.pop(key_digest, None)

    def end_withdrawn(self, document: Document) -> None:
        """End each stream whose key is not valid in `document`."""
        for digest in list(self._streams_by_digest):
            if is_key_valid(document, digest):
                continue
            streams = self._streams_by_digest.pop(digest)
            get_logger().info("streams_ended_key_withdrawn", streams=len(streams))
            for end_stream in streams.values():
                end_stream(_withdrawn_error(Execution.MAY_HAVE_RUN))


def _withdrawn_error(execution: Execution) -> JaytrayError:
    return JaytrayError(messages.KEY_WITHDRAWN, step=Step.STREAM, execution=execution)
