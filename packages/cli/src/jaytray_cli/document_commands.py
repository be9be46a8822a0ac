"""Commands on whole documents: check, diff, apply, history, rollback."""

import pathlib
from typing import Any

from jaytray_cli import command
from jaytray_cli.command import Command, Invocation
from jaytray_cli.results import ExitCode, Result, UsageError, table
from jaytray_cli.site import Site
from jaytray_cli.vms import minimum_version
from jaytray_core.document import store
from jaytray_core.document.changes import (
    merge_operational_state,
    require_valid,
    restore_sections,
)
from jaytray_core.document.checker import CheckReport, check_text
from jaytray_core.document.difference import SectionChange, compare_sections
from jaytray_core.document.model import PRODUCTION
from jaytray_core.document.packing import PackingResult, Reachability
from jaytray_core.document.part_collection import (
    COLLECTION_INTERVAL_VERSIONS,
    collect_unused_parts,
)
from jaytray_core.document.parts import Head
from jaytray_core.document.sections import Section
from jaytray_core.errors import JaytrayError

TRIAL = "trial"


async def run_check(invocation: Invocation) -> Result:
    """Check a file; opens no connection."""
    report = check_text(_read_file(invocation.arguments[0]))
    return _check_result(report, invocation.arguments[0])


async def run_diff(invocation: Invocation) -> Result:
    """Compare a file with the version in force, or production with trial."""
    async with invocation.open_site(invocation.flags) as site:
        if not invocation.arguments:
            production, old = await read_in_force(site, PRODUCTION)
            trial, new = await read_in_force(site, TRIAL)
            title = f"{PRODUCTION} {production.version} -> {TRIAL} {trial.version}"
            return _diff_result(title, production.version, compare_sections(old, new))
        report = _check_valid_file(invocation.arguments[0])
        environment = invocation.flags.environment
        stored, old = await read_in_force(site, environment)
        changes = compare_sections(
            old, merge_operational_state(old, report.parsed.sections)
        )
        title = f"{environment} {stored.version} -> {invocation.arguments[0]}"
        return _diff_result(title, stored.version, changes)


async def run_apply(invocation: Invocation) -> Result:
    """Apply a file as the next version of an environment."""
    environment = invocation.flags.environment
    if environment == PRODUCTION:
        raise UsageError("production is changed by 'jaytray promote' only")
    based_on = command.based_on(invocation)
    report = check_text(_read_file(invocation.arguments[0]), environment=environment)
    if report.faults:
        return _check_result(report, invocation.arguments[0])
    async with invocation.open_site(invocation.flags) as site:
        stored, old = await read_in_force(site, environment)
        store.require_based_on(stored, environment, based_on)
        sections = merge_operational_state(old, report.parsed.sections)
        require_valid(sections, environment=environment)
        head = await apply_change(site, invocation, environment, based_on, sections)
    return applied_result([head], warnings=_warnings(report))


async def run_history(invocation: Invocation) -> Result:
    """List the stored versions."""
    async with invocation.open_site(invocation.flags) as site:
        heads = await store.read_history(site.key_value, invocation.flags.environment)
    rows = [("version", "author", "based on", "body", "summary")]
    rows += [
        (str(h.version), h.author, str(h.based_on), h.body_digest[:12], h.summary)
        for h in heads
    ]
    data = {"versions": [head_data(head) for head in heads]}
    return Result(ExitCode.DONE, data, table(rows))


async def run_rollback(invocation: Invocation) -> Result:
    """Apply the body of an earlier version as the next version."""
    environment = invocation.flags.environment
    based_on = command.based_on(invocation)
    version = _parse_version(invocation.arguments[0])
    async with invocation.open_site(invocation.flags) as site:
        old_head = await store.read_version(site.key_value, environment, version)
        old = await store.read_sections(site.key_value, old_head)
        stored, current = await read_in_force(site, environment)
        store.require_based_on(stored, environment, based_on)
        sections = restore_sections(current, old)
        require_valid(sections, environment=environment)
        head = await apply_change(
            site,
            invocation,
            environment,
            based_on,
            sections,
            summary=f"rollback to version {version}",
        )
    is_same = head.body_digest == old_head.body_digest
    warnings = [] if is_same else ["keys and drained names in force were kept"]
    return applied_result([head], warnings=warnings)


async def read_in_force(
    site: Site, environment: str
) -> tuple[store.StoredHead, list[Section]]:
    """Return the head in force and its sections; no sections at version 0."""
    stored = await store.read_head(site.key_value, environment)
    if stored.head is None:
        return stored, []
    return stored, await store.read_sections(site.key_value, stored.head)


async def apply_change(
    site: Site,
    invocation: Invocation,
    environment: str,
    based_on: int,
    sections: list[Section],
    *,
    summary: str = "",
) -> Head:
    """Store sections as the next version, with the operator as its author."""
    change = store.Change(
        environment=environment,
        based_on=based_on,
        author=command.author(invocation),
        summary=invocation.flags.summary or summary,
        minimum_version=await minimum_version(site, environment),
    )
    head = await store.apply(site.key_value, change, sections)
    if head.version % COLLECTION_INTERVAL_VERSIONS == 0:
        await _collect_unused_parts(site)
    return head


def applied_result(heads: list[Head], *, warnings: list[str]) -> Result:
    """Return the result of an accepted change."""
    lines = [f"{h.environment} is now at version {h.version}" for h in heads]
    data = {"applied": [head_data(head) for head in heads], "warnings": warnings}
    return Result(ExitCode.DONE, data, lines + [f"warning: {w}" for w in warnings])


def head_data(head: Head) -> dict[str, Any]:
    """Return the JSON form of a version."""
    return head._asdict()


async def _collect_unused_parts(site: Site) -> None:
    """Delete unused parts; errors are ignored because the change is already stored."""
    try:
        await collect_unused_parts(site.key_value)
    except JaytrayError:
        return


def _read_file(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise UsageError(f"{path} cannot be read: {err}") from err


def _check_valid_file(path: str) -> CheckReport:
    report = check_text(_read_file(path))
    require_valid(report.parsed.sections, environment=TRIAL)
    return report


def _parse_version(text: str) -> int:
    if not text.isdecimal():
        raise UsageError(f"{text} is not a version number")
    return int(text)


def _check_result(report: CheckReport, path: str) -> Result:
    faults = [fault._asdict() for fault in report.faults]
    packings = [p for p in [report.all_domains, *report.without_domain] if p]
    data = {"faults": faults, "reachability": [p._asdict() for p in packings]}
    lines = [f"{path}:{f.line}: {f.code}: {f.text}" for f in report.faults]
    lines += map(_packing_line, packings)
    if report.faults:
        return Result(ExitCode.FAULTS, data, lines)
    exit_code = ExitCode.DONE if report.is_proven else ExitCode.UNPROVEN
    return Result(exit_code, data, [*lines, f"{path}: no faults"])


def _packing_line(packing: PackingResult) -> str:
    place = f"without {packing.lost_domain}" if packing.lost_domain else "all domains"
    numbers = f"{packing.needed_mib} of {packing.available_mib} MiB"
    if packing.outcome is Reachability.PROVEN:
        return f"{place}: every model can be reachable ({numbers})"
    names = ", ".join(packing.unplaced)
    if packing.outcome is Reachability.IMPOSSIBLE:
        return f"{place}: not every model can be reachable ({numbers}): {names}"
    return f"{place}: cannot prove that every model fits ({numbers}): {names}"


def _warnings(report: CheckReport) -> list[str]:
    packings = [p for p in [report.all_domains, *report.without_domain] if p]
    return [
        _packing_line(packing)
        for packing in packings
        if packing.outcome is not Reachability.PROVEN
    ]


def _diff_result(title: str, version: int, changes: list[SectionChange]) -> Result:
    lines = [title]
    for change in changes:
        lines.append(f"{change.kind.value} [{change.title}]")
        lines += [f"    {line}" for line in change.lines]
    data = {"based_on": version, "changes": [c._asdict() for c in changes]}
    lines.append(f"{len(changes)} sections differ; apply with --based_on={version}")
    return Result(ExitCode.DONE, data, lines)


COMMANDS = (
    Command(
        "check",
        ("FILE",),
        "List each fault of a document with its line, and report whether every model\n"
        "can be reachable, also after the loss of one failure domain.",
        lambda _values: None,
        run_check,
    ),
    Command(
        "diff",
        ("[FILE]",),
        "Compare a file with the version in force; without a file, production\n"
        "with trial.",
        command.define_environment_flag,
        run_diff,
    ),
    Command(
        "apply",
        ("FILE",),
        "Apply a file as the next version. Keys and drained names in force are kept.",
        command.define_change_flags,
        run_apply,
    ),
    Command(
        "history",
        (),
        "List the stored versions, latest first.",
        command.define_environment_flag,
        run_history,
    ),
    Command(
        "rollback",
        ("VERSION",),
        "Apply an earlier version as the next one. Withdrawn keys stay withdrawn.",
        command.define_change_flags,
        run_rollback,
    ),
)
