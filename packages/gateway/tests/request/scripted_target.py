"""Targets for tests, which send scripted responses and record the requests."""

import asyncio
import time
from typing import NamedTuple


class ScriptedResponse(NamedTuple):
    """A scripted response.

    `body` None closes the connection without a response. `is_stream` uses chunked
    encoding. `is_complete` False omits the last chunk of a stream and closes the
    connection after the response. `limit` is the rate limit that the target states,
    `request_id` one that the response belongs to instead of the request's.
    `is_unframed` sends neither a length nor chunks; the body ends with the connection.
    `is_leaving` states that the target is about to stop, `retry_after` for how long it
    wants no requests.
    `is_endless` repeats the body until the caller closes the connection.
    `pieces` follow as chunks of their own, each after `piece_pause_s`. After each of
    them the whole process pauses for `process_pause_s`.
    `raw` is sent instead of the rendered response, and the connection closed after it.
    `has_id` False leaves out the request's id.
    """

    body: bytes | None = b"ok"
    status: int = 200
    is_signed: bool = True
    is_not_run: bool = False
    is_stream: bool = False
    is_complete: bool = True
    delay_s: float = 0.0
    limit: str = ""
    request_id: bytes = b""
    is_unframed: bool = False
    is_endless: bool = False
    is_leaving: bool = False
    retry_after: str = ""
    pieces: tuple[bytes, ...] = ()
    piece_pause_s: float = 0.0
    process_pause_s: float = 0.0
    raw: bytes | None = None
    has_id: bool = True


LAST_CHUNK = b"0\r\n\r\n"
CRASH = ScriptedResponse(body=b"", is_stream=True, is_complete=False)


class ScriptedTarget:
    """Sends the scripted responses in order, repeating the last; records heads.

    A request with `crashing_part` in its prompt gets a response head and no more.
    `repeats_refusals` sends a refusal once more before the next response on the same
    connection, without the request's id if `repeated_without_id` is true.
    """

    def __init__(self, *, target_id: str, responses: list[ScriptedResponse]) -> None:
        self.target_id = target_id
        self.software_version = "v1"
        self.responses = list(responses)
        self.crashing_part = b""
        self.repeats_refusals = False
        self.repeated_without_id = False
        self.heads: list[bytes] = []
        self.open_connections = 0
        # Requests that are being responded to.
        self.running = 0
        self.address = "127.0.0.1:1"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        # Refusals on this connection that are still to be repeated.
        refusals: list[bytes] = []
        try:
            while await self._serve_one(reader, writer, refusals):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        refusals: list[bytes],
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(header_value(head, b"content-length") or b"0")
        await reader.readexactly(length)
        self.heads.append(head)
        self.running += 1
        try:
            return await self._respond(head, reader, writer, refusals)
        finally:
            self.running -= 1

    async def _respond(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        refusals: list[bytes],
    ) -> bool:
        parts = header_value(head, b"x-parts").split(b",")
        if self.crashing_part and self.crashing_part in parts:
            writer.write(_render(CRASH, header_value(head, b"x-id")))
            await writer.drain()
            return False
        response = (
            self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        )
        if response.delay_s:
            waiting = asyncio.ensure_future(asyncio.sleep(response.delay_s))
            leaving = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((waiting, leaving), return_when=asyncio.FIRST_COMPLETED)
            if leaving.done():
                return False
            leaving.cancel()
            await asyncio.gather(leaving, return_exceptions=True)
        if response.body is None:
            return False
        if response.raw is not None:
            writer.write(response.raw)
            await writer.drain()
            return False
        request_id = response.request_id or header_value(head, b"x-id")
        while refusals:
            writer.write(refusals.pop())
        if self.repeats_refusals and (response.is_not_run or response.status == 421):
            has_id = response.has_id and not self.repeated_without_id
            refusals.append(_render(response._replace(has_id=has_id), request_id))
        writer.write(_render(response, request_id))
        await writer.drain()
        for piece in response.pieces:
            await asyncio.sleep(response.piece_pause_s)
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            time.sleep(response.process_pause_s)
            await writer.drain()
        if response.pieces:
            writer.write(LAST_CHUNK)
        while response.is_endless:
            writer.write(response.body * 1000)
            await writer.drain()
        return response.is_complete and not response.is_unframed


def header_value(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name:
            return value
    return b""


def _render(response: ScriptedResponse, request_id: bytes) -> bytes:
    assert response.body is not None
    lines = [b"HTTP/1.1 %d X" % response.status]
    if response.has_id:
        lines.append(b"x-id: " + request_id)
    if response.is_signed:
        lines.append(b"x-seal: s")
    if response.is_not_run:
        lines.append(b"x-not-run: 1")
    if response.limit:
        lines.append(b"x-limit: " + response.limit.encode())
    if response.is_leaving:
        lines.append(b"x-leaving: 1")
    if response.retry_after:
        lines.append(b"retry-after: " + response.retry_after.encode())
    body = response.body
    if response.is_unframed:
        lines.append(b"connection: close")
    elif response.is_stream:
        lines.append(b"transfer-encoding: chunked")
        body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        is_ended = response.is_complete and not response.pieces
        body += LAST_CHUNK if is_ended else b""
    else:
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
