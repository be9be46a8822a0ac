"""Operator endpoints under /admin, which require the operator token.

The settings contain the digest of the token. Without a digest the endpoints refuse
every request, because callers can reach them on the same address.
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from typing import Any

from litestar import Request, get
from litestar.handlers import HTTPRouteHandler

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.process.decision_log import DecisionLog, DecisionRecord

AdminRequest = Request[Any, Any, Any]
# Raises `operator_token_invalid` unless the request carries the operator token.
CheckOperator = Callable[[AdminRequest], None]


def make_operator_check(token_digest: str) -> CheckOperator:
    """Return the check for a digest `sha256:HEX`; an empty one refuses everything."""

    def check(request: AdminRequest) -> None:
        token = request.headers.get("authorization", "").removeprefix("Bearer ")
        digest = "sha256:" + hashlib.sha256(token.encode()).hexdigest()
        if not token_digest or not hmac.compare_digest(digest, token_digest):
            raise JaytrayError(messages.OPERATOR_TOKEN_INVALID, step=Step.AUTHENTICATE)

    return check


def make_admin_routes(
    *,
    check_operator: CheckOperator,
    status: Callable[[], dict[str, Any]],
    decisions: DecisionLog,
) -> Sequence[HTTPRouteHandler]:
    """Return the handlers for this VM's status and its recent decisions."""

    @get("/admin/status")
    async def show_status(request: AdminRequest) -> dict[str, Any]:
        check_operator(request)
        return status()

    @get("/admin/explain/{subject:str}")
    async def explain(request: AdminRequest, subject: str) -> list[dict[str, Any]]:
        check_operator(request)
        return [_as_json(record) for record in decisions.find(subject)]

    return [show_status, explain]


def _as_json(record: DecisionRecord) -> dict[str, Any]:
    return record._asdict()
