"""Tests that listeners of the stand-ins send small writes without delay."""

import asyncio
import socket
from typing import Any

from litestar import Response, get
from testtools import TestCase
from uvicorn.protocols.http.h11_impl import H11Protocol

from jaytray_standins.listener import ConnectionAborter, listen


@get("/")
async def empty_response() -> Response[Any]:
    return Response(b"")


class ListenerTests(TestCase):
    def test_connections_disable_nagles_algorithm(self) -> None:
        async def run() -> None:
            aborter = ConnectionAborter()
            async with listen([empty_response], aborter) as address:
                host, _, port = address.rpartition(":")
                _reader, writer = await asyncio.open_connection(host, int(port))
                assert aborter.server is not None
                connections = aborter.server.server_state.connections
                while not connections:
                    await asyncio.sleep(0.001)
                for connection in connections:
                    assert isinstance(connection, H11Protocol)
                    server_side = connection.transport.get_extra_info("socket")
                    option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    self.assertNotEqual(0, server_side.getsockopt(*option))
                writer.close()

        asyncio.run(run())
