"""Results of commands, and the exit codes that scripts rely on."""

import enum
import json
from collections.abc import Sequence
from typing import Any, NamedTuple

from jaytray_core import document_messages, message_registry as messages
from jaytray_core.errors import JaytrayError


class ExitCode(enum.IntEnum):
    """Exit codes of `jaytray`; docs/operations/document.md explains them."""

    DONE = 0
    FAULTS = 1
    USAGE = 2
    UNPROVEN = 3
    UNAVAILABLE = 4
    CONFLICT = 5
    UNCONFIRMED = 6
    UNCERTAIN = 7
    REFUSED = 8


class Result(NamedTuple):
    """Outcome of a command: `data` for scripts, `lines` for people."""

    exit_code: ExitCode
    data: dict[str, Any]
    lines: list[str]


class UsageError(Exception):
    """The command line is invalid; the text says what is wrong."""


_EXIT_CODE_BY_MESSAGE = {
    document_messages.DOCUMENT_INVALID.code: ExitCode.FAULTS,
    messages.KEY_VALUE_UNAVAILABLE.code: ExitCode.UNAVAILABLE,
    messages.VM_LIST_UNAVAILABLE.code: ExitCode.UNAVAILABLE,
    messages.KEY_VALUE_UNCERTAIN.code: ExitCode.UNCERTAIN,
    document_messages.VERSION_CONFLICT.code: ExitCode.CONFLICT,
}


def result_of_error(error: JaytrayError) -> Result:
    """Return the result of a command that raised `error`."""
    exit_code = _EXIT_CODE_BY_MESSAGE.get(error.code, ExitCode.REFUSED)
    remedy = error.template.remedy
    data = {"code": error.code, "error": error.text, "remedy": remedy}
    return Result(exit_code, data, [f"{error.code}: {error.text}", remedy])


def format_result(result: Result, *, is_json: bool) -> str:
    """Return a result as one JSON object or as lines."""
    if is_json:
        data = {"exit_code": int(result.exit_code), **result.data}
        return json.dumps(data, sort_keys=True) + "\n"
    return "".join(line + "\n" for line in result.lines)


def table(rows: Sequence[tuple[str, ...]]) -> list[str]:
    """Return rows as lines with aligned columns."""
    if not rows:
        return []
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
