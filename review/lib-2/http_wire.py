"""A small HTTP/1.1 server and client on asyncio streams, standard library only."""

import asyncio
import contextlib

STATUS_TEXT = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}


class Request:
    """One request; `headers` has lower-case names."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raises if it is cut off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    """Return the next request, or None when the caller has closed."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    return Request(method, target, headers, body)


def response_head(status, headers):
    """Return the bytes of a response head."""
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole_response(status, headers, body):
    """Return the bytes of a response with a length."""
    length = ("Content-Length", str(len(body)))
    return response_head(status, [*headers, length]) + body


class Answer:
    """What a client received; `status` is 0 without a head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.error = ""


async def call(address, method, target, headers, body=b"", *, timeout_s, keep=None):
    """Send one request on a new connection and return the answer.

    `keep` is how many bytes of the body are kept, all of them if it is None.
    """
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            if not any(name.lower() == "host" for name, _ in headers):
                lines.append(f"Host: {address}")
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                answer.error = "closed"
                return answer
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            async for piece in _body_pieces(reader, answer.headers):
                if keep is None or len(answer.body) < keep:
                    answer.body += piece
            answer.is_whole = True
    except TimeoutError:
        answer.error = "deadline"
    except (OSError, ValueError, asyncio.IncompleteReadError) as err:
        answer.error = type(err).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def _body_pieces(reader, headers):
    if "content-length" in headers:
        yield await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        async for chunk in read_chunks(reader):
            yield chunk
    else:
        while piece := await reader.read(65_536):
            yield piece


@contextlib.asynccontextmanager
async def serving(handle, host, port):
    """Serve connections; `handle(request, reader, writer)` returns False to close."""

    async def on_connection(reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if await handle(request, reader, writer) is False:
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(on_connection, host, port, backlog=1_024)
    try:
        yield
    finally:
        server.close()
