"""Builds the timeline of one request from the logs of several VMs.

A log line consists of key=value pairs. Text before the first pair is ignored, so that
logs whose lines have a prefix can be read as well.
"""

import re
from collections.abc import Iterable
from typing import NamedTuple

_PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\\\]|\\\\.)*"|\S*)')
# Seconds before the end of a request in which a state change may explain its outcome.
STATE_WINDOW_S = 15.0
# Events that affect every request of the VM that logs them.
_VM_EVENTS = frozenset(
    (
        "route_table_fetched",
        "route_table_in_force",
        "store_lost",
        "store_regained",
        "members_changed",
        "drain_started",
        "gateway_started",
    )
)
# Events about the placement of models, considered from every VM.
_PLACEMENT_EVENTS = frozenset(
    (
        "placement_step",
        "placement_taken",
        "placement_lost",
        "order_given",
        "loads_forecast",
    )
)
# Outcomes that are decided before a target is selected.
_OUTCOMES_BEFORE_PLACEMENT = frozenset(
    ("rate_exceeded", "key_missing", "key_unknown", "route_unknown", "vm_isolated")
)


class LogLine(NamedTuple):
    """A parsed line; `time_s` is the time of day, `text` starts with the event."""

    time_s: float
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> LogLine | None:
    """Parse a line; returns None if it lacks an event or a time."""
    fields = {key: value.strip('"') for key, value in _PAIR_PATTERN.findall(text)}
    stamp = re.search(r"T(\d+):(\d+):([\d.]+)", fields.get("timestamp", ""))
    if stamp is None or "event" not in fields:
        return None
    hours, minutes, seconds = (float(part) for part in stamp.groups())
    start = text.index("event=")
    return LogLine(hours * 3600 + minutes * 60 + seconds, fields, text[start:].strip())


def request_timeline(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the request's lines and the state changes that may explain it, by time."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    request_lines = [
        line for line in ordered if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    end_s = request_lines[-1].time_s
    vms = {line.fields.get("vm", "") for line in request_lines}
    targets = {line.fields.get("target", "") for line in request_lines} - {""}
    models = {
        line.fields.get("replica", "").partition("/")[0]
        for line in request_lines
        if line.fields.get("outcome") not in _OUTCOMES_BEFORE_PLACEMENT
    } - {""}
    timeline = [
        line
        for line in ordered
        if 0 <= end_s - line.time_s <= STATE_WINDOW_S
        and _is_relevant(line.fields, vms, targets, models)
    ]
    chosen = {(line.time_s, line.text): line for line in [*timeline, *request_lines]}
    return sorted(chosen.values(), key=lambda line: line.time_s)


def _is_relevant(
    fields: dict[str, str], vms: set[str], targets: set[str], models: set[str]
) -> bool:
    event = fields["event"]
    if "request_id" in fields:
        return False
    if event in _PLACEMENT_EVENTS:
        named_models = {
            fields.get(key, "").partition("/")[0]
            for key in ("model", "replica", "makes_room_for")
        }
        forecasts = fields.get("ready_in_s", "").split(",")
        named_models |= {forecast.partition(":")[0] for forecast in forecasts}
        return event.startswith(("placement_taken", "placement_lost")) or bool(
            named_models & models
        )
    if fields.get("vm", "") not in vms:
        return False
    return event in _VM_EVENTS or fields.get("target", "") in targets
