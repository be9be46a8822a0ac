"""Cancellation of work when its caller disconnects."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from jaytray_core.tasks import cancel_all
from jaytray_server.connection.caller_protocol import CONNECTION_STATE, CallerProtocol

T = TypeVar("T")
Receive = Callable[[], Awaitable[Any]]


class CallerDisconnected(Exception):
    """The caller closed its connection or stopped reading."""


def departure_check(scope: Any) -> Callable[[], bool]:
    """Return a function that tells whether the caller of a request has left.

    It asks the kernel: the event loop reads what a caller sent before it sees that the
    caller has closed, and handles it in between.

    `scope` is that of an ASGI application; without a connection no caller ever leaves.
    """
    connection = scope.get("state", {}).get(CONNECTION_STATE)
    if not isinstance(connection, CallerProtocol):
        return lambda: False
    return connection.end_if_caller_left


async def cancel_on_disconnect(receive: Receive, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of `work`; cancel it when the caller disconnects.

    Raises `CallerDisconnected` in that case. If `work` raises it, the server is awaited
    to notice it as well, as no response will come.
    """
    task = asyncio.ensure_future(work)
    watch = asyncio.ensure_future(wait_for_disconnect(receive))
    try:
        await asyncio.wait((task, watch), return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise CallerDisconnected
        if isinstance(task.exception(), CallerDisconnected):
            await watch
        return task.result()
    finally:
        await cancel_all((watch, task))


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the caller has closed its connection."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return
