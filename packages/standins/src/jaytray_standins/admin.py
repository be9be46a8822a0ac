"""The `/admin/` interface of a stand-in: faults, records and actions."""

from collections.abc import Callable
from typing import Any, NotRequired, TypedDict

import msgspec
from litestar import Response, delete, get, post
from litestar.params import FromPath
from litestar.types import ControllerRouterHandler

from jaytray_core.codec import encode_json
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.listener import AnyRequest, json_response

# Actions by name; each takes the query parameter `argument`.
Actions = dict[str, Callable[[str], None]]


class FaultMessage(TypedDict):
    """JSON form of a `Fault`, which documents the fields."""

    kind: FaultKind
    operation: NotRequired[str]
    times: NotRequired[int]
    delay_s: NotRequired[float]
    revision: NotRequired[int]
    pieces: NotRequired[int]


def admin_handlers(
    faults: FaultSwitches, records: Callable[[], dict[str, Any]], actions: Actions
) -> list[ControllerRouterHandler]:
    """Return the handlers of `/admin/faults`, `/admin/records` and actions.

    POST `/admin/faults` sets a fault, DELETE clears all faults, GET
    `/admin/records` returns what the stand-in has recorded, POST
    `/admin/actions/NAME?argument=TEXT` runs an action.
    """

    @post("/admin/faults")
    async def set_fault(request: AnyRequest) -> Response[Any]:
        try:
            message = msgspec.json.decode(await request.body(), type=FaultMessage)
        except msgspec.DecodeError as err:
            return Response(str(err).encode(), status_code=400)
        faults.set(Fault(**message))
        return json_response(b"true")

    @delete("/admin/faults", status_code=200)
    async def clear_faults() -> Response[Any]:
        faults.clear()
        return json_response(b"true")

    @get("/admin/records")
    async def show_records() -> Response[Any]:
        return json_response(encode_json(records()))

    @post("/admin/actions/{name:str}")
    async def run_action(request: AnyRequest, name: FromPath[str]) -> Response[Any]:
        if name not in actions:
            return Response(b"unknown action", status_code=404)
        actions[name](str(request.query_params.get("argument", "")))
        return json_response(b"true")

    return [set_fault, clear_faults, show_records, run_action]
