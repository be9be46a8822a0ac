"""Fuzz tests: any input of a caller results in a response or a typed refusal."""

import json
from typing import Any

from hypothesis import given, settings, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.errors import Execution, JaytrayError
from jaytray_server.request.parsing import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    CompletionCall,
    parse_completion,
)
from packages.server.tests.request.support import (
    MODEL,
    make_document,
    make_site,
    make_targets,
)
from packages.server.tests.request.virtual_loop import run_virtual

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)
BODIES = st.fixed_dictionaries(
    {},
    optional={
        "model": st.sampled_from([MODEL.name, "mare", "none"]) | JSON_VALUES,
        "messages": st.lists(
            st.fixed_dictionaries(
                {"role": st.sampled_from(["user", "system"]) | JSON_VALUES},
                optional={"content": JSON_VALUES},
            ),
            max_size=3,
        )
        | JSON_VALUES,
        "prompt": JSON_VALUES,
        "max_tokens": st.integers(-2, 100) | JSON_VALUES,
        "stream": st.booleans() | JSON_VALUES,
    },
)
RAW_BODIES = st.binary(max_size=64) | BODIES.map(lambda b: json.dumps(b).encode())
REFUSAL_FIELDS = {"code", "message", "type", "execution", "step", "peer"}


class ParserTests(TestCase):
    @settings(max_examples=200)
    @given(path=st.sampled_from([CHAT_PATH, COMPLETIONS_PATH]), body=RAW_BODIES)
    def test_parses_or_refuses(self, path: str, body: bytes) -> None:
        try:
            call = parse_completion(path, body, make_document())
        except JaytrayError as err:
            self.assertIs(Execution.NOT_RUN, err.execution)
            self.assertLess(err.status, 500)
            return
        self.assertIsInstance(call, CompletionCall)
        self.assertTrue(0 < call.output_tokens <= MODEL.max_output_tokens)
        self.assertGreater(call.prompt_tokens, 0)

    @parameterized.expand(
        [
            ("nested", b'{"model":"assistant","prompt":' + b"[" * 5000),
            ("deep_extra", b'{"model":"assistant","x":' + b"[" * 90_000),
            ("surrogate", b'{"model":"\\ud800","prompt":"a"}'),
            ("huge_number", b'{"model":"assistant","prompt":"a","max_tokens":1e999}'),
            ("duplicate", b'{"model":"none","model":1}'),
            ("empty", b""),
        ]
    )
    def test_hostile_bodies_are_refused(self, _name: str, body: bytes) -> None:
        with self.assertRaises(JaytrayError):
            parse_completion(COMPLETIONS_PATH, body, make_document())


class HttpFuzzTests(TestCase):
    @settings(max_examples=40)
    @given(
        method=st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"]),
        path=st.sampled_from(
            [
                CHAT_PATH,
                COMPLETIONS_PATH,
                "/v1/models",
                "/v1/deferred",
                "/v1/deferred/0",
                "/services/rounds/x",
                "/services/rounds",
                "/services/",
                "/admin/quarantine",
            ]
        )
        | st.text("abc/%.:", max_size=12).map(lambda text: "/" + text),
        body=RAW_BODIES,
        headers=st.dictionaries(
            st.sampled_from(
                ["content-type", "idempotency-key", "x-test", "cookie", "accept"]
            ),
            st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=12),
            max_size=3,
        ),
    )
    def test_every_request_gets_an_answer_or_a_typed_refusal(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> None:
        async def send() -> Any:
            targets = make_targets()
            site = make_site(
                connection_to=targets.connection_to,
                connection_to_address=lambda _address: None,
            )
            encoded = [(k.encode(), v.encode("latin-1")) for k, v in headers.items()]
            async with site.client() as client:
                return await client.request(method, path, content=body, headers=encoded)

        answer = run_virtual(send())
        self.assertNotEqual(500, answer.status_code)
        self.assertIn("x-request-id", answer.headers)
        if answer.status_code >= 400 and method != "HEAD":
            self.assertEqual(REFUSAL_FIELDS, set(answer.json()["error"]))
