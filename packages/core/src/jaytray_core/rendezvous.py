"""Rendezvous hashing: a stable assignment of keys to members.

When a member joins or leaves, only the keys that it gains or loses are reassigned.
"""

import hashlib
from collections.abc import Iterable


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` ordered by their weight for `key`, the owner first."""
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def owner_of(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns `key`, or None when there are no members."""
    return max(members, key=lambda member: _weight(key, member), default=None)


def _weight(key: str, member: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
