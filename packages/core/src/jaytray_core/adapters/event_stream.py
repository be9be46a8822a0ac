"""Decodes and validates the server-sent events of a target.

`EventSplitter` finds the `data:` lines, wherever the chunks are split;
`PieceChecker` decodes each event once and accepts only the next piece of the
expected response.
"""

from typing import TypedDict

import msgspec

from jaytray_core.codec import DECODE_ERRORS
from jaytray_core.targets import StreamPiece

END_MARK = b"[DONE]"
_MAX_EVENT_BYTES = 1_048_576


class StreamFormatError(Exception):
    """The stream is malformed, incomplete or out of order."""


class ResponseMismatchError(Exception):
    """The stream has the id of another request."""


class EventSplitter:
    """Extracts the data of server-sent events from chunks of bytes."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._data_lines: list[bytes] = []
        self._size = 0

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that `chunk` completes."""
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        events = []
        for line in lines:
            line = line.removesuffix(b"\r")
            if line.startswith(b"data:"):
                self._add(line[5:].removeprefix(b" "))
            elif not line and self._data_lines:
                events.append(b"\n".join(self._data_lines))
                self._data_lines.clear()
                self._size = 0
        if self._size + len(self._partial_line) > _MAX_EVENT_BYTES:
            raise StreamFormatError("an event exceeds the size limit")
        return events

    def _add(self, data: bytes) -> None:
        self._data_lines.append(data)
        self._size += len(data)
        if self._size > _MAX_EVENT_BYTES:
            raise StreamFormatError("an event exceeds the size limit")


class _Delta(TypedDict, total=False):
    content: str | None


class _Choice(TypedDict, total=False):
    delta: _Delta
    text: str
    finish_reason: str | None


class _Event(TypedDict, total=False):
    id: str
    choices: list[_Choice]
    end_index: int
    tokens: int
    output_tokens: int


_EVENT_DECODER = msgspec.json.Decoder(_Event)


class PieceChecker:
    """Converts events to the pieces of one response, in order and without gaps.

    The last piece is withheld until the end mark is received; `finish` raises if it
    was not.
    """

    def __init__(self, *, request_id: str, resume_after_tokens: int) -> None:
        self._request_id = request_id
        self._end_index = resume_after_tokens
        self._last: StreamPiece | None = None
        self.is_finished = False

    def accept(self, data: bytes) -> StreamPiece | None:
        """Return the piece in `data`, or None for the last event before the end mark.

        For the end mark, the piece of that last event is returned.

        Raises `StreamFormatError` or `ResponseMismatchError`.
        """
        if self.is_finished:
            raise StreamFormatError("data after the end mark")
        if data == END_MARK:
            return self._finish()
        if self._last is not None:
            raise StreamFormatError("data after the last piece")
        piece = self._decode(data)
        if piece.is_end:
            self._last = piece
            return None
        return piece

    def finish(self) -> None:
        """Check that the end mark was received."""
        if not self.is_finished:
            raise StreamFormatError("the stream has no end mark")

    def _finish(self) -> StreamPiece:
        if self._last is None:
            raise StreamFormatError("end mark before the last piece")
        self.is_finished = True
        return self._last

    def _decode(self, data: bytes) -> StreamPiece:
        try:
            event = _EVENT_DECODER.decode(data)
        except DECODE_ERRORS as err:
            raise StreamFormatError(f"malformed event: {err}") from err
        if event.get("id") != self._request_id:
            raise ResponseMismatchError
        return self._check(event, data)

    def _check(self, event: _Event, data: bytes) -> StreamPiece:
        choices = event.get("choices", [])
        if len(choices) != 1 or "end_index" not in event:
            raise StreamFormatError("an event must have one choice and an end_index")
        text = _text_of(choices[0])
        end_index = event["end_index"]
        output_tokens = event.get("output_tokens")
        is_end = output_tokens is not None
        tokens = event.get("tokens", 1 if text or not is_end else 0)
        if tokens < 0 or end_index != self._end_index + tokens:
            raise StreamFormatError(f"tokens up to {end_index} are missing or repeated")
        if is_end and output_tokens != end_index:
            raise StreamFormatError(f"{end_index} of {output_tokens} tokens received")
        self._end_index = end_index
        finish_reason = choices[0].get("finish_reason") or ""
        return StreamPiece(
            self._request_id,
            end_index,
            text,
            data,
            is_end,
            output_tokens or 0,
            finish_reason,
        )


def _text_of(choice: _Choice) -> str:
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text", "")
