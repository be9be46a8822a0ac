"""Names of replicas: `model`, or `model/adapter` for one of its adapters."""

from collections.abc import Iterable


def replica_name(model: str, adapter: str) -> str:
    """Return the replica name of a model, or of an adapter if `adapter` is set."""
    return f"{model}/{adapter}" if adapter else model


def split_replica(name: str) -> tuple[str, str]:
    """Return model and adapter; the adapter is empty if the name has none."""
    model, _, adapter = name.partition("/")
    return model, adapter


def models_with_adapters(names: Iterable[str]) -> set[str]:
    """Return the models that the adapters among `names` belong to."""
    return {model for model, adapter in map(split_replica, names) if adapter}
