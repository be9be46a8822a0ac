"""Tests of the listening socket for callers."""

import asyncio
import socket

from testtools import TestCase

from jaytray_server.connection.callers import bound_address, open_caller_socket


class CallerSocketTests(TestCase):
    def test_small_writes_to_callers_are_sent_at_once(self) -> None:
        async def accepted_option() -> int:
            accepted: asyncio.Future[int] = asyncio.get_running_loop().create_future()

            def on_connection(
                _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                connection = writer.get_extra_info("socket")
                option = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                accepted.set_result(option)
                writer.close()

            with open_caller_socket("127.0.0.1:0") as listener:
                server = await asyncio.start_server(on_connection, sock=listener)
                host, port = bound_address(listener).split(":")
                _, writer = await asyncio.open_connection(host, int(port))
                option = await accepted
                writer.close()
                server.close()
            return option

        self.assertNotEqual(0, asyncio.run(accepted_option()))
