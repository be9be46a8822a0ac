"""Commands that query the VMs: status, promote, quarantine, explain."""

import asyncio
from typing import Any
from urllib.parse import quote

from jaytray_cli import command
from jaytray_cli.command import Command, Invocation
from jaytray_cli.document_commands import (
    TRIAL,
    applied_result,
    apply_change,
    read_in_force,
)
from jaytray_cli.results import ExitCode, Result, table
from jaytray_cli.site import Site
from jaytray_cli.vms import VmReport, read_reports, require_running
from jaytray_core import document_messages
from jaytray_core.document.changes import refuse_unsafe_promotion, require_valid
from jaytray_core.document.model import PRODUCTION
from jaytray_core.document.store import read_head, require_based_on
from jaytray_core.errors import JaytrayError, Step

QUARANTINE_PATH = "/admin/quarantine"
EXPLAIN_PATH = "/admin/explain"


async def run_status(invocation: Invocation) -> Result:
    """Show the version that each VM runs, and the unreachable models."""
    async with invocation.open_site(invocation.flags) as site:
        reports = await read_reports(site)
        version_by_environment = await _versions_in_force(site)
    header = ("VM", "domain", "state", "environment", "version", "body", "alarms")
    rows: list[tuple[str, ...]] = [header]
    rows += [_status_row(report) for report in reports]
    unreachable = _unreachable(reports)
    lines = [f"{e}: version {v}" for e, v in version_by_environment.items()]
    lines += [*table(rows), f"unreachable: {', '.join(unreachable) or 'nothing'}"]
    silent = [report.vm.vm_id for report in reports if report.status is None]
    data = {
        "versions": version_by_environment,
        "vms": [{**r.vm._asdict(), "document": r.status} for r in reports],
        "silent": silent,
        "unreachable": unreachable,
    }
    exit_code = ExitCode.UNCONFIRMED if silent else ExitCode.DONE
    return Result(exit_code, data, lines)


async def run_promote(invocation: Invocation) -> Result:
    """Apply to production exactly the body that all live VMs of trial run."""
    based_on = command.based_on(invocation)
    async with invocation.open_site(invocation.flags) as site:
        trial, sections = await read_in_force(site, TRIAL)
        if trial.head is None:
            raise JaytrayError(
                document_messages.PROMOTION_REFUSED,
                step=Step.CONFIGURATION,
                detail="it has no document",
            )
        require_running(await read_reports(site), trial.head)
        stored, production = await read_in_force(site, PRODUCTION)
        require_based_on(stored, PRODUCTION, based_on)
        refuse_unsafe_promotion(production, sections)
        require_valid(sections, environment=PRODUCTION)
        head = await apply_change(
            site,
            invocation,
            PRODUCTION,
            based_on,
            sections,
            summary=f"promote {TRIAL} version {trial.version}",
        )
    return applied_result([head], warnings=[])


async def run_quarantine_list(invocation: Invocation) -> Result:
    """List the quarantined requests that the VMs report."""
    async with invocation.open_site(invocation.flags) as site:
        return _responses_result(await _call_all_vms(site, "GET", QUARANTINE_PATH))


async def run_quarantine_lift(invocation: Invocation) -> Result:
    """Lift the quarantine of a request on all VMs."""
    path = f"{QUARANTINE_PATH}/{quote(invocation.arguments[0], safe='')}"
    async with invocation.open_site(invocation.flags) as site:
        return _responses_result(await _call_all_vms(site, "DELETE", path))


async def run_explain(invocation: Invocation) -> Result:
    """Show what the VMs report about a request."""
    path = f"{EXPLAIN_PATH}/{quote(invocation.arguments[0], safe='')}"
    async with invocation.open_site(invocation.flags) as site:
        return _responses_result(await _call_all_vms(site, "GET", path))


async def _call_all_vms(site: Site, method: str, path: str) -> dict[str, Any]:
    vms = sorted(await site.list_vms())
    responses = await asyncio.gather(*(site.call_vm(vm, method, path) for vm in vms))
    return {vm.vm_id: response for vm, response in zip(vms, responses, strict=True)}


def _responses_result(response_by_vm: dict[str, Any]) -> Result:
    found = {vm_id: a for vm_id, a in response_by_vm.items() if a is not None}
    absent = sorted(response_by_vm.keys() - found.keys())
    lines = [f"{vm_id}: {response}" for vm_id, response in found.items()]
    if absent:
        lines.append(f"no answer from {', '.join(absent)}")
    exit_code = ExitCode.DONE if found else ExitCode.UNCONFIRMED
    return Result(exit_code, {"answers": found, "silent": absent}, lines)


async def _versions_in_force(site: Site) -> dict[str, int]:
    heads = {
        name: await read_head(site.key_value, name) for name in (TRIAL, PRODUCTION)
    }
    return {name: stored.version for name, stored in heads.items()}


def _status_row(report: VmReport) -> tuple[str, ...]:
    vm, status = report
    head = (vm.vm_id, vm.failure_domain, vm.state.value)
    if status is None:
        return (*head, "no answer", "-", "-", "-")
    return (
        *head,
        status["environment"],
        str(status["document_version"]),
        status["body_digest"][:12] or "-",
        str(status["alarms"]),
    )


def _unreachable(reports: list[VmReport]) -> list[str]:
    names: set[str] = set()
    for report in reports:
        if report.status is not None:
            names.update(report.status.get("unreachable_models", []))
    return sorted(names)


COMMANDS = (
    Command(
        "status",
        (),
        "Show the version that each VM runs, and the unreachable models.",
        command.define_site_flags,
        run_status,
    ),
    Command(
        "promote",
        (),
        "Apply to production exactly the body that all live VMs of trial run.",
        command.define_promote_flags,
        run_promote,
    ),
    Command(
        "quarantine list",
        (),
        "List quarantined requests.",
        command.define_site_flags,
        run_quarantine_list,
    ),
    Command(
        "quarantine lift",
        ("DIGEST",),
        "Lift the quarantine of a request on all VMs.",
        command.define_site_flags,
        run_quarantine_lift,
    ),
    Command(
        "explain",
        ("REQUEST_ID",),
        "Show the decisions that were made for a request.",
        command.define_site_flags,
        run_explain,
    ),
)
