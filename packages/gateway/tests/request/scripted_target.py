"""Targets for tests, which send scripted responses and record the requests."""

import asyncio
from typing import NamedTuple


class Answer(NamedTuple):
    """A scripted response.

    `body` None closes the connection without a response. `is_stream` uses chunked
    encoding. `ends_well` False omits the last chunk of a stream and closes the
    connection after the response.
    """

    body: bytes | None = b"ok"
    status: int = 200
    is_sealed: bool = True
    is_not_run: bool = False
    is_stream: bool = False
    ends_well: bool = True
    delay_s: float = 0.0


class ScriptedTarget:
    """Sends the scripted responses in order, repeating the last; records heads."""

    def __init__(self, *, target_id: str, answers: list[Answer]) -> None:
        self.target_id = target_id
        self.answers = list(answers)
        self.heads: list[bytes] = []
        self.open_connections = 0
        self.address = "127.0.0.1:1"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(field(head, b"content-length") or b"0")
        await reader.readexactly(length)
        self.heads.append(head)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer.delay_s:
            waiting = asyncio.ensure_future(asyncio.sleep(answer.delay_s))
            leaving = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((waiting, leaving), return_when=asyncio.FIRST_COMPLETED)
            if leaving.done():
                return False
            leaving.cancel()
            await asyncio.gather(leaving, return_exceptions=True)
        if answer.body is None:
            return False
        writer.write(_render(answer, field(head, b"x-id")))
        await writer.drain()
        return answer.ends_well


def field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name:
            return value
    return b""


def _render(answer: Answer, request_id: bytes) -> bytes:
    assert answer.body is not None
    lines = [b"HTTP/1.1 %d X" % answer.status, b"x-id: " + request_id]
    if answer.is_sealed:
        lines.append(b"x-seal: s")
    if answer.is_not_run:
        lines.append(b"x-not-run: 1")
    body = answer.body
    if answer.is_stream:
        lines.append(b"transfer-encoding: chunked")
        body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body += b"0\r\n\r\n" if answer.ends_well else b""
    else:
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
