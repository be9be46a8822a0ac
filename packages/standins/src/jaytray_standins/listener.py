"""HTTP listeners of the stand-ins: litestar on uvicorn, many in one process."""

import asyncio
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any, TypeVar

import uvicorn
from litestar import Litestar, Request, Response
from litestar.types import ControllerRouterHandler
from uvicorn.protocols.http.h11_impl import H11Protocol

from jaytray_standins.faults import (
    FaultSwitches,
    NoAnswerError,
    NotDeliveredError,
    deliver,
)

T = TypeVar("T")
AnyRequest = Request[Any, Any, Any]
JSON_TYPE = "application/json"
NOT_RUN_HEADERS = {"x-execution": "not_run"}

_KEEP_ALIVE_S = 75
_SHUTDOWN_S = 1
_START_POLL_S = 0.005


class _Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class ConnectionAborter:
    """Cuts connections without an answer, as a dying process does."""

    def __init__(self) -> None:
        self.server: uvicorn.Server | None = None

    def abort(self, request: AnyRequest) -> None:
        """Cut the connection on which `request` came."""
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
    """Serve `handlers` until the context ends; gives the address `IP:port`."""
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
        timeout_graceful_shutdown=_SHUTDOWN_S,
    )
    server = _Server(config)
    aborter.server = server
    listening_socket = socket.create_server((host, port))
    bound_port = listening_socket.getsockname()[1]
    task = asyncio.ensure_future(server.serve(sockets=[listening_socket]))
    try:
        while not server.started and not task.done():
            await asyncio.sleep(_START_POLL_S)
        yield f"{host}:{bound_port}"
    finally:
        server.should_exit = True
        await task


async def respond(
    request: AnyRequest,
    operation: str,
    faults: FaultSwitches,
    run: Callable[[], Awaitable[Response[Any]]],
) -> Response[Any]:
    """Answer a request through the fault switches.

    A lost request or answer leaves the connection open without an answer until the
    caller closes it.
    """

    async def sleep(seconds: float) -> None:
        if math.isinf(seconds):
            await _wait_for_disconnect(request)
        else:
            await asyncio.sleep(seconds)

    try:
        return await deliver(
            run, operation=operation, faults=faults, sleep=sleep, timeout_s=math.inf
        )
    except NotDeliveredError:
        return not_run(503, "down")
    except NoAnswerError:
        return Response(b"", status_code=500)


def json_response(
    body: bytes, *, status: int = 200, headers: dict[str, str] | None = None
) -> Response[bytes]:
    """Return a response with a body that is JSON already."""
    return Response(body, status_code=status, media_type=JSON_TYPE, headers=headers)


def not_run(
    status: int, detail: str, headers: dict[str, str] | None = None
) -> Response[Any]:
    """Return the answer that nothing was run."""
    return Response(
        detail.encode(),
        status_code=status,
        media_type="text/plain",
        headers=NOT_RUN_HEADERS | (headers or {}),
    )


async def _wait_for_disconnect(request: AnyRequest) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
