"""Digests of callers' keys; the document holds digests instead of keys."""

import hashlib

_PREFIX = "sha256:"


def digest_key(key: str) -> str:
    """Return `sha256:` and the hex digest of the key's UTF-8 bytes."""
    return _PREFIX + hashlib.sha256(key.encode()).hexdigest()
