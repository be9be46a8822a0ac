"""Operator endpoints to list and release suspected and quarantined requests."""

from collections.abc import Callable, Sequence
from typing import Any, TypedDict

from litestar import Request, delete, get
from litestar.handlers import HTTPRouteHandler

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.logs import get_logger
from jaytray_server.process.quarantine.evidence import Suspect
from jaytray_server.process.quarantine.quarantine import Quarantine

AdminRequest = Request[Any, Any, Any]

_log = get_logger()


class SuspectEntry(TypedDict):
    """One suspected or quarantined request; `until_s` is a Unix time in seconds."""

    digest: str
    is_quarantined: bool
    crashes: list[str]
    until_s: float


def make_quarantine_routes(
    quarantine: Quarantine, *, check_operator: Callable[[AdminRequest], None]
) -> Sequence[HTTPRouteHandler]:
    """Return the handlers of `/admin/quarantine`."""

    @get("/admin/quarantine")
    async def list_suspects(request: AdminRequest) -> list[SuspectEntry]:
        check_operator(request)
        return [_entry(suspect) for suspect in quarantine.list_suspects()]

    @delete("/admin/quarantine/{digest:str}", status_code=200)
    async def lift(request: AdminRequest, digest: str) -> SuspectEntry:
        check_operator(request)
        found = {s.digest: s for s in quarantine.list_suspects()}.get(digest)
        if found is None:
            raise JaytrayError(
                messages.NOT_FOUND, step=Step.ROUTE, what="quarantine", name=digest
            )
        _log.info("quarantine_lifted", digest=digest)
        await quarantine.lift(digest)
        return _entry(found)

    return [list_suspects, lift]


def _entry(suspect: Suspect) -> SuspectEntry:
    return SuspectEntry(
        digest=suspect.digest,
        is_quarantined=suspect.is_quarantined,
        crashes=list(suspect.crash_ids),
        until_s=suspect.until_s,
    )
