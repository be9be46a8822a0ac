"""Tests of API keys: authentication, removal from forwarded requests, withdrawal."""

from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import ExpectedException, TestCase

from jaytray_core import message_registry as messages
from jaytray_core.document.model import ClientAccount, Document, Key, empty_document
from jaytray_core.errors import JaytrayError
from jaytray_server.version.authentication import (
    authenticate,
    digest_key,
    is_key_valid,
    strip_credentials,
)
from jaytray_server.version.running_streams import RunningStreams

KEY = "jt-secret/with+signs="
ACCOUNT = ClientAccount("a", 1.0, 10, 1.0)
DIGEST = digest_key(KEY)
KEYS = {DIGEST: Key("k", "a", DIGEST)}
EMPTY = empty_document("trial")
DOCUMENT = EMPTY._replace(accounts_by_name={"a": ACCOUNT}, keys_by_digest=KEYS)
NO_ACCOUNT = EMPTY._replace(keys_by_digest=KEYS)

CASES = [
    ("valid", f"Bearer {KEY}", False, "a"),
    ("scheme in another case", f"bearer  {KEY} ", False, "a"),
    ("valid on an open route", f"Bearer {KEY}", True, "a"),
    ("none", "", False, "key_missing"),
    ("none on an open route", "", True, "nobody"),
    ("another scheme", f"Basic {KEY}", False, "key_missing"),
    ("unknown", "Bearer other", False, "key_unknown"),
    ("unknown on an open route", "Bearer other", True, "key_unknown"),
    ("digest in place of the key", f"Bearer {DIGEST}", False, "key_unknown"),
]

KEY_LOCATIONS = [
    ("authorization", [("Authorization", f"Bearer {KEY}")], ""),
    ("api key header", [("X-Api-Key", KEY)], ""),
    ("any header", [("X-Anything", f"v={KEY}; more"), ("X-Other", KEY)], ""),
    ("cookie", [("Cookie", f"session=1; token={KEY}")], ""),
    ("query", [], f"a=1&key={KEY}&b=2"),
    ("encoded query", [], "key=jt-secret%2Fwith%2Bsigns%3D&b=2"),
    ("form-encoded query", [], "key=jt-secret/with%2bsigns%3d&b=2"),
    ("key as the name", [], f"{KEY}&b=2"),
]


def authentication_outcome(document: Document, header: str, is_open: bool) -> str:
    """Return the account's name, `nobody` without a key, or the refusal's code."""
    headers = [("accept", "*/*"), ("Authorization", header)] if header else []
    try:
        caller = authenticate(document, headers, is_open=is_open)
    except JaytrayError as err:
        return err.code
    return caller.account.name if caller else "nobody"


class AuthenticationTests(TestCase):
    @parameterized.expand(CASES)
    def test_case(self, _name: str, header: str, is_open: bool, expected: str) -> None:
        self.assertEqual(expected, authentication_outcome(DOCUMENT, header, is_open))

    def test_key_without_account_is_not_valid(self) -> None:
        self.assertEqual(
            "key_unknown", authentication_outcome(NO_ACCOUNT, f"Bearer {KEY}", False)
        )
        self.assertFalse(is_key_valid(NO_ACCOUNT, DIGEST))

    def test_caller_does_not_print_its_key(self) -> None:
        caller = authenticate(DOCUMENT, [("authorization", f"Bearer {KEY}")])
        self.assertNotIn(KEY, f"{caller} {caller!r}")

    @parameterized.expand(KEY_LOCATIONS)
    def test_key_is_stripped(
        self, _name: str, headers: list[tuple[str, str]], query: str
    ) -> None:
        for kept in (
            strip_credentials(headers, query, key=KEY),
            strip_credentials(headers, query, known_digests=KEYS),
            strip_credentials([("Authorization", f"Bearer {KEY}"), *headers], query),
        ):
            self.assertNotIn("secret", str(kept))

    def test_headers_and_query_without_key_are_kept(self) -> None:
        headers = [("Accept", "a"), ("Cookie", "s=1; t=2"), ("X-Short", "x")]
        kept = strip_credentials(headers, "a=1&b=2", key=KEY)
        self.assertEqual((headers, "a=1&b=2"), kept)

    @given(st.text(max_size=20), st.text(max_size=20), st.sampled_from(["", "x", KEY]))
    def test_key_never_survives_in_any_place(self, a: str, b: str, key: str) -> None:
        headers = [("H", a + KEY + b), ("Cookie", f"{a}={KEY};{b}=1")]
        kept, query = strip_credentials(headers, f"{a}={KEY}&{b}", key=KEY)
        self.assertNotIn(KEY, f"{kept}{query}")


class RunningStreamsTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.document = DOCUMENT
        self.streams = RunningStreams(current=lambda: self.document)
        self.ended: list[str] = []

    def record_end(self, error: JaytrayError) -> None:
        """Record the error that a stream ends with."""
        self.ended.append(error.code)

    def test_withdrawal_ends_the_streams_of_the_key(self) -> None:
        with self.streams.register(DIGEST, self.record_end):
            self.streams.end_withdrawn(DOCUMENT)
            self.assertEqual([], self.ended)
            self.streams.end_withdrawn(EMPTY)
            self.streams.end_withdrawn(EMPTY)
        self.assertEqual([messages.KEY_WITHDRAWN.code], self.ended)

    def test_finished_stream_is_not_ended(self) -> None:
        with self.streams.register(DIGEST, self.record_end):
            pass
        self.streams.end_withdrawn(EMPTY)
        self.assertEqual([], self.ended)

    def test_stream_that_starts_after_the_withdrawal_is_refused(self) -> None:
        self.document = EMPTY
        expected = ExpectedException(JaytrayError, "key_withdrawn.*")
        with expected, self.streams.register(DIGEST, self.record_end):
            self.fail("the stream was registered")
