"""Runs an embedded site: stand-ins and several `jaytrayd` processes on loopback.

Used by the demo, the system tests and the measurements. Context managers start and
stop the processes; none of them outlives its context.
"""

import asyncio
import hashlib
import os
import re
import secrets
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import httpx
import zmq

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
OPERATOR_TOKEN = "operator-token-of-an-embedded-site"

_LISTENING_LINE = re.compile(r"listening address=(\S+) role=(\S+)(?: name=(\S+))?")


class StandIns(NamedTuple):
    """Addresses of the stand-ins, as `IP:port`."""

    key_value: str
    vm_list: str
    weight_store: str
    targets_by_name: dict[str, str]
    services_by_name: dict[str, str]


class Vm:
    """A running `jaytrayd` process."""

    def __init__(
        self,
        *,
        vm_id: str,
        process: asyncio.subprocess.Process,
        callers_address: str,
        peers_address: str,
        log_path: Path,
    ) -> None:
        self.vm_id = vm_id
        self.process = process
        self.callers_address = callers_address
        self.peers_address = peers_address
        self.log_path = log_path

    def log_lines(self, text: str) -> list[str]:
        """Return the log lines that contain `text`."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        return [line for line in lines if text in line]


class Site(NamedTuple):
    """A running site."""

    folder: Path
    stand_ins: StandIns
    vms_by_id: dict[str, Vm]
    curve_keys: tuple[bytes, bytes]


@asynccontextmanager
async def running_stand_ins(
    folder: Path, *, arguments: Sequence[str] = ()
) -> AsyncIterator[StandIns]:
    """Run all stand-ins in one process."""
    log_path = folder / "stand-ins.log"
    command = ["-m", "jaytray_standins", "--role=site", *arguments]
    async with _running_process(command, log_path, capture_stdout=True) as process:
        yield await _read_stand_in_addresses(process, log_path)


@asynccontextmanager
async def running_vm(
    folder: Path,
    stand_ins: StandIns,
    vm_id: str,
    *,
    failure_domain: str = "zone-a",
    curve_keys: tuple[bytes, bytes],
    environment: str = "trial",
    balancer_delay_s: float = 0.2,
    vm_list_poll_s: float = 0.5,
) -> AsyncIterator[Vm]:
    """Run one `jaytrayd` and add it to the list of VMs."""
    settings = folder / f"{vm_id}.ini"
    settings.write_text(
        _SETTINGS.format(
            vm_id=vm_id,
            failure_domain=failure_domain,
            environment=environment,
            public_key=curve_keys[0].decode(),
            secret_key=curve_keys[1].decode(),
            key_value=stand_ins.key_value,
            vm_list=stand_ins.vm_list,
            weight_store=stand_ins.weight_store,
            token_digest=hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            balancer_delay_s=balancer_delay_s,
            vm_list_poll_s=vm_list_poll_s,
        ),
        encoding="utf-8",
    )
    log_path = folder / f"{vm_id}.log"
    command = ["-m", "jaytray_server", f"--settings={settings}"]
    async with _running_process(command, log_path) as process:
        callers, peers = await _read_vm_addresses(process, log_path)
        vm = Vm(
            vm_id=vm_id,
            process=process,
            callers_address=callers,
            peers_address=peers,
            log_path=log_path,
        )
        await put_vm(stand_ins, vm, failure_domain=failure_domain)
        yield vm


@asynccontextmanager
async def running_site(
    *,
    vm_ids: Sequence[str],
    stand_in_arguments: Sequence[str] = (),
    vm_list_poll_s: float = 0.5,
) -> AsyncIterator[Site]:
    """Run stand-ins and VMs, with their files in a temporary folder."""
    keys = zmq.curve_keypair()
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        stand_ins = await stack.enter_async_context(
            running_stand_ins(folder, arguments=stand_in_arguments)
        )
        starts = [
            running_vm(
                folder,
                stand_ins,
                vm_id,
                failure_domain=f"zone-{'abc'[position % 3]}",
                curve_keys=keys,
                vm_list_poll_s=vm_list_poll_s,
            )
            for position, vm_id in enumerate(vm_ids)
        ]
        vms = [await stack.enter_async_context(start) for start in starts]
        yield Site(folder, stand_ins, {vm.vm_id: vm for vm in vms}, keys)


async def put_vm(
    stand_ins: StandIns, vm: Vm, *, failure_domain: str, state: str = "live"
) -> None:
    """Add a VM to the platform's list, or update its entry."""
    entry = (vm.vm_id, vm.peers_address, vm.callers_address, failure_domain, state)
    await admin_action(stand_ins.vm_list, "put", ",".join(entry))


async def set_fault(address: str, fault: dict[str, object]) -> None:
    """Switch on a fault of a stand-in; see `jaytray_standins.admin`."""
    async with httpx.AsyncClient() as client:
        response = await client.post(f"http://{address}/admin/faults", json=fault)
        response.raise_for_status()


async def admin_action(address: str, action: str, argument: str) -> None:
    """Run an administrative action of a stand-in."""
    async with httpx.AsyncClient() as client:
        response = await client.post(
            f"http://{address}/admin/actions/{action}", params={"argument": argument}
        )
        response.raise_for_status()


def site_flags(site: Site) -> tuple[str, str]:
    """Return the flags with which `jaytray` connects to the site."""
    return (
        f"--key_value={site.stand_ins.key_value}",
        f"--vm_list={site.stand_ins.vm_list}",
    )


async def run_jaytray(*arguments: str) -> str:
    """Run `jaytray` and return its output.

    Raises RuntimeError when it fails.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "jaytray_cli",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, "JAYTRAY_OPERATOR_TOKEN": OPERATOR_TOKEN},
    )
    output, _ = await process.communicate()
    if process.returncode != 0:
        raise RuntimeError(f"jaytray {' '.join(arguments)} failed: {output.decode()}")
    return output.decode()


async def stop_vm(vm: Vm) -> int:
    """Request a graceful stop of a VM, wait for its end and return its exit code."""
    if vm.process.returncode is None:
        vm.process.send_signal(signal.SIGTERM)
    return await asyncio.wait_for(vm.process.wait(), STOP_TIMEOUT_S)


async def wait_until_ready(site: Site) -> None:
    """Wait until every VM is ready and reaches all declared models."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with httpx.AsyncClient() as client, asyncio.timeout(START_TIMEOUT_S):
        for vm in site.vms_by_id.values():
            while not await _is_ready(client, vm, headers):
                await asyncio.sleep(POLL_INTERVAL_S)


async def _is_ready(client: httpx.AsyncClient, vm: Vm, headers: dict[str, str]) -> bool:
    base = f"http://{vm.callers_address}"
    if (await client.get(f"{base}/readyz")).status_code != 200:
        return False
    status = (await client.get(f"{base}/admin/status", headers=headers)).json()
    return status["document_version"] > 0 and not status["unreachable_models"]


@asynccontextmanager
async def _running_process(
    arguments: Sequence[str], log_path: Path, *, capture_stdout: bool = False
) -> AsyncIterator[asyncio.subprocess.Process]:
    with log_path.open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.PIPE if capture_stdout else log,
            stderr=log,
        )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.terminate()
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                process.kill()
                await process.wait()


async def _read_stand_in_addresses(
    process: asyncio.subprocess.Process, log_path: Path
) -> StandIns:
    assert process.stdout is not None
    addresses_by_role: dict[str, dict[str, str]] = {}
    async with asyncio.timeout(START_TIMEOUT_S):
        # The services are the last listeners to open.
        while "service" not in addresses_by_role:
            line = (await process.stdout.readline()).decode()
            if not line:
                raise RuntimeError(f"stand-ins exited early: {log_path.read_text()}")
            found = _LISTENING_LINE.search(line)
            if found:
                address, role, name = found.groups()
                addresses_by_role.setdefault(role, {})[name or role] = address
    return StandIns(
        key_value=next(iter(addresses_by_role["key_value"].values())),
        vm_list=next(iter(addresses_by_role["vm_list"].values())),
        weight_store=next(iter(addresses_by_role["weight_store"].values())),
        targets_by_name=addresses_by_role.get("target", {}),
        services_by_name=addresses_by_role["service"],
    )


async def _read_vm_addresses(
    process: asyncio.subprocess.Process, log_path: Path
) -> tuple[str, str]:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            text = log_path.read_text(encoding="utf-8")
            found = re.search(r"callers_address=(\S+) peers_address=(\S+)", text)
            if found:
                return found.group(1), found.group(2)
            if process.returncode is not None:
                raise RuntimeError(f"jaytrayd exited early: {text}")
            await asyncio.sleep(POLL_INTERVAL_S)


def make_key() -> tuple[str, str]:
    """Return a new caller's key and its digest for a document."""
    key = secrets.token_urlsafe(24)
    return key, "sha256:" + hashlib.sha256(key.encode()).hexdigest()


_SETTINGS = """\
[vm]
id = {vm_id}
failure_domain = {failure_domain}
environment = {environment}

[callers]
address = 127.0.0.1:0

[peers]
address = 127.0.0.1:0
curve_public_key = {public_key}
curve_secret_key = {secret_key}

[key_value]
address = {key_value}

[vm_list]
address = {vm_list}
poll_s = {vm_list_poll_s}

[weight_store]
address = {weight_store}

[operators]
token_digest = sha256:{token_digest}

[shutdown]
balancer_delay_s = {balancer_delay_s}
"""
