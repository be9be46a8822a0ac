"""Names of replicas: a model, or an adapter of it as `model/adapter`."""

from collections.abc import Iterable


def replica_name(model: str, adapter: str) -> str:
    """Return the name of the model, or of its adapter if there is one."""
    return f"{model}/{adapter}" if adapter else model


def split_replica(name: str) -> tuple[str, str]:
    """Return model and adapter, the latter empty in the name of a model."""
    model, _, adapter = name.partition("/")
    return model, adapter


def models_of_adapters(names: Iterable[str]) -> set[str]:
    """Return the models of those names that are an adapter's."""
    return {model for model, adapter in map(split_replica, names) if adapter}
