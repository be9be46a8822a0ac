"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple


class Request(NamedTuple):
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; names are lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader, headers: dict[str, str], emit: Any) -> None:
    """Read a body and pass its parts to `emit`; raises if it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return
            emit(await reader.readexactly(size))
            await reader.readexactly(2)
    elif "content-length" in headers:
        if int(headers["content-length"]):
            emit(await reader.readexactly(int(headers["content-length"])))


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests; the handler returns whether the connection stays open."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                parts: list[bytes] = []
                await read_chunks(reader, headers, parts.append)
                request = Request(method, target, headers, b"".join(parts))
                if not await handler(request, reader, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    return await asyncio.start_server(connection, host, port, backlog=512)


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer(NamedTuple):
    """What a client saw; `status` is 0 without a response head."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    sent_s: float
    head_s: float | None
    end_s: float


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Answer:
    """Send one request on a new connection, and read the answer until `timeout_s`."""
    host, _, port = address.rpartition(":")
    sent_s = time.time()
    status, got, parts, is_whole, head_s = 0, {}, [], False, None
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, got = await read_head(reader)
            status, head_s = int(first.split(" ")[1]), time.time()
            await read_chunks(reader, got, parts.append)
            is_whole = True
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Answer(status, got, b"".join(parts), is_whole, sent_s, head_s, time.time())
