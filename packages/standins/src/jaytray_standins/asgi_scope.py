"""ASGI scopes of requests made without a socket."""

from typing import Any


def http_scope(
    method: str, path: str, headers: list[tuple[str, str]]
) -> dict[str, Any]:
    """Return the scope of an HTTP/1.1 request without a query."""
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "root_path": "",
        "query_string": b"",
        "headers": [(k.encode(), v.encode()) for k, v in headers],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "state": {},
    }
