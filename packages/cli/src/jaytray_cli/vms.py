"""Reads the document versions that the VMs run."""

import asyncio
from typing import NamedTuple

import msgspec

from jaytray_cli.site import Site
from jaytray_core import document_messages
from jaytray_core.clock import monotonic_clock
from jaytray_core.document.parts import Head
from jaytray_core.document.status import DocumentStatus
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.vm_list import VmEntry, VmState

STATUS_PATH = "/admin/status"
_MAX_CALLS_AT_ONCE = 32
_POLL_PERIOD_S = 0.5


class VmReport(NamedTuple):
    """A listed VM and its status, None if it did not respond."""

    vm: VmEntry
    status: DocumentStatus | None


class Confirmation(NamedTuple):
    """The VMs that confirmed a version, and the listed VMs that have not."""

    confirmed: list[str]
    unconfirmed: list[str]


async def read_reports(site: Site) -> list[VmReport]:
    """Read the status of every listed VM; raises `vm_list_unavailable`."""
    semaphore = asyncio.Semaphore(_MAX_CALLS_AT_ONCE)

    async def read_report(vm: VmEntry) -> VmReport:
        async with semaphore:
            return VmReport(
                vm, _decode_status(await site.call_vm(vm, "GET", STATUS_PATH))
            )

    vms = sorted(await site.list_vms())
    return list(await asyncio.gather(*map(read_report, vms)))


async def minimum_version(site: Site, environment: str) -> int:
    """Return the lowest version above all that VMs run, 1 if these are unknown.

    Keeps versions increasing after the key-value service has lost its latest ones.
    """
    try:
        reports = await read_reports(site)
    except JaytrayError:
        return 1
    versions = [
        report.status["document_version"]
        for report in reports
        if report.status and report.status["environment"] == environment
    ]
    return max(versions, default=0) + 1


async def wait_until_confirmed(
    site: Site, heads: list[Head], *, wait_s: float
) -> Confirmation:
    """Wait until every listed VM runs the version of its environment in `heads`.

    VMs of other environments are ignored; a VM that does not respond counts as
    unconfirmed. Raises `vm_list_unavailable`.
    """
    deadline_s = monotonic_clock() + wait_s
    while True:
        confirmation = _confirmation(await read_reports(site), heads)
        if not confirmation.unconfirmed or monotonic_clock() >= deadline_s:
            return confirmation
        await asyncio.sleep(_POLL_PERIOD_S)


def require_running(reports: list[VmReport], head: Head) -> None:
    """Raise `promotion_refused` unless all live VMs of trial run exactly `head`."""
    live = [report for report in reports if report.vm.state is VmState.LIVE]
    silent = [report.vm.vm_id for report in live if report.status is None]
    if silent:
        raise _promotion_refused(f"VMs {', '.join(silent)} do not answer")
    statuses = [report.status for report in live if report.status is not None]
    running = [s for s in statuses if s["environment"] == head.environment]
    if not running:
        raise _promotion_refused("no live VM runs it")
    for status in running:
        found = (status["document_version"], status["body_digest"])
        if found != (head.version, head.body_digest):
            raise _promotion_refused(
                f"VM {status['vm_id']} runs version {found[0]}, not {head.version}"
            )


def _confirmation(reports: list[VmReport], heads: list[Head]) -> Confirmation:
    version_by_environment = {head.environment: head.version for head in heads}
    confirmed: list[str] = []
    unconfirmed: list[str] = []
    for vm, status in reports:
        if status is None:
            unconfirmed.append(vm.vm_id)
            continue
        version = version_by_environment.get(status["environment"])
        if version is not None:
            is_confirmed = status["document_version"] >= version
            (confirmed if is_confirmed else unconfirmed).append(vm.vm_id)
    return Confirmation(confirmed, unconfirmed)


def _decode_status(response: object) -> DocumentStatus | None:
    """Return the document status in a VM's response, None if there is no valid one."""
    if isinstance(response, dict):
        response = response.get("document", response)
    try:
        return msgspec.convert(response, DocumentStatus)
    except msgspec.ValidationError:
        return None


def _promotion_refused(detail: str) -> JaytrayError:
    return JaytrayError(
        document_messages.PROMOTION_REFUSED, step=Step.CONFIGURATION, detail=detail
    )
