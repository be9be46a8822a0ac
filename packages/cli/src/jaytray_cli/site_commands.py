"""Commands for the keys and drains of the running site."""

import secrets
from collections.abc import Callable
from typing import NamedTuple

from jaytray_cli import command
from jaytray_cli.command import Command, Invocation
from jaytray_cli.document_commands import applied_result, apply_change, read_in_force
from jaytray_cli.results import ExitCode, Result, UsageError, result_of_error, table
from jaytray_cli.site import Site
from jaytray_cli.vms import wait_until_confirmed
from jaytray_core import message_registry as messages
from jaytray_core.document.changes import (
    create_key,
    is_withdrawn,
    key_sections,
    require_valid,
    set_drained,
    withdraw_key,
)
from jaytray_core.document.keys import digest_key
from jaytray_core.document.parts import Head
from jaytray_core.document.sections import Section
from jaytray_core.errors import JaytrayError, Step

_SECRET_BYTES = 32
_SECRET_PREFIX = "jt-"
_DRAIN_OPTION_BY_KIND = {"vm": "vms", "target": "targets"}

# Returns the sections of an environment after a change.
Edit = Callable[[list[Section]], list[Section]]


class _ChangeOutcome(NamedTuple):
    """Heads of the changed environments, and the error that stopped the others."""

    heads: list[Head]
    error: JaytrayError | None


async def run_key_create(invocation: Invocation) -> Result:
    """Create a key; its secret is shown once and only its digest is stored.

    The secret is shown even if only some of the environments were changed.
    """
    name, account = invocation.arguments[0], invocation.flags.account
    if not account:
        raise UsageError("--account=NAME is required")
    secret = _SECRET_PREFIX + secrets.token_urlsafe(_SECRET_BYTES)
    digest = digest_key(secret)

    def edit(sections: list[Section]) -> list[Section]:
        changed = create_key(sections, name=name, account=account, digest=digest)
        require_valid(changed, environment="keyed")
        return changed

    async with invocation.open_site(invocation.flags) as site:
        outcome = await _change_environments(
            site, invocation, edit, summary=f"create key {name}"
        )
    result = _outcome_result(outcome)
    lines = [*result.lines, f"key {name} (shown once): {secret}"]
    return Result(result.exit_code, {**result.data, "secret": secret}, lines)


async def run_key_withdraw(invocation: Invocation) -> Result:
    """Withdraw a key and wait until the listed VMs confirm."""
    name = invocation.arguments[0]

    def edit(sections: list[Section]) -> list[Section]:
        return withdraw_key(sections, name=name)

    return await _change_and_wait(invocation, edit, summary=f"withdraw key {name}")


async def run_key_list(invocation: Invocation) -> Result:
    """List the keys of an environment, by digest."""
    async with invocation.open_site(invocation.flags) as site:
        _, sections = await read_in_force(site, invocation.flags.environment)
    rows = [("key", "account", "state", "digest")]
    rows += [
        (
            section.title.partition(" ")[2],
            section.options["account"],
            "withdrawn" if is_withdrawn(section) else "valid",
            section.options["digest"],
        )
        for section in key_sections(sections)
    ]
    data = {"keys": [dict(zip(rows[0], row, strict=True)) for row in rows[1:]]}
    return Result(ExitCode.DONE, data, table(rows))


async def run_drain(invocation: Invocation) -> Result:
    """Drain a VM or a target, so that it gets no new work; `--undo` ends the drain."""
    kind, name = invocation.arguments
    option = _DRAIN_OPTION_BY_KIND.get(kind)
    if option is None:
        raise UsageError("expected 'drain vm ID' or 'drain target NAME'")
    is_drained = not invocation.flags.undo

    def edit(sections: list[Section]) -> list[Section]:
        changed = set_drained(sections, option=option, name=name, is_drained=is_drained)
        require_valid(changed, environment="drained")
        return changed

    summary = f"{'drain' if is_drained else 'undrain'} {kind} {name}"
    return await _change_and_wait(invocation, edit, summary=summary)


async def _change_and_wait(
    invocation: Invocation, edit: Edit, *, summary: str
) -> Result:
    async with invocation.open_site(invocation.flags) as site:
        outcome = await _change_environments(site, invocation, edit, summary=summary)
        result = _outcome_result(outcome)
        if outcome.error is not None:
            return result
        try:
            confirmation = await wait_until_confirmed(
                site, outcome.heads, wait_s=invocation.flags.wait_s
            )
        except JaytrayError as err:
            lines = [*result.lines, f"VMs could not be asked to confirm: {err.text}"]
            return Result(ExitCode.UNCONFIRMED, result.data, lines)
    data = {**result.data, **confirmation._asdict()}
    if not confirmation.unconfirmed:
        lines = [*result.lines, f"confirmed by {len(confirmation.confirmed)} VMs"]
        return Result(ExitCode.DONE, data, lines)
    names = ", ".join(confirmation.unconfirmed)
    lines = [*result.lines, f"not confirmed by {names}"]
    return Result(ExitCode.UNCONFIRMED, data, lines)


async def _change_environments(
    site: Site, invocation: Invocation, edit: Edit, *, summary: str
) -> _ChangeOutcome:
    """Apply `edit` to the version in force of each environment with a document.

    Environments that lack the edited item are skipped. An error is raised only if
    nothing was changed yet, else returned.
    """
    heads: list[Head] = []
    missing = _no_document_error(invocation)
    for environment in invocation.flags.environments:
        try:
            stored, sections = await read_in_force(site, environment)
            if stored.head is not None:
                changed = edit(sections)
                heads.append(
                    await apply_change(
                        site,
                        invocation,
                        environment,
                        stored.version,
                        changed,
                        summary=summary,
                    )
                )
        except JaytrayError as err:
            if err.code == messages.NOT_FOUND.code:
                missing = err
                continue
            if not heads:
                raise
            return _ChangeOutcome(heads, err)
    if not heads:
        raise missing
    return _ChangeOutcome(heads, None)


def _no_document_error(invocation: Invocation) -> JaytrayError:
    names = ", ".join(invocation.flags.environments)
    return JaytrayError(
        messages.NOT_FOUND, step=Step.CONFIGURATION, what="document", name=names
    )


def _outcome_result(outcome: _ChangeOutcome) -> Result:
    result = applied_result(outcome.heads, warnings=[])
    if outcome.error is None:
        return result
    failed = result_of_error(outcome.error)
    data = {**result.data, **failed.data}
    lines = [
        *result.lines,
        "failed before all environments were changed:",
        *failed.lines,
    ]
    return Result(failed.exit_code, data, lines)


COMMANDS = (
    Command(
        "key create",
        ("NAME",),
        "Create a key for a client account. The secret is shown once; the document\n"
        "contains only its digest.",
        command.define_key_create_flags,
        run_key_create,
    ),
    Command(
        "key withdraw",
        ("NAME",),
        "Withdraw a key permanently and list the VMs that have not confirmed.",
        command.define_multi_environment_flags,
        run_key_withdraw,
    ),
    Command(
        "key list",
        (),
        "List the keys of an environment, withdrawn ones included.",
        command.define_environment_flag,
        run_key_list,
    ),
    Command(
        "drain",
        ("vm|target", "NAME"),
        "Drain a VM or a target, so that it gets no new work; --undo ends the drain.",
        command.define_drain_flags,
        run_drain,
    ),
)
