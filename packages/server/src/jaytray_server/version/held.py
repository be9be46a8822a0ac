"""The version that a VM holds, and the rule by which it moves on.

The version only ever grows. A head of the same version with another body, or a body
that does not build, is refused as a whole and the version in force stays.
"""

import enum
from collections.abc import Mapping

from jaytray_core.document.model import Document, empty_document
from jaytray_core.document.parts import Head, document_of


class Verdict(enum.StrEnum):
    """How an offered head relates to the one in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONTRADICTORY = "contradictory"


class HeldVersion:
    """The head, parts and document in force on this VM."""

    def __init__(self, *, environment: str) -> None:
        self.environment = environment
        self.head: Head | None = None
        self.document: Document = empty_document(environment)
        self.parts_by_digest: dict[str, bytes] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 when there is none yet."""
        return self.document.version

    @property
    def body_digest(self) -> str:
        """Return the digest of the body in force, empty when there is none."""
        return self.head.body_digest if self.head else ""

    def judge(self, version: int, body_digest: str) -> Verdict:
        """Compare an offered version with the one in force."""
        if version > self.version:
            return Verdict.NEWER
        if version < self.version:
            return Verdict.OLDER
        if body_digest == self.body_digest:
            return Verdict.SAME
        return Verdict.CONTRADICTORY

    def missing_parts(self, head: Head) -> set[str]:
        """Return the digests of parts that `head` names and this VM lacks."""
        return set(filter(None, head.part_digests)) - self.parts_by_digest.keys()

    def adopt(self, head: Head, new_parts: Mapping[str, bytes], *, peer: str) -> None:
        """Put `head` in force, whole or not at all.

        Raises `document_incomplete` or `document_invalid` and changes nothing then.
        """
        if self.judge(head.version, head.body_digest) is not Verdict.NEWER:
            return
        known = {**self.parts_by_digest, **new_parts}
        document = document_of(head, known, peer=peer)
        parts = {digest: known[digest] for digest in head.part_digests if digest}
        self.head, self.document, self.parts_by_digest = head, document, parts
