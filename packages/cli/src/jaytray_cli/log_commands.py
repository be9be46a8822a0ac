"""Commands that read log files."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from jaytray_cli.command import Command, Invocation
from jaytray_cli.request_timeline import LogLine, parse_line, request_timeline
from jaytray_cli.results import ExitCode, Result, UsageError


async def run_explain_logs(invocation: Invocation) -> Result:
    """Show the timeline of one request from the logs of several VMs."""
    request_id, *names = invocation.arguments
    timeline = request_timeline(request_id, _read_lines(names))
    lines = [
        f"{line.time_s - timeline[0].time_s:8.3f} s  {line.fields.get('vm', '?'):20} "
        f"{line.text}"
        for line in timeline
    ]
    if not timeline:
        lines = [f"no line in these files names request {request_id}"]
    exit_code = ExitCode.DONE if timeline else ExitCode.UNCONFIRMED
    return Result(exit_code, {"events": [line.fields for line in timeline]}, lines)


def _read_lines(names: list[str]) -> Iterator[LogLine]:
    for name in names:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = parse_line(text)
                    if line is not None:
                        yield line
        except OSError as err:
            raise UsageError(f"{name}: {err.strerror}") from err


def _define_no_flags(_values: Any) -> None:
    """Define no flags besides those of every command."""


COMMANDS = (
    Command(
        "explain logs",
        ("REQUEST_ID", "FILE..."),
        "Show the timeline of a request from log files of several VMs.",
        _define_no_flags,
        run_explain_logs,
    ),
)
