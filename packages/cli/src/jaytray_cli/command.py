"""Definitions of sub-commands, their flags and their help texts."""

import getpass
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from absl import flags as absl_flags

from jaytray_cli.results import Result, UsageError
from jaytray_cli.site import OpenSite

_MODULE = "jaytray"

# Adds flags to the flag values of one command.
DefineFlags = Callable[[Any], None]


class Invocation(NamedTuple):
    """The positional arguments, flags and connections of one command run."""

    arguments: list[str]
    flags: Any
    open_site: OpenSite


class Command(NamedTuple):
    """A sub-command; its `name` may consist of two words.

    `arguments` are the positional arguments as the usage line shows them: one in
    brackets is optional, and a last one that ends in three dots may be repeated.
    """

    name: str
    arguments: tuple[str, ...]
    text: str
    define_flags: DefineFlags
    run: Callable[[Invocation], Awaitable[Result]]


def define_output_flags(values: Any) -> None:
    """Define the flags that every command has."""
    _define(absl_flags.DEFINE_bool, values, "json", False, "Print one JSON object.")


def define_site_flags(values: Any) -> None:
    """Define the flags for the addresses of the platform's services."""
    _define(
        absl_flags.DEFINE_string,
        values,
        "key_value",
        "",
        "IP:port of the key-value service.",
    )
    _define(
        absl_flags.DEFINE_string, values, "vm_list", "", "IP:port of the list of VMs."
    )


def define_environment_flag(values: Any) -> None:
    """Define the flags of a command that works on one environment."""
    define_site_flags(values)
    _define(
        absl_flags.DEFINE_string, values, "environment", "trial", "Environment to use."
    )


def define_change_flags(values: Any) -> None:
    """Define the flags of a change to one environment, with its base version."""
    define_environment_flag(values)
    define_author_flags(values)
    _define_based_on(values, "Version that the change is based on, 0 for the first.")


def define_author_flags(values: Any) -> None:
    """Define the flags for the author and the purpose of a change."""
    _define(
        absl_flags.DEFINE_string, values, "author", "", "Author; by default the user."
    )
    _define(absl_flags.DEFINE_string, values, "summary", "", "Purpose of the change.")


def define_multi_environment_flags(values: Any) -> None:
    """Define the flags of a change to several environments that VMs confirm."""
    define_site_flags(values)
    define_author_flags(values)
    _define(
        absl_flags.DEFINE_list,
        values,
        "environments",
        ["production", "trial"],
        "Environments to change; those without a document are skipped.",
    )
    _define(
        absl_flags.DEFINE_float,
        values,
        "wait_s",
        20.0,
        "Seconds to wait for the VMs to confirm.",
    )


def define_drain_flags(values: Any) -> None:
    """Define the flags of `jaytray drain`."""
    define_multi_environment_flags(values)
    _define(absl_flags.DEFINE_bool, values, "undo", False, "End the drain.")


def define_promote_flags(values: Any) -> None:
    """Define the flags of `jaytray promote`."""
    define_site_flags(values)
    define_author_flags(values)
    _define_based_on(values, "Version of production that the change is based on.")


def define_key_create_flags(values: Any) -> None:
    """Define the flags of `jaytray key create`."""
    define_multi_environment_flags(values)
    _define(
        absl_flags.DEFINE_string, values, "account", "", "Client account of the key."
    )


def based_on(invocation: Invocation) -> int:
    """Return `--based_on`; raises `UsageError` if it is missing."""
    version = invocation.flags.based_on
    if version is None:
        raise UsageError("--based_on=VERSION is required; 'jaytray diff' shows it")
    return int(version)


def author(invocation: Invocation) -> str:
    """Return `--author`, by default the name of the current user."""
    return str(invocation.flags.author) or getpass.getuser()


def usage(command: Command, values: Any) -> str:
    """Return the help text of a command."""
    arguments = " ".join(command.arguments)
    head = f"jaytray {command.name} {arguments}".rstrip()
    return f"usage: {head} [flags]\n\n{command.text}\n{values.module_help(_MODULE)}\n"


def _define_based_on(values: Any, text: str) -> None:
    _define(absl_flags.DEFINE_integer, values, "based_on", None, text)


def _define(define: Any, values: Any, name: str, default: object, text: str) -> None:
    define(name, default, text, flag_values=values, module_name=_MODULE)
