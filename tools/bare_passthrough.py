"""A bare pass-through to one target, the yardstick of `make bench-path`.

Litestar on uvicorn and httpx, as jaytrayd has them, without any policy.
"""

import asyncio
import logging
import socket
from collections.abc import AsyncIterator
from typing import Any

import httpx
import uvicorn
from absl import app, flags
from litestar import Litestar, Request, Response, post
from litestar.response import Stream

_TARGET = flags.DEFINE_string("target", None, "IP:port of the target.", required=True)
CHAT_PATH = "/v1/chat/completions"


def main(_argv: list[str]) -> None:
    """Serve until ended; prints the address first."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    listener = socket.create_server(("127.0.0.1", 0))
    print(f"listening address=127.0.0.1:{listener.getsockname()[1]}", flush=True)
    config = uvicorn.Config(
        _make_app(f"http://{_TARGET.value}"),
        loop="asyncio",
        http="h11",
        lifespan="off",
        log_config=None,
        access_log=False,
    )
    asyncio.run(uvicorn.Server(config).serve(sockets=[listener]))


def _make_app(target: str) -> Litestar:
    client = httpx.AsyncClient(timeout=60)

    @post(CHAT_PATH, status_code=200)
    async def complete(request: Request[Any, Any, Any]) -> Response[Any]:
        body = await request.body()
        headers = {
            "content-type": "application/json",
            "x-request-id": request.headers["x-request-id"],
        }
        sent = client.build_request(
            "POST", target + CHAT_PATH, content=body, headers=headers
        )
        answer = await client.send(sent, stream=True)
        if b'"stream":true' not in body.replace(b" ", b""):
            return Response(await answer.aread(), media_type="application/json")
        return Stream(_chunks(answer), media_type="text/event-stream")

    return Litestar([complete], openapi_config=None, logging_config=None)


async def _chunks(answer: httpx.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in answer.aiter_raw():
            yield chunk
    finally:
        await answer.aclose()


if __name__ == "__main__":
    app.run(main)
