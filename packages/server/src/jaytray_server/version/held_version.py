"""The version in force on a VM, and the rules for replacing it.

The version only ever increases. A head with the same version and another body, or a
body that cannot be built, is rejected as a whole and the version in force stays.
"""

import enum
from collections.abc import Mapping

from jaytray_core.document.model import Document, empty_document, with_targets_of
from jaytray_core.document.parts import (
    DeclarationsByDigest,
    Head,
    declared_document_of,
    needed_digests,
)


class HeadComparison(enum.StrEnum):
    """How a head compares with the one in force."""

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
        self._declared: DeclarationsByDigest = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none yet."""
        return self.document.version

    @property
    def body_digest(self) -> str:
        """Return the digest of the body in force, empty if there is none."""
        return self.head.body_digest if self.head else ""

    def compare(self, version: int, body_digest: str) -> HeadComparison:
        """Compare a version and its body with the ones in force."""
        if version > self.version:
            return HeadComparison.NEWER
        if version < self.version:
            return HeadComparison.OLDER
        if body_digest == self.body_digest:
            return HeadComparison.SAME
        return HeadComparison.CONTRADICTORY

    def missing_parts(
        self, body_digest: str, new_parts: Mapping[str, bytes]
    ) -> set[str]:
        """Return the digests of a body's parts that are not here nor in `new_parts`.

        While the manifest is missing, only the manifest's digest is returned.
        """
        known = {**self.parts_by_digest, **new_parts}
        return needed_digests(body_digest, known) - known.keys()

    def adopt(self, head: Head, new_parts: Mapping[str, bytes], *, peer: str) -> None:
        """Put `head` in force if it is newer, as a whole or not at all.

        Raises `document_incomplete` or `document_invalid`, and then changes nothing.
        """
        if self.compare(head.version, head.body_digest) is not HeadComparison.NEWER:
            return
        known = {**self.parts_by_digest, **new_parts}
        declared, document = declared_document_of(
            head, known, self._declared, peer=peer
        )
        needed = needed_digests(head.body_digest, known)
        parts = {digest: known[digest] for digest in needed}
        document = with_targets_of(document, self.environment)
        self.head, self.document, self.parts_by_digest = head, document, parts
        self._declared = declared
