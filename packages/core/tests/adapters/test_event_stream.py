"""Tests that decoding gives no wrong piece, whatever the bytes and chunks are."""

from collections.abc import Callable

import msgspec
from hypothesis import given, strategies as st
from testtools import TestCase

from jaytray_core.adapters.event_stream import (
    EventSplitter,
    PieceChecker,
    ResponseMismatchError,
    StreamFormatError,
)
from jaytray_core.targets import StreamPiece

REQUEST_ID = "request-1"
TOKENS = 6
_STREAM_ERRORS = (StreamFormatError, ResponseMismatchError)


def event(end_index: int, *, is_end: bool = False, request_id: str = REQUEST_ID) -> str:
    text = "" if is_end else f"w{end_index}\u00e9\n "
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    fields = {"id": request_id, "choices": [choice], "end_index": end_index}
    if is_end:
        fields["output_tokens"] = end_index
    return msgspec.json.encode(fields).decode()


def events(tokens: int = TOKENS) -> list[str]:
    pieces = [event(n) for n in range(1, tokens + 1)]
    return [*pieces, event(tokens, is_end=True), "[DONE]"]


def encode(datas: list[str], newline: str = "\n") -> bytes:
    return "".join(f"data: {data}{newline}{newline}" for data in datas).encode()


def decode(chunks: list[bytes], checker: PieceChecker) -> list[StreamPiece]:
    """Return the pieces before the first error; the checker shows whether one arose."""
    splitter = EventSplitter()
    pieces: list[StreamPiece] = []
    try:
        for chunk in chunks:
            for data in splitter.feed(chunk):
                piece = checker.accept(data)
                if piece is not None:
                    pieces.append(piece)
        checker.finish()
    except _STREAM_ERRORS:
        pass
    return pieces


def new_checker() -> PieceChecker:
    return PieceChecker(request_id=REQUEST_ID, resume_after_tokens=0)


RIGHT_PIECES = decode([encode(events())], new_checker())

Damage = Callable[[list[str]], list[str]]
positions = st.integers(0, TOKENS + 1)
foreign = st.builds(lambda n: event(n, request_id="request-2"), positions)
damages: st.SearchStrategy[Damage] = st.one_of(
    st.builds(lambda n: lambda e: e[:n] + e[n + 1 :], positions),
    st.builds(lambda n: lambda e: e[: n + 1] + e[n:], positions),
    st.builds(lambda n: lambda e: e[:n], positions),
    st.builds(lambda n, m: lambda e: e[:n] + e[m:] + e[n:m], positions, positions),
    st.builds(lambda n, f: lambda e: e[:n] + [f] + e[n:], positions, foreign),
    st.builds(
        lambda n, k: lambda e: e[:n] + [e[n][:k]] + e[n + 1 :], positions, positions
    ),
)


def check_no_wrong_piece(damaged: list[str], checker: PieceChecker) -> None:
    """Raise unless the decoded pieces are a prefix of the right response."""
    pieces = decode([encode(damaged)], checker)
    if pieces != RIGHT_PIECES[: len(pieces)]:
        raise AssertionError(f"wrong pieces: {pieces}")
    if checker.is_finished and len(pieces) != len(RIGHT_PIECES):
        raise AssertionError("an incomplete response was accepted as complete")


class LaxChecker(PieceChecker):
    """A faulty checker that accepts every end index."""

    def _check(self, event: object, data: bytes) -> StreamPiece:
        self._end_index = msgspec.json.decode(data)["end_index"] - 1
        return super()._check(event, data)  # type: ignore[arg-type]


class EventStreamTests(TestCase):
    def test_right_stream_gives_all_pieces(self) -> None:
        self.assertEqual(TOKENS + 1, len(RIGHT_PIECES))
        self.assertEqual([False] * TOKENS + [True], [p.is_end for p in RIGHT_PIECES])
        self.assertEqual("w1\u00e9\n ", RIGHT_PIECES[0].text)

    @given(
        st.lists(st.integers(0, 2_000), max_size=12), st.sampled_from(["\n", "\r\n"])
    )
    def test_chunk_boundaries_do_not_matter(
        self, cuts: list[int], newline: str
    ) -> None:
        data = b": comment\nevent: x\n" + encode(events(), newline)
        bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        chunks = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        checker = new_checker()
        self.assertEqual(RIGHT_PIECES, decode(chunks, checker))
        self.assertTrue(checker.is_finished)

    @given(st.lists(damages, max_size=3))
    def test_damaged_streams_give_no_wrong_piece(self, hits: list[Damage]) -> None:
        damaged = events()
        for damage in hits:
            damaged = damage(damaged) if len(damaged) > TOKENS + 1 else damaged
        check_no_wrong_piece(damaged, new_checker())

    @given(st.binary(max_size=400), st.lists(st.binary(max_size=60), max_size=8))
    def test_arbitrary_bytes_give_typed_errors(
        self, data: bytes, lines: list[bytes]
    ) -> None:
        for chunks in ([data], [b"data: " + line + b"\n\n" for line in lines]):
            checker = new_checker()
            self.assertEqual([], decode(chunks, checker))
            self.assertFalse(checker.is_finished)

    @given(st.none() | st.integers() | st.text(max_size=5) | st.lists(st.integers()))
    def test_arbitrary_fields_give_typed_errors(self, value: object) -> None:
        for name in ("id", "choices", "end_index", "tokens", "output_tokens"):
            fields = msgspec.json.decode(event(1))
            fields[name] = value
            damaged = [msgspec.json.encode(fields).decode(), *events()[1:]]
            if name not in ("tokens", "output_tokens") or value is not None:
                pieces = decode([encode(damaged)], new_checker())
                self.assertTrue(len(pieces) in (0, len(RIGHT_PIECES)))

    def test_lax_checker_is_caught(self) -> None:
        lax = LaxChecker(request_id=REQUEST_ID, resume_after_tokens=0)
        missing = events()[:2] + events()[3:]
        self.assertRaises(AssertionError, check_no_wrong_piece, missing, lax)

    def test_overlong_event_is_refused(self) -> None:
        splitter = EventSplitter()
        chunk = b"data: " + b"x" * 600_000
        splitter.feed(chunk)
        self.assertRaises(StreamFormatError, splitter.feed, chunk)
