"""State of a plain service stand-in: responds with JSON and records each call."""

import asyncio
import collections
from typing import NamedTuple, TypedDict

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import encode_json
from jaytray_core.targets import ServiceCall
from jaytray_standins.target.records import RanRequest, body_digest, truncate_body
from jaytray_standins.target.state import CRASH_MARKER, TargetCrashedError
from jaytray_standins.virtual_time import Sleep

_KEPT_REQUESTS = 200_000


class ServiceResponse(TypedDict):
    """Body of each response; `call_number` counts the calls of this service."""

    service: str
    request_id: str
    method: str
    path: str
    query: str
    body_digest: str
    call_number: int


class PlainResponse(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class ServiceState:
    """One plain service; a call takes `answer_s` seconds."""

    def __init__(
        self,
        *,
        name: str,
        clock: MonotonicClock,
        sleep: Sleep = asyncio.sleep,
        answer_s: float = 0.0,
        restart_s: float = 2.0,
    ) -> None:
        self.name = name
        self.clock = clock
        self.sleep = sleep
        self.answer_s = answer_s
        self.restart_s = restart_s
        self.crashes = 0
        self.down_until_s = float("-inf")
        self.ran_requests: collections.deque[RanRequest] = collections.deque(
            maxlen=_KEPT_REQUESTS
        )

    @property
    def is_up(self) -> bool:
        """Return whether connections are accepted."""
        return self.clock() >= self.down_until_s

    def crash(self) -> None:
        """Stop; the service accepts connections again `restart_s` later."""
        self.crashes += 1
        self.down_until_s = self.clock() + self.restart_s

    async def run(self, call: ServiceCall) -> PlainResponse:
        """Record a call and respond to it; raises `TargetCrashedError`."""
        digest = body_digest(call.body)
        crashes = self.crashes
        self.ran_requests.append(self._record(call, digest))
        if CRASH_MARKER in call.body:
            self.crash()
            raise TargetCrashedError
        if self.answer_s > 0:
            await self.sleep(self.answer_s)
        if crashes != self.crashes:
            raise TargetCrashedError
        response = ServiceResponse(
            service=self.name,
            request_id=call.request_id,
            method=call.method,
            path=call.path,
            query=call.query,
            body_digest=digest,
            call_number=len(self.ran_requests),
        )
        return PlainResponse(200, encode_json(response))

    def _record(self, call: ServiceCall, digest: str) -> RanRequest:
        return RanRequest(
            request_id=call.request_id,
            method=call.method,
            path=call.path,
            query=call.query,
            body_digest=digest,
            body=truncate_body(call.body),
            headers=list(call.headers),
            model="",
            priority=0,
            resume_after_tokens=0,
            started_at_s=self.clock(),
            was_leaving=False,
        )
