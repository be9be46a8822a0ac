"""Formats the measured tables of docs/CAPACITY.md and inserts them at its markers."""

import re
from collections.abc import Iterable, Sequence
from pathlib import Path

from tools.capacity import design
from tools.capacity.processes import IdleCost
from tools.capacity.roles import Role
from tools.capacity.slopes import Slope

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"


def replace_block(text: str, name: str, block: str) -> str:
    """Return the page with the generated block `name` replaced.

    Raises ValueError when the page has no such block.
    """
    pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- /{name} -->)", re.DOTALL)
    replaced, count = pattern.subn(lambda found: found[1] + block + found[2], text)
    if count != 1:
        raise ValueError(f"docs/CAPACITY.md has {count} blocks named {name}")
    return replaced


def slopes_table(slopes: Iterable[Slope]) -> str:
    """Return the table of measured slopes."""
    rows = (
        (
            slope.name,
            slope.unit,
            f"{slope.base:.1f}",
            f"{slope.per_item:.3f}",
            slope.item,
            ", ".join(f"{size:g}: {cost:.1f}" for size, cost in slope.points),
        )
        for slope in slopes
    )
    header = ("what", "unit", "base", "per item", "item", "measured (size: cost)")
    return _table(header, rows)


def idle_table(costs: Iterable[IdleCost]) -> str:
    """Return the table of the costs of idle sites."""
    rows = (
        (
            str(cost.vms),
            str(cost.targets),
            f"{100 * cost.core_fraction:.2f} %",
            f"{cost.bytes_per_s:.0f}",
            f"{cost.messages_per_s:.1f}",
            f"{cost.key_value_calls_per_s:.2f}",
            f"{cost.resident_mib:.0f}",
        )
        for cost in costs
    )
    header = (
        "VMs",
        "targets",
        "of a core",
        "peer bytes/s",
        "peer messages/s",
        "key-value calls/s",
        "resident MiB",
    )
    return _table(header, rows)


def roles_table(roles: Sequence[Role]) -> str:
    """Return the table of control roles at the design size, with total and budget."""
    rows = [
        (
            role.name,
            role.mechanism,
            f"{role.state_bytes / 2**20:.2f}",
            f"{role.messages_per_s:.1f}",
            f"{role.bytes_per_s:.0f}",
            f"{100 * role.core_fraction:.3f} %",
            f"{role.fleet_reads_per_s:.0f}",
            f"{role.fleet_writes_per_s:.1f}",
        )
        for role in roles
    ]
    total = (
        "all",
        "",
        f"{sum(r.state_bytes for r in roles) / 2**20:.2f}",
        f"{sum(r.messages_per_s for r in roles):.1f}",
        f"{sum(r.bytes_per_s for r in roles):.0f}",
        f"{100 * sum(r.core_fraction for r in roles):.3f} %",
        f"{sum(r.fleet_reads_per_s for r in roles):.0f}",
        f"{sum(r.fleet_writes_per_s for r in roles):.1f}",
    )
    budget = (
        "budget",
        "",
        f"{design.CONTROL_MEMORY_BYTES / 2**20:.0f}",
        "",
        f"{design.CONTROL_BYTES_PER_S}",
        f"{100 * design.CONTROL_CORE_FRACTION:.1f} %",
        f"{design.KEY_VALUE_READS_PER_S}",
        f"{design.KEY_VALUE_WRITES_PER_S}",
    )
    header = (
        "role",
        "mechanism",
        "state MiB",
        "messages/s",
        "bytes/s",
        "of a core",
        "key-value reads/s, fleet",
        "writes/s, fleet",
    )
    return _table(header, [*rows, total, budget])


def request_table(streamed: Slope, whole: Slope, http_call_us: float) -> str:
    """Return the table of the cost of requests at the peak load, per VM."""
    requests = design.REQUESTS_PER_S / design.VMS
    tokens = design.TOKENS_PER_S / design.VMS
    per_request_s = max(0.0, streamed.base) * requests / 1e6
    per_token_s = streamed.per_item * tokens / 1e6
    rows = [
        ("requests a second and VM", f"{requests:.2f}"),
        ("streamed tokens a second and VM", f"{tokens:.0f}"),
        ("processor time of a request", f"{streamed.base / 1000:.2f} ms"),
        ("processor time of a streamed token", f"{streamed.per_item:.1f} us"),
        ("of a core, requests", f"{100 * per_request_s:.1f} %"),
        ("of a core, tokens", f"{100 * per_token_s:.1f} %"),
        ("of a core, together", f"{100 * (per_request_s + per_token_s):.1f} %"),
        (
            "whole answer of 16 tokens, 1 and 16 callers",
            f"{whole.points[0][1] / 1000:.2f} and {whole.points[-1][1] / 1000:.2f} ms",
        ),
    ]
    rows.append(("one call to the key-value service", f"{http_call_us / 1000:.2f} ms"))
    return _table(("request path at the peak", "figure"), rows)


def _table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"
