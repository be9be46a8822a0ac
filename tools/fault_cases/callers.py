"""Simulated callers: each makes one call and sends it again as a client would."""

import asyncio
import enum
import json
import random
from collections.abc import Mapping
from typing import Any, NamedTuple

from jaytray_standins.asgi_scope import http_scope
from packages.server.tests.request.support import KEY, MODEL
from tools.fault_cases.fleet import Fleet

MAX_RESENDS = 3
RESEND_PAUSE_S = 0.2
SLOW_CALLER_PAUSE_S = 0.05


class CallKind(enum.StrEnum):
    """Kind of request that a caller sends."""

    CHAT = "chat"
    STREAM = "stream"
    READ = "read"
    BOOK = "book"
    BOOK_KEYED = "book_keyed"


class Call(NamedTuple):
    """One call; its body contains the unique `marker`.

    The caller disconnects `leaves_after_s` seconds after sending, 0 for never. A slow
    caller pauses before it reads each part of the response.
    """

    marker: str
    kind: CallKind
    leaves_after_s: float
    is_slow: bool


class Attempt(NamedTuple):
    """One attempt to send a call, and its response.

    `status` is 0 when the connection ended without a response; `runs_before` is the
    number of runs of the call before the attempt.
    """

    number: int
    runs_before: int
    status: int
    headers: dict[str, str]
    body: bytes
    is_ended: bool


class Outcome(NamedTuple):
    """A call and its attempts."""

    call: Call
    attempts: list[Attempt]


def request_body(call: Call) -> bytes:
    """Return the body of a call."""
    if call.kind in (CallKind.CHAT, CallKind.STREAM):
        return json.dumps(
            {
                "model": MODEL.name,
                "messages": [{"role": "user", "content": call.marker}],
                "stream": call.kind is CallKind.STREAM,
            }
        ).encode()
    return json.dumps({"marker": call.marker}).encode()


async def make_call(fleet: Fleet, call: Call, rng: random.Random) -> Outcome:
    """Send a call; resend one with an idempotency key until it succeeds.

    Each attempt goes to a random live VM; there are at most `MAX_RESENDS` resends.
    """
    attempts: list[Attempt] = []
    for number in range(1, MAX_RESENDS + 2):
        live = fleet.live_vms()
        if not live:
            break
        attempt = await _send(fleet, rng.choice(live), call, number)
        attempts.append(attempt)
        if call.kind is not CallKind.BOOK_KEYED or attempt.status == 200:
            break
        await asyncio.sleep(RESEND_PAUSE_S)
    return Outcome(call, attempts)


def count_runs(fleet: Fleet, call: Call) -> int:
    """Return how many times targets and the service ran a call."""
    marker = call.marker.encode()
    return sum(marker in request.body for request in fleet.ran_requests())


async def _send(fleet: Fleet, vm_id: str, call: Call, number: int) -> Attempt:
    runs_before = count_runs(fleet, call)
    exchange = _AsgiExchange(
        scope=_scope(call, number), body=request_body(call), is_slow=call.is_slow
    )
    vm = fleet.vms_by_id[vm_id]
    app: Any = vm.app
    task = asyncio.ensure_future(app(exchange.scope, exchange.receive, exchange.send))
    vm.running.add(task)
    if call.leaves_after_s:
        leave = asyncio.get_running_loop().call_later(
            call.leaves_after_s, exchange.disconnected.set
        )
        task.add_done_callback(lambda _: leave.cancel())
    await asyncio.gather(task, return_exceptions=True)
    vm.running.discard(task)
    is_dead = vm_id in fleet.dead_vms
    return Attempt(
        number=number,
        runs_before=runs_before,
        status=0 if is_dead and not exchange.is_ended else exchange.status,
        headers=exchange.headers,
        body=bytes(exchange.response),
        is_ended=exchange.is_ended,
    )


class _AsgiExchange:
    """The caller's side of one ASGI request."""

    def __init__(self, *, scope: dict[str, Any], body: bytes, is_slow: bool) -> None:
        self.scope = scope
        self.disconnected = asyncio.Event()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.response = bytearray()
        self.is_ended = False
        self._body: bytes | None = body
        self._is_slow = is_slow

    async def receive(self) -> dict[str, Any]:
        """Return the body, then the disconnect once the caller leaves."""
        if self._body is not None:
            body, self._body = self._body, None
            return {"type": "http.request", "body": body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Mapping[str, Any]) -> None:
        """Record a part of the response."""
        if self._is_slow:
            await asyncio.sleep(SLOW_CALLER_PAUSE_S)
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        self.response += message.get("body", b"")
        self.is_ended = not message.get("more_body", False)


def _scope(call: Call, number: int) -> dict[str, Any]:
    paths = {
        CallKind.CHAT: ("POST", "/v1/chat/completions"),
        CallKind.STREAM: ("POST", "/v1/chat/completions"),
        CallKind.READ: ("POST", f"/services/rounds/safe/{call.marker}"),
        CallKind.BOOK: ("POST", "/services/rounds/book"),
        CallKind.BOOK_KEYED: ("POST", "/services/rounds/book"),
    }
    method, path = paths[call.kind]
    headers = [
        ("authorization", f"Bearer {KEY}"),
        ("content-type", "application/json"),
        ("x-attempt", f"{call.marker}-{number}"),
    ]
    if call.kind is CallKind.BOOK_KEYED:
        headers.append(("idempotency-key", call.marker))
    return http_scope(method, path, headers)
