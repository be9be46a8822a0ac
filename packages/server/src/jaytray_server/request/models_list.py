"""Endpoint that lists models and adapters in the shape of OpenAI's interface."""

from typing import TypedDict

from jaytray_core.codec import encode_json
from jaytray_core.document.model import Document
from jaytray_server.request.endpoint import Exchange, require_caller
from jaytray_server.request.responses import send_whole
from jaytray_server.request.services import RequestServices


class ModelEntry(TypedDict):
    """One listed model or adapter."""

    id: str
    object: str
    created: int
    owned_by: str


class ModelList(TypedDict):
    """The list of models."""

    object: str
    data: list[ModelEntry]


async def respond_with_models(services: RequestServices, exchange: Exchange) -> None:
    """Respond to `GET /v1/models` for a caller with a key."""
    require_caller(services, exchange)
    await send_whole(
        exchange.send,
        request_id=exchange.request_id,
        status=200,
        headers=[("content-type", "application/json")],
        body=encode_json(list_models(services.current_document())),
    )


def list_models(document: Document) -> ModelList:
    """Return all models and adapters that `document` declares, by name."""
    names = sorted([*document.models_by_name, *document.adapters_by_name])
    entries = [
        ModelEntry(id=name, object="model", created=0, owned_by="jaytray")
        for name in names
    ]
    return ModelList(object="list", data=entries)
