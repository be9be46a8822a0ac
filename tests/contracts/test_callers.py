"""Contract of the callers' HTTP interface, checked against a running site.

To test another implementation, pass `check_caller_contract` a client whose base URL is
its address, and a valid key. It must serve the model `assistant` and the service
`rounds`, and refuse request bodies above `MAX_BODY_BYTES`.
"""

import asyncio
import json
from typing import Any, NamedTuple

import httpx
from testtools import TestCase

from tests.system.test_site import serving_site

MAX_BODY_BYTES = 1_048_576
REFUSAL_FIELDS = {"code", "message", "type", "execution", "step", "peer"}


class CallerCase(NamedTuple):
    """A request and its expected status; `code` is the expected refusal code."""

    name: str
    method: str
    path: str
    status: int
    code: str = ""
    body: Any = None
    key: str | None = "valid"
    raw: bytes | None = None


def chat(**fields: Any) -> dict[str, Any]:
    message = {"role": "user", "content": "Is the chestnut sound?"}
    return {"model": "assistant", "messages": [message], "max_tokens": 4, **fields}


CHAT = "/v1/chat/completions"
CASES = (
    CallerCase("models", "GET", "/v1/models", 200),
    CallerCase("chat", "POST", CHAT, 200, body=chat()),
    CallerCase("stream", "POST", CHAT, 200, body=chat(stream=True)),
    CallerCase(
        "completion",
        "POST",
        "/v1/completions",
        200,
        body={"model": "assistant", "prompt": "Sound?", "max_tokens": 4},
    ),
    CallerCase("service", "POST", "/services/rounds/bookings", 200, body={"barn": 1}),
    CallerCase("no key", "POST", CHAT, 401, "key_missing", chat(), key=None),
    CallerCase("bad key", "POST", CHAT, 401, "key_unknown", chat(), key="no"),
    CallerCase("model", "POST", CHAT, 404, "model_unknown", chat(model="none")),
    CallerCase("not JSON", "POST", CHAT, 400, "invalid_request", raw=b"{"),
    CallerCase("wrong type", "POST", CHAT, 400, "invalid_request", chat(messages=1)),
    CallerCase("path", "GET", "/v2/nothing", 404, "route_unknown"),
    CallerCase("service path", "GET", "/services/none/x", 404, "route_unknown"),
    CallerCase("method", "DELETE", CHAT, 404, "route_unknown"),
    CallerCase(
        "too large",
        "POST",
        CHAT,
        413,
        "request_too_large",
        raw=b" " * (MAX_BODY_BYTES + 1),
    ),
    CallerCase("operators", "GET", "/admin/status", 403, "operator_token_invalid"),
    CallerCase("alive", "GET", "/healthz", 200, key=None),
    CallerCase("ready", "GET", "/readyz", 200, key=None),
)


async def check_caller_contract(client: httpx.AsyncClient, *, key: str) -> list[str]:
    """Run all cases and return the deviations; the list is empty if all cases pass."""
    deviations = []
    for case in CASES:
        response = await _send(client, case, key)
        for deviation in _deviations(case, response):
            deviations.append(f"{case.name}: {deviation}: {response.text[:200]}")
    return deviations


async def _send(
    client: httpx.AsyncClient, case: CallerCase, key: str
) -> httpx.Response:
    secret = key if case.key == "valid" else case.key
    headers = {"Authorization": f"Bearer {secret}"} if secret else {}
    headers["Content-Type"] = "application/json"
    body = json.dumps(case.body).encode() if case.body is not None else None
    return await client.request(
        case.method, case.path, headers=headers, content=case.raw or body
    )


def _deviations(case: CallerCase, response: httpx.Response) -> list[str]:
    deviations = []
    if response.status_code != case.status:
        deviations.append(f"status {response.status_code}")
    if not response.headers.get("x-request-id"):
        deviations.append("no x-request-id")
    if case.code:
        error = response.json().get("error", {})
        if error.get("code") != case.code or not REFUSAL_FIELDS <= error.keys():
            deviations.append("wrong refusal code or missing refusal fields")
        if error.get("execution") != "not_run":
            deviations.append("refusal execution is not not_run")
    if case.name in ("chat", "completion") and response.is_success:
        if response.json()["usage"].get("completion_tokens") != 4:
            deviations.append("usage.completion_tokens is not 4")
    if case.name == "stream" and not response.text.endswith("data: [DONE]\n\n"):
        deviations.append("stream does not end with [DONE]")
    return deviations


class CallersTests(TestCase):
    def test_running_site_keeps_the_contract(self) -> None:
        async def scenario() -> None:
            async with serving_site("vm-1") as running:
                base = f"http://{running.vm('vm-1').callers_address}"
                async with httpx.AsyncClient(base_url=base, timeout=30) as client:
                    found = await check_caller_contract(client, key=running.key)
            self.assertEqual([], found)

        asyncio.run(scenario())

    def test_contract_notices_a_wrong_response(self) -> None:
        def respond(_request: httpx.Request) -> httpx.Response:
            return httpx.Response(200, json={"error": {}, "usage": {}})

        async def scenario() -> list[str]:
            transport = httpx.MockTransport(respond)
            async with httpx.AsyncClient(
                transport=transport, base_url="http://vm"
            ) as client:
                return await check_caller_contract(client, key="k")

        case_names = {case.name for case in CASES}
        found = {text.partition(":")[0] for text in asyncio.run(scenario())}
        self.assertEqual(case_names, found)
