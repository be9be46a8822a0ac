"""Which heads of final responses are valid HTTP/1.

The parsers accept some that are not: statuses of a class that does not exist, other
versions of the protocol, and a length beside chunks, which two ends may frame
differently.
"""

from collections.abc import Set

FINAL_STATUSES = range(200, 600)


def head_fault(status: int, version: bytes, header_names: Set[bytes]) -> str | None:
    """Return why the head is not valid, or None.

    `version` is without the protocol's name; `header_names` are in lower case.
    """
    if status not in FINAL_STATUSES:
        return f"status {status} is not valid"
    if not version.startswith(b"1."):
        return f"version {version.decode('latin-1')} is not spoken"
    if header_names >= {b"content-length", b"transfer-encoding"}:
        return "response has both a length and chunks"
    return None
