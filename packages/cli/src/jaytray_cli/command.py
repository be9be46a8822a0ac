"""The shape of a sub-command and its flags."""

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
    """One call of a command: its positional arguments, flags and connections."""

    arguments: list[str]
    flags: Any
    open_site: OpenSite


class Command(NamedTuple):
    """A sub-command; `name` may have two words, `arguments` are the positional ones.

    An argument in brackets may be left out; the last one may be given several times
    when it ends in three dots.
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
    """Define where the platform's services listen."""
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
    """Define the environment that a command works on."""
    define_site_flags(values)
    _define(
        absl_flags.DEFINE_string, values, "environment", "trial", "The environment."
    )


def define_change_flags(values: Any) -> None:
    """Define the flags of a change that names the version it is based on."""
    define_environment_flag(values)
    define_author_flags(values)
    _define_based_on(values, "Version that the change is based on, 0 for the first.")


def define_author_flags(values: Any) -> None:
    """Define who makes a change and why."""
    _define(
        absl_flags.DEFINE_string, values, "author", "", "Who changes; else the user."
    )
    _define(absl_flags.DEFINE_string, values, "summary", "", "What the change is for.")


def define_environments_flags(values: Any) -> None:
    """Define the flags of changes that belong to the running site."""
    define_site_flags(values)
    define_author_flags(values)
    _define(
        absl_flags.DEFINE_list,
        values,
        "environments",
        ["production", "trial"],
        "Environments to change; those without a document are left out.",
    )
    _define(
        absl_flags.DEFINE_float,
        values,
        "wait_s",
        20.0,
        "Seconds to wait until the VMs confirm.",
    )


def define_drain_flags(values: Any) -> None:
    """Define the flags of draining."""
    define_environments_flags(values)
    _define(absl_flags.DEFINE_bool, values, "undo", False, "Take work again.")


def define_promote_flags(values: Any) -> None:
    """Define the flags of a promotion."""
    define_site_flags(values)
    define_author_flags(values)
    _define_based_on(values, "Version of production that the change is based on.")


def define_account_flag(values: Any) -> None:
    """Define the flags of creating a key."""
    define_environments_flags(values)
    _define(absl_flags.DEFINE_string, values, "account", "", "Client account.")


def based_on(invocation: Invocation) -> int:
    """Return `--based_on`, which must be given."""
    version = invocation.flags.based_on
    if version is None:
        raise UsageError("--based_on=VERSION is needed; see 'jaytray diff'")
    return int(version)


def author(invocation: Invocation) -> str:
    """Return `--author`, else the name of the user."""
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
