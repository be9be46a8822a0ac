"""HTTP listeners of the stand-ins: litestar on uvicorn, several in one process.

The process handles signals itself, so each server is started and stopped directly.
"""

import asyncio
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import uvicorn
from litestar import Litestar, Request, Response
from litestar.types import ControllerRouterHandler
from uvicorn.protocols.http.h11_impl import H11Protocol

from jaytray_core.tasks import cancel_all
from jaytray_standins.faults import (
    FaultSwitches,
    NoResponseError,
    NotDeliveredError,
    deliver,
)
from jaytray_standins.virtual_time import Sleep

T = TypeVar("T")
AnyRequest = Request[Any, Any, Any]
JSON_TYPE = "application/json"
NOT_RUN_HEADERS = {"x-execution": "not_run"}

_KEEP_ALIVE_S = 75


class ConnectionAborter:
    """Aborts connections without a response, like a crashing process."""

    def __init__(self) -> None:
        self.server: uvicorn.Server | None = None

    def abort(self, request: AnyRequest) -> None:
        """Abort the connection on which `request` arrived."""
        client = request.scope.get("client")
        connections = self.server.server_state.connections if self.server else ()
        for connection in list(connections):
            if isinstance(connection, H11Protocol) and connection.client == client:
                connection.transport.abort()


@asynccontextmanager
async def listen(
    handlers: list[ControllerRouterHandler],
    aborter: ConnectionAborter,
    *,
    host: str = "127.0.0.1",
    port: int = 0,
) -> AsyncIterator[str]:
    """Serve `handlers` until the context ends; yields the address `IP:port`."""
    app = Litestar(
        route_handlers=handlers, openapi_config=None, logging_config=None, debug=False
    )
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http="h11",
        ws="none",
        lifespan="off",
        access_log=False,
        log_level="critical",
        timeout_keep_alive=_KEEP_ALIVE_S,
    )
    config.load()
    server = uvicorn.Server(config)
    server.lifespan = config.lifespan_class(config)
    aborter.server = server
    listening_socket = _listening_socket(host, port)
    bound_port = listening_socket.getsockname()[1]
    await server.startup(sockets=[listening_socket])
    try:
        yield f"{host}:{bound_port}"
    finally:
        await _stop(server)


async def respond(
    request: AnyRequest,
    operation: str,
    faults: FaultSwitches,
    run: Callable[[], Awaitable[Response[Any]]],
    sleep: Sleep = asyncio.sleep,
) -> Response[Any]:
    """Respond to a request subject to the faults, whose delays use `sleep`.

    A lost request or response leaves the connection open without a response until the
    caller closes it.
    """

    async def wait(seconds: float) -> None:
        if math.isinf(seconds):
            await _wait_for_disconnect(request)
        else:
            await sleep(seconds)

    try:
        return await deliver(
            run, operation=operation, faults=faults, sleep=wait, timeout_s=math.inf
        )
    except NotDeliveredError:
        echo = {"x-request-id": request.headers.get("x-request-id", "")}
        return not_run_response(503, "down", echo)
    except NoResponseError:
        return Response(b"", status_code=500)


def json_response(
    body: bytes, *, status: int = 200, headers: dict[str, str] | None = None
) -> Response[bytes]:
    """Return a response whose body is already encoded as JSON."""
    return Response(body, status_code=status, media_type=JSON_TYPE, headers=headers)


def not_run_response(
    status: int, detail: str, headers: dict[str, str] | None = None
) -> Response[Any]:
    """Return the response to a request that was not run."""
    return Response(
        detail.encode(),
        status_code=status,
        media_type="text/plain",
        headers=NOT_RUN_HEADERS | (headers or {}),
    )


def _listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket whose connections send small writes without delay.

    asyncio disables Nagle's algorithm only if the socket was created with the protocol
    IPPROTO_TCP.
    """
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, port))
    return listening


async def _stop(server: uvicorn.Server) -> None:
    """Abort all connections; stand-ins need no graceful shutdown."""
    for listening in server.servers:
        listening.close()
    for connection in list(server.server_state.connections):
        if isinstance(connection, H11Protocol):
            connection.transport.abort()
    await cancel_all(server.server_state.tasks)


async def _wait_for_disconnect(request: AnyRequest) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
