"""Selects the targets that may serve a request, the best available health first."""

from collections.abc import Mapping

from jaytray_core import message_registry as messages
from jaytray_core.document.model import Document, Model
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.targets import Resident
from jaytray_server.ports import RoutingRequest
from jaytray_server.process.target_table import TargetTable

NO_REPLICA_RETRY_AFTER_S = 2.0


def base_model(document: Document, name: str) -> Model:
    """Return the model of that name, or the base model of the adapter."""
    adapter = document.adapters_by_name.get(name)
    model = document.models_by_name.get(adapter.model if adapter else name)
    if model is None:
        raise JaytrayError(messages.MODEL_UNKNOWN, name=name, step=Step.ROUTE)
    return model


def preferred_targets(
    request: RoutingRequest, document: Document, table: TargetTable
) -> list[str]:
    """Return the usable targets of the best available health, in stable order.

    Targets that are neither suspected nor slow come first, then those that are not
    suspected, then all others.
    """
    adapter = document.adapters_by_name.get(request.name)
    replicas = table.ready_replicas(request.name)
    usable = _usable_targets(request, replicas, document, table)
    if adapter is not None:
        base = table.ready_replicas(adapter.model)
        usable = usable or _usable_targets(request, base, document, table)
    if not usable:
        raise JaytrayError(
            messages.NO_REPLICA,
            name=request.name,
            step=Step.ROUTE,
            retry_after_s=NO_REPLICA_RETRY_AFTER_S,
        )
    healthy = [name for name in usable if not table.is_suspected(name)]
    quick = [name for name in healthy if not table.is_slow(name)]
    return quick or healthy or usable


def _usable_targets(
    request: RoutingRequest,
    replicas: Mapping[str, list[Resident]],
    document: Document,
    table: TargetTable,
) -> list[str]:
    base = base_model(document, request.name).name
    return [
        name
        for name in replicas
        if name not in request.excluded_targets
        and (target := document.targets_by_name.get(name)) is not None
        and not target.is_drained
        and not table.is_leaving(name)
        and request.model_version in ("", table.model_version_at(name, base))
    ]
