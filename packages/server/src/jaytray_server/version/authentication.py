"""Authentication of callers by API key, and removal of keys from forwarded requests.

A presented key is looked up by its digest, and the digests are compared in constant
time. The key itself is kept for the duration of one request only, so that it can be
removed from everything that is forwarded to a target.
"""

import hmac
import re
from collections.abc import Container, Iterable
from typing import NamedTuple
from urllib.parse import quote, quote_plus, unquote, unquote_plus

from jaytray_core import message_registry as messages
from jaytray_core.document.keys import digest_key
from jaytray_core.document.model import ClientAccount, Document
from jaytray_core.errors import JaytrayError, Step

__all__ = [
    "Caller",
    "authenticate",
    "digest_key",
    "is_key_valid",
    "strip_credentials",
]

_BEARER_SCHEME = "bearer"
# Headers whose purpose is to carry credentials; they are never forwarded to a target.
CREDENTIAL_HEADERS = frozenset(
    {"authorization", "proxy-authorization", "x-api-key", "api-key", "x-auth-token"}
)
# Shorter keys are only compared with whole values, as they would match parts of
# longer values by chance.
_MIN_SEARCHED_KEY_LENGTH = 8
_SEPARATORS = re.compile(r"[\s;,=\"']+")

Headers = Iterable[tuple[str, str]]


class Caller(NamedTuple):
    """An authenticated caller; `key` is a secret and never leaves this VM."""

    account: ClientAccount
    key_digest: str
    key: str

    def __repr__(self) -> str:
        return f"Caller({self.account.name})"


def authenticate(
    document: Document, headers: Headers, *, is_open: bool = False
) -> Caller | None:
    """Return the caller whose key is in the headers, or None if an open route has none.

    Raises `key_missing` if there is no key and the route is not open, and `key_unknown`
    if the key is not valid, also on an open route.
    """
    key = _presented_key(headers)
    if not key:
        if is_open:
            return None
        raise JaytrayError(messages.KEY_MISSING, step=Step.AUTHENTICATE)
    digest = digest_key(key)
    account = _account_of(document, digest)
    if account is None:
        raise JaytrayError(messages.KEY_UNKNOWN, step=Step.AUTHENTICATE)
    return Caller(account, digest, key)


def is_key_valid(document: Document, key_digest: str) -> bool:
    """Return whether the key with this digest belongs to a client account."""
    return _account_of(document, key_digest) is not None


def strip_credentials(
    headers: Headers,
    query: str,
    *,
    key: str = "",
    known_digests: Container[str] = frozenset(),
) -> tuple[list[tuple[str, str]], str]:
    """Return headers and query without credentials.

    Drops `CREDENTIAL_HEADERS`, and each header, cookie and query parameter that
    contains a key, plain or percent-encoded. The keys searched for are `key`, the one
    in the Authorization header, and any whose digest is in `known_digests`, as a caller
    may have put its key elsewhere on a route that needs none.
    """
    headers = list(headers)
    keys = {key, _presented_key(headers)}
    words = _candidate_words(headers, query)
    keys.update(word for word in words if digest_key(word) in known_digests)
    keys.discard("")
    kept = []
    for name, value in headers:
        if name.lower() == "cookie":
            value = _strip_cookies(value, keys)
            if not value:
                continue
        elif name.lower() in CREDENTIAL_HEADERS or _contains_any_key(
            name + value, keys
        ):
            continue
        kept.append((name, value))
    parameters = [p for p in query.split("&") if not _contains_any_key(p, keys)]
    return kept, "&".join(parameters)


def _candidate_words(headers: Headers, query: str) -> set[str]:
    """Return all parts of headers, cookies and query that could be a key."""
    words: set[str] = set()
    for _name, value in headers:
        words.add(value)
        words.update(_SEPARATORS.split(value))
        words.update(c.partition("=")[2].strip() for c in value.split(";"))
    for parameter in query.split("&"):
        name, _, value = parameter.partition("=")
        words.update(map(unquote, (parameter, name, value)))
        words.add(unquote_plus(value))
    words.discard("")
    return words


def _presented_key(headers: Headers) -> str:
    for name, value in headers:
        if name.lower() == "authorization":
            scheme, _, key = value.strip().partition(" ")
            return key.strip() if scheme.lower() == _BEARER_SCHEME else ""
    return ""


def _account_of(document: Document, digest: str) -> ClientAccount | None:
    key = document.keys_by_digest.get(digest)
    if key is None or not hmac.compare_digest(key.digest, digest):
        return None
    return document.accounts_by_name.get(key.account)


def _strip_cookies(value: str, keys: set[str]) -> str:
    cookies = [cookie.strip() for cookie in value.split(";")]
    return "; ".join(c for c in cookies if c and not _contains_any_key(c, keys))


def _contains_any_key(text: str, keys: set[str]) -> bool:
    return any(_contains_key(text, key) for key in keys)


def _contains_key(text: str, key: str) -> bool:
    if len(key) < _MIN_SEARCHED_KEY_LENGTH:
        return key in (text, text.partition("=")[2])
    spellings = {key, quote(key, safe=""), quote_plus(key)}
    texts = {text, unquote(text), unquote_plus(text)}
    return any(spelling in form for spelling in spellings for form in texts)
