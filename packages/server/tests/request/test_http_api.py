"""Tests of the HTTP interface: formats of responses and refusals, readiness."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpx
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.targets import (
    InferRequest,
    ServiceCall,
    StreamPiece,
    TargetConnection,
    WholeResponse,
)
from jaytray_server.request.services import Phase
from packages.server.tests.request.support import Site, make_site

CHAT = {"model": "assistant", "messages": [{"role": "user", "content": "hello"}]}


async def _infer(request: InferRequest) -> WholeResponse:
    body = b'{"usage": {"prompt_tokens": 3, "completion_tokens": 4}}'
    headers = [("content-type", "application/json")]
    return WholeResponse(request.request_id, 200, headers, body)


@asynccontextmanager
async def _stream(request: InferRequest) -> AsyncIterator[AsyncIterator[StreamPiece]]:
    async def pieces() -> AsyncIterator[StreamPiece]:
        for number in range(1, 4):
            is_end = number == 3
            data = json.dumps({"n": number}).encode()
            yield StreamPiece(
                request.request_id, number, "w", data, is_end, 3 * is_end, ""
            )

    yield pieces()


async def _call_service(call: ServiceCall) -> WholeResponse:
    body = json.dumps({"path": call.path, "headers": dict(call.headers)}).encode()
    return WholeResponse(call.request_id, 201, [("x-service", "1")], body)


async def _cancel(_request_id: str) -> None:
    return


def _connection(name: str) -> TargetConnection:
    unused: Any = None
    return TargetConnection(
        name,
        _infer,
        _stream,
        _call_service,
        _cancel,
        unused,
        unused,
        unused,
        unused,
    )


def _request(
    method: str, path: str, *, site: Site | None = None, **arguments: Any
) -> httpx.Response:
    async def run() -> httpx.Response:
        serving = site or make_site(connection_to=_connection)
        async with serving.client() as client:
            return await client.request(method, path, **arguments)

    return asyncio.run(run())


class ResponseTests(TestCase):
    def test_whole_completion_settles_its_usage(self) -> None:
        site = make_site(connection_to=_connection)
        response = _request("POST", "/v1/chat/completions", site=site, json=CHAT)
        self.assertEqual(200, response.status_code)
        self.assertEqual([7], site.calls.settled)
        self.assertEqual(32, len(response.headers["x-request-id"]))

    def test_stream_ends_with_done(self) -> None:
        body = {**CHAT, "stream": True}
        response = _request("POST", "/v1/chat/completions", json=body)
        events = response.text.split("\n\n")
        self.assertEqual("text/event-stream", response.headers["content-type"])
        self.assertEqual('data: {"n": 1}', events[0])
        self.assertEqual(["data: [DONE]", ""], events[3:])

    def test_service_gets_no_key(self) -> None:
        response = _request("POST", "/services/rounds/book/7?x=1", json={})
        self.assertEqual(
            (201, "1"), (response.status_code, response.headers["x-service"])
        )
        self.assertEqual("/book/7", response.json()["path"])
        self.assertNotIn("authorization", response.json()["headers"])

    def test_models_are_listed(self) -> None:
        listed = _request("GET", "/v1/models").json()["data"]
        self.assertEqual(["assistant", "mare"], [entry["id"] for entry in listed])


class RefusalTests(TestCase):
    @parameterized.expand(
        [
            ("path", "GET", "/nothing", {}, 404, "route_unknown"),
            ("method", "PUT", "/v1/models", {}, 404, "route_unknown"),
            ("json", "POST", "/v1/completions", {"content": b"{"}, 400, None),
            ("utf8", "POST", "/v1/completions", {"content": b"\xff"}, 400, None),
            ("type", "POST", "/v1/completions", {"json": {"model": 1}}, 400, None),
            (
                "prompt",
                "POST",
                "/v1/completions",
                {"json": {"model": "mare"}},
                400,
                None,
            ),
            ("model", "POST", "/v1/completions", {"json": {"model": "x"}}, 404, None),
            (
                "large",
                "POST",
                "/v1/completions",
                {"content": b" " * 10**6 + b" "},
                413,
                "request_too_large",
            ),
            (
                "header",
                "GET",
                "/v1/models",
                {"headers": {"x": "y" * 17000}},
                431,
                "headers_too_large",
            ),
            ("url", "GET", "/v1/models?" + "y" * 9000, {}, 431, "headers_too_large"),
            (
                "key",
                "GET",
                "/v1/models",
                {"headers": {"authorization": "Bearer no"}},
                401,
                "key_unknown",
            ),
            ("service", "GET", "/services/none/a", {}, 404, "route_unknown"),
        ]
    )
    def test_refusal_format(
        self,
        _name: str,
        method: str,
        path: str,
        arguments: Any,
        status: int,
        code: str | None,
    ) -> None:
        response = _request(method, path, **arguments)
        error = response.json()["error"]
        self.assertEqual(status, response.status_code)
        self.assertEqual("not_run", error["execution"])
        self.assertEqual(
            {"code", "message", "type", "execution", "step", "peer"}, set(error)
        )
        self.assertIn("x-request-id", response.headers)
        if code:
            self.assertEqual(code, error["code"])


class LifecycleTests(TestCase):
    @parameterized.expand(
        [
            ("ready", Phase.READY, False, 200, 200),
            ("draining", Phase.DRAINING, False, 503, 200),
            ("closed", Phase.CLOSED, False, 503, 503),
            ("isolated", Phase.READY, True, 503, 503),
        ]
    )
    def test_readiness(
        self, _name: str, phase: Phase, isolated: bool, readyz: int, models: int
    ) -> None:
        site = make_site(connection_to=_connection)
        site.services.lifecycle.phase = phase
        site.services.lifecycle.is_isolated = isolated
        self.assertEqual(200, _request("GET", "/healthz", site=site).status_code)
        self.assertEqual(readyz, _request("GET", "/readyz", site=site).status_code)
        response = _request("GET", "/v1/models", site=site)
        self.assertEqual(models, response.status_code)
        if models == 503:
            self.assertEqual("1", response.headers["retry-after"])

    @parameterized.expand([("closed", False), ("isolated", True)])
    def test_request_whose_body_arrives_late_is_refused(
        self, _name: str, is_isolated: bool
    ) -> None:
        # It was checked only before its body, and ran while the VM handed off.
        site = make_site(connection_to=_connection)
        lifecycle = site.services.lifecycle

        async def body() -> AsyncIterator[bytes]:
            yield json.dumps(CHAT).encode()
            lifecycle.is_isolated = is_isolated
            lifecycle.phase = Phase.READY if is_isolated else Phase.CLOSED

        async def send() -> httpx.Response:
            async with site.client() as client:
                return await client.post("/v1/chat/completions", content=body())

        response = asyncio.run(send())
        self.assertEqual(503, response.status_code)
