"""Entry point of `jaytray`: finds the sub-command, runs it, prints its result."""

import asyncio
import sys
from typing import TextIO

from absl import flags as absl_flags

from jaytray_cli import (
    document_commands,
    log_commands,
    site_commands,
    vm_commands,
)
from jaytray_cli.command import Command, Invocation, define_output_flags, usage
from jaytray_cli.results import (
    ExitCode,
    Result,
    UsageError,
    format_result,
    result_of_error,
)
from jaytray_cli.site import OpenSite, open_site
from jaytray_core.errors import JaytrayError

_HELP_WORDS = frozenset({"--help", "-h", "-help", "help"})

COMMANDS_BY_NAME: dict[str, Command] = {
    command.name: command
    for module in (document_commands, site_commands, vm_commands, log_commands)
    for command in module.COMMANDS
}


def console_main() -> None:
    """Run the command line of this process and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(
    arguments: list[str],
    *,
    connect: OpenSite = open_site,
    stdout: TextIO = sys.stdout,
    stderr: TextIO = sys.stderr,
) -> int:
    """Run one command line and return its exit code."""
    command = _find_command(arguments)
    if command is None:
        is_help = not arguments or arguments[0] in _HELP_WORDS
        (stdout if is_help else stderr).write(_overview())
        return ExitCode.DONE if is_help else ExitCode.USAGE
    values = absl_flags.FlagValues()
    define_output_flags(values)
    command.define_flags(values)
    rest = arguments[len(command.name.split()) :]
    if _HELP_WORDS & set(rest):
        stdout.write(usage(command, values))
        return ExitCode.DONE
    try:
        positional = values([command.name, *rest])[1:]
        _check_positional(command, positional)
        result = asyncio.run(_run(command, Invocation(positional, values, connect)))
    except (UsageError, absl_flags.Error) as err:
        stderr.write(f"jaytray {command.name}: {err}\n")
        return ExitCode.USAGE
    stdout.write(format_result(result, is_json=values.json))
    return result.exit_code


async def _run(command: Command, invocation: Invocation) -> Result:
    try:
        return await command.run(invocation)
    except JaytrayError as err:
        return result_of_error(err)


def _find_command(arguments: list[str]) -> Command | None:
    for words in (2, 1):
        command = COMMANDS_BY_NAME.get(" ".join(arguments[:words]))
        if command is not None and len(arguments) >= words:
            return command
    return None


def _check_positional(command: Command, positional: list[str]) -> None:
    required = [name for name in command.arguments if not name.startswith("[")]
    is_repeatable = command.arguments[-1:] and command.arguments[-1].endswith("...")
    max_count = len(positional) if is_repeatable else len(command.arguments)
    if not len(required) <= len(positional) <= max_count:
        raise UsageError(f"expected arguments: {' '.join(command.arguments) or 'none'}")


def _overview() -> str:
    lines = ["usage: jaytray COMMAND [arguments] [flags]", ""]
    for command in COMMANDS_BY_NAME.values():
        first_line = command.text.partition("\n")[0]
        lines.append(f"  {command.name:16} {first_line}")
    return "\n".join([*lines, "", "'jaytray COMMAND --help' shows the flags.", ""])
