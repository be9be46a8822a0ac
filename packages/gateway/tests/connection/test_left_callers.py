"""Tests of callers that leave, over loopback: targets worked on for them (GONE)."""

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_core.tasks import cancel_all
from jaytray_gateway.connection.bounded_protocol import BoundedCallerProtocol
from jaytray_gateway.connection.caller_bounds import CallerBounds
from jaytray_gateway.connection.caller_servers import limit_buffers
from jaytray_gateway.process.memory_budget import MemoryBudget
from jaytray_gateway.version.route_table import Route
from jaytray_server.connection.callers import (
    bound_address,
    make_caller_server,
    open_caller_socket,
)
from packages.gateway.tests.request.cases import IDEMPOTENT, RESUMABLE
from packages.gateway.tests.request.harness import KEY, GatewayHarness
from packages.gateway.tests.request.scripted_target import ScriptedResponse
from packages.gateway.tests.request.support import open_harness

# Time after which nobody may work for a caller that has left.
NOTICED_S = 0.5
# Time for a request to reach its target.
SENT_S = 0.2
RUN_S = 2.0
LONG_BYTES = 1_000_000
SLOW = ScriptedResponse(delay_s=RUN_S)
REJECTED = ScriptedResponse(status=503, is_not_run=True, delay_s=SENT_S + 0.1)
ENDLESS = ScriptedResponse(
    body=b"data: " + b"x" * 90 + b"\n\n", is_endless=True, is_unframed=True
)
LONG_ROUTE = IDEMPOTENT._replace(timeout_s=2 * RUN_S)
LONG_STREAM = RESUMABLE._replace(timeout_s=10.0)

Leave = Callable[[socket.socket], None]


def render(request_id: bytes, body: bytes = b"data") -> bytes:
    fields = (b"x-id: " + request_id, b"x-key: " + KEY)
    length = b"content-length: %d" % len(body)
    head = b"\r\n".join((b"POST /p/x HTTP/1.1", b"host: h", *fields, length))
    return head + b"\r\n\r\n" + body


NEXT = render(b"next")
LONG_NEXT = render(b"next", bytes(LONG_BYTES))


def close(caller: socket.socket) -> None:
    caller.close()


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


def end_sending(caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


@asynccontextmanager
async def open_port(vm: GatewayHarness) -> AsyncIterator[int]:
    """Serve the harness's callers; yields the port."""
    budget = MemoryBudget(
        bound_bytes=50_000_000, max_connections=50, clock=monotonic_clock
    )
    bounds = CallerBounds(
        budget=budget, header_bytes=lambda: 16_384, clock=monotonic_clock
    )
    make_protocol = partial(BoundedCallerProtocol, bounds=bounds)
    server = make_caller_server(vm.app, make_protocol=make_protocol)
    with open_caller_socket("127.0.0.1:0") as listener:
        limit_buffers(listener)
        serving = asyncio.create_task(server.serve(sockets=[listener]))
        try:
            yield int(bound_address(listener).split(":")[1])
        finally:
            server.should_exit = server.force_exit = True
            await serving


async def open_idle_connections(vm: GatewayHarness) -> None:
    """Open a connection to each target, so that requests are sent without a wait."""
    for target in vm.targets:
        await vm.pools.open_idle(target.target_id, target.address, timeout_s=1.0)


async def send_in_background(caller: socket.socket, data: bytes) -> None:
    """Send until everything is sent or the other end stops reading."""
    try:
        await asyncio.get_running_loop().sock_sendall(caller, data)
    except OSError:
        pass


def run_at_port(
    check: Callable[[GatewayHarness, int], Awaitable[None]],
    *responses: list[ScriptedResponse],
    route: Route = LONG_ROUTE,
) -> None:
    async def run() -> None:
        async with open_harness(*responses, route=route) as vm, open_port(vm) as port:
            await check(vm, port)

    asyncio.run(run())


class LeftCallersTests(TestCase):
    @parameterized.expand(
        [
            (f"{name}_of_the_next_request_then_{leave.__name__}", ahead, leave)
            for name, ahead in (
                ("nothing", b""),
                ("a_part", NEXT[:20]),
                ("all", NEXT),
                ("all_of_a_long_body", LONG_NEXT),
            )
            for leave in (close, reset)
        ]
    )
    def test_close_behind_more_bytes_ends_the_run(
        self, _name: str, ahead: bytes, leave: Leave
    ) -> None:
        # Reading paused once bytes of a next request had arrived.
        async def check(vm: GatewayHarness, port: int) -> None:
            (target,) = vm.targets
            caller = socket.create_connection(("127.0.0.1", port))
            caller.setblocking(False)
            await send_in_background(caller, render(b"r1"))
            await asyncio.sleep(SENT_S)
            sending = asyncio.create_task(send_in_background(caller, ahead))
            await asyncio.sleep(SENT_S)
            self.assertEqual(1, len(target.heads))
            await cancel_all([sending])
            leave(caller)
            await asyncio.sleep(NOTICED_S)
            self.assertEqual(0, target.running)
            await asyncio.sleep(RUN_S)
            self.assertEqual(1, len(target.heads))

        run_at_port(check, [SLOW])

    @parameterized.expand([("new_connection", False), ("open_connection", True)])
    def test_request_whose_caller_has_left_is_not_sent(
        self, _name: str, is_open: bool
    ) -> None:
        # The loop read the request in one turn and the end behind it in the next.
        async def check(vm: GatewayHarness, port: int) -> None:
            (target,) = vm.targets
            await open_idle_connections(vm)
            caller = socket.create_connection(("127.0.0.1", port))
            if is_open:
                await asyncio.sleep(SENT_S)
            # The loop does not run in between, as on a VM without processor time.
            caller.sendall(render(b"r2"))
            caller.close()
            await asyncio.sleep(NOTICED_S)
            self.assertEqual([], target.heads)

        run_at_port(check, [SLOW])

    def test_rejected_request_of_a_left_caller_is_not_sent_again(self) -> None:
        async def check(vm: GatewayHarness, port: int) -> None:
            first, second = vm.targets
            await open_idle_connections(vm)
            caller = socket.create_connection(("127.0.0.1", port))
            caller.sendall(render(b"r1"))
            await asyncio.sleep(SENT_S)
            self.assertEqual(1, len(first.heads))
            caller.close()
            # The target's response arrives while the loop does not run.
            time.sleep(SENT_S)
            await asyncio.sleep(NOTICED_S)
            self.assertEqual([], second.heads)

        run_at_port(check, [REJECTED], [SLOW])

    @parameterized.expand([(leave.__name__, leave) for leave in (end_sending, close)])
    def test_end_of_a_caller_that_does_not_read_ends_the_run(
        self, _name: str, leave: Leave
    ) -> None:
        # The transport waited until its buffer was empty.
        async def check(vm: GatewayHarness, port: int) -> None:
            (target,) = vm.targets
            caller = socket.create_connection(("127.0.0.1", port))
            caller.sendall(render(b"r1"))
            await asyncio.sleep(1.0)
            self.assertEqual(1, target.running)
            leave(caller)
            await asyncio.sleep(NOTICED_S)
            self.assertEqual(0, target.running)
            caller.close()

        run_at_port(
            check,
            [ENDLESS],
            route=LONG_STREAM,
        )
