"""Generates documents and load reports of a given size to measure costs with."""

from jaytray_core.document.model import (
    Adapter,
    ClientAccount,
    Document,
    Key,
    Model,
    Target,
    empty_document,
)
from jaytray_core.targets import LoadReport, Resident, ResidentState

MEMORY_MIB = 80_000
MODEL_MIB = 20_000
RESIDENTS_PER_TARGET = 4


def make_models(count: int) -> dict[str, Model]:
    """Return `count` models, by name."""
    return {
        f"model-{n}": Model(f"model-{n}", "1", MODEL_MIB, 2, 8, 512, 0.62, 0.043)
        for n in range(count)
    }


def make_targets(count: int) -> dict[str, Target]:
    """Return `count` targets with two accelerators each, by name."""
    return {
        f"target-{n}": Target(
            f"target-{n}",
            f"10.0.{n // 250}.{n % 250 + 1}:8000",
            f"zone-{n % 7}",
            2,
            MEMORY_MIB,
            True,
            32,
            False,
        )
        for n in range(count)
    }


def make_document(
    *, models: int = 0, targets: int = 0, adapters: int = 0, accounts: int = 0
) -> Document:
    """Return a document with the given number of declarations of each kind."""
    account_names = [f"account-{n}" for n in range(accounts)]
    keys = [
        Key(f"key-{n}", name, f"sha256:{n:064x}")
        for n, name in enumerate(account_names)
    ]
    return empty_document("capacity")._replace(
        version=1,
        models_by_name=make_models(models),
        targets_by_name=make_targets(targets),
        adapters_by_name={
            f"adapter-{n}": Adapter(
                f"adapter-{n}", f"model-{n % max(1, models)}", "1", 200
            )
            for n in range(adapters)
        },
        accounts_by_name={
            name: ClientAccount(name, 1000.0, 50_000, 1.0) for name in account_names
        },
        keys_by_digest={key.digest: key for key in keys},
    )


def make_report(target: int, *, models: int, taken_at_s: float = 1.0) -> LoadReport:
    """Return a load report with a few ready replicas."""
    names = [
        f"model-{(target * RESIDENTS_PER_TARGET + k) % max(1, models)}"
        for k in range(RESIDENTS_PER_TARGET)
    ]
    residents = [
        Resident(name, name, "1", k % 2, MODEL_MIB, ResidentState.READY)
        for k, name in enumerate(names)
    ]
    return LoadReport(
        f"target-{target}", "boot", taken_at_s, residents, [], 1, 4, 0, 800, False
    )
