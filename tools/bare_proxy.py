"""A bare pass-through proxy, the baseline of `make bench-path`.

Uses litestar on uvicorn, and httpx, as jaytrayd does, but sends every request to one
address and returns the response's bytes without parsing them.
"""

import logging
from collections.abc import AsyncIterator, Sequence
from typing import Any

import httpx
import uvicorn
from absl import app, flags
from litestar import Litestar, Request, Response, post
from litestar.response import Stream

_TARGET = flags.DEFINE_string("target", None, "Address of the target.", required=True)
_PORT = flags.DEFINE_integer("port", None, "Port to listen on.", required=True)
_TIMEOUT_S = 30.0


def make_app(target: str) -> Litestar:
    """Return an application that forwards completions to `target`."""
    client = httpx.AsyncClient(
        base_url=f"http://{target}", trust_env=False, timeout=_TIMEOUT_S
    )

    @post("/v1/chat/completions", status_code=200)
    async def complete(request: Request[Any, Any, Any]) -> Response[Any]:
        headers = {
            "content-type": "application/json",
            "x-request-id": request.headers.get("x-request-id", ""),
        }
        body = await request.body()
        sent = client.build_request("POST", request.url.path, content=body)
        sent.headers.update(headers)
        response = await client.send(sent, stream=True)
        media_type = response.headers["content-type"]
        if media_type == "application/json":
            return Response(await response.aread(), media_type=media_type)

        async def content() -> AsyncIterator[bytes]:
            try:
                async for chunk in response.aiter_raw():
                    yield chunk
            finally:
                await response.aclose()

        return Stream(content(), media_type=media_type)

    return Litestar([complete], openapi_config=None, logging_config=None)


def main(_arguments: Sequence[str]) -> None:
    """Serve until interrupted."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    uvicorn.run(
        make_app(_TARGET.value),
        host="127.0.0.1",
        port=_PORT.value,
        loop="asyncio",
        http="h11",
        lifespan="off",
        access_log=False,
        log_level="warning",
    )


if __name__ == "__main__":
    app.run(main)
