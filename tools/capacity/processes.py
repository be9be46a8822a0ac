"""Measures whole processes: idle VMs and the request path of one VM.

`jaytrayd` processes run on loopback against stand-ins. Their processor time is read
from the operating system, their message counts from /admin/status, and the calls to
the key-value service from the stand-in's counters.
"""

import asyncio
import os
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import httpx

from jaytray_core.adapters.key_value_http import open_key_value
from tools.capacity.slopes import Slope, fit_slope
from tools.site import (
    OPERATOR_TOKEN,
    Site,
    Vm,
    make_key,
    run_jaytray,
    running_site,
    running_stand_ins,
    site_flags,
    wait_until_ready,
)
from tools.site_document import make_document

CHAT_PATH = "/v1/chat/completions"
# Default of the setting `vm_list.poll_s`.
VM_LIST_POLL_S = 2.0
SETTLE_S = 10.0
IDLE_MEASURED_S = 15.0
REQUESTS_PER_POINT = 60
WARM_UP_REQUESTS = 10
CONCURRENT_REQUESTS = 4
HTTP_CALLS = 300


class IdleCost(NamedTuple):
    """Cost of one VM while no request runs, as a mean over the VMs of the site."""

    vms: int
    targets: int
    core_fraction: float
    bytes_per_s: float
    messages_per_s: float
    key_value_calls_per_s: float
    resident_mib: float


async def measure_idle(*, vms: int, targets: int) -> IdleCost:
    """Measure the VMs of a site that gets no requests."""
    async with _serving_site(vms=vms, targets=targets) as (site, _key):
        await asyncio.sleep(SETTLE_S)
        before = [await _read_usage(vm) for vm in site.vms_by_id.values()]
        calls_before = await _key_value_calls(site)
        await asyncio.sleep(IDLE_MEASURED_S)
        after = [await _read_usage(vm) for vm in site.vms_by_id.values()]
        calls = await _key_value_calls(site) - calls_before
    spent = [
        tuple(b - a for a, b in zip(one, two, strict=True))
        for one, two in zip(before, after, strict=True)
    ]
    total = [sum(values) / vms / IDLE_MEASURED_S for values in zip(*spent, strict=True)]
    return IdleCost(
        vms=vms,
        targets=targets,
        core_fraction=total[0],
        bytes_per_s=total[1],
        messages_per_s=total[2],
        key_value_calls_per_s=calls / vms / IDLE_MEASURED_S,
        resident_mib=sum(reading[3] for reading in after) / vms,
    )


async def measure_http_call() -> float:
    """Return the processor time of a call to the key-value service, in microseconds."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_stand_ins(Path(folder)) as stand_ins:
            connection = open_key_value(address=stand_ins.key_value, timeout_s=5.0)
            for _call in range(WARM_UP_REQUESTS):
                await connection.service.get("capacity")
            before_s = time.process_time()
            for _call in range(HTTP_CALLS):
                await connection.service.get("capacity")
            spent_s = time.process_time() - before_s
            await connection.close()
    return spent_s / HTTP_CALLS * 1e6


async def measure_request_path() -> tuple[Slope, Slope]:
    """Return the processor times of a streamed request and of a whole response.

    The first is by streamed tokens, the second by concurrent callers.
    """
    async with _serving_site(vms=1, targets=2) as (site, key):
        vm = next(iter(site.vms_by_id.values()))
        streamed = []
        for tokens in (16, 64, 256):
            cost_us = await _cost_per_request(
                vm, key, tokens=tokens, streams=True, callers=CONCURRENT_REQUESTS
            )
            streamed.append((float(tokens), cost_us))
        whole = []
        for callers in (1, 4, 16):
            cost_us = await _cost_per_request(
                vm, key, tokens=16, streams=False, callers=callers
            )
            whole.append((float(callers), cost_us))
    return (
        fit_slope("streamed request", unit="us", item="token", points=streamed),
        fit_slope("whole answer", unit="us", item="caller at once", points=whole),
    )


async def _cost_per_request(
    vm: Vm, key: str, *, tokens: int, streams: bool, callers: int
) -> float:
    headers = {"Authorization": f"Bearer {key}"}
    body = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "A mare with a loose shoe."}],
        "min_tokens": tokens,
        "max_tokens": tokens,
        "stream": streams,
    }
    limit = asyncio.Semaphore(callers)
    async with httpx.AsyncClient(timeout=60) as client:

        async def send() -> None:
            async with limit:
                response = await client.post(
                    f"http://{vm.callers_address}{CHAT_PATH}",
                    headers=headers,
                    json=body,
                )
                response.raise_for_status()

        await asyncio.gather(*(send() for _ in range(WARM_UP_REQUESTS)))
        before_s = _cpu_s(vm)
        await asyncio.gather(*(send() for _ in range(REQUESTS_PER_POINT)))
        return (_cpu_s(vm) - before_s) / REQUESTS_PER_POINT * 1e6


@asynccontextmanager
async def _serving_site(*, vms: int, targets: int) -> AsyncIterator[tuple[Site, str]]:
    """Run a site until it has a document in force and serves requests.

    Yields it with a key for its callers.
    """
    key, digest = make_key()
    _kiosk_key, kiosk_digest = make_key()
    arguments = (f"--targets={targets}", "--model_load_s=0.1", "--memory_mib=24000")
    vm_ids = [f"vm-{n}" for n in range(vms)]
    async with running_site(
        vm_ids=vm_ids, stand_in_arguments=arguments, vm_list_poll_s=VM_LIST_POLL_S
    ) as site:
        path = site.folder / "document.ini"
        path.write_text(
            make_document(
                site.stand_ins, barns_digest=digest, kiosk_digest=kiosk_digest
            ).replace("_tokens = 12000", "_tokens = 9000000"),
            encoding="utf-8",
        )
        await run_jaytray("apply", str(path), "--based_on=0", *site_flags(site))
        await wait_until_ready(site)
        yield site, key


async def _read_usage(vm: Vm) -> tuple[float, float, float, float]:
    status = await _status(vm)
    return (
        _cpu_s(vm),
        float(status["peer_bytes_sent"]),
        float(status["peer_messages_sent"]),
        _resident_mib(vm),
    )


async def _status(vm: Vm) -> dict[str, Any]:
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with httpx.AsyncClient() as client:
        response = await client.get(
            f"http://{vm.callers_address}/admin/status", headers=headers
        )
    status: dict[str, Any] = response.json()
    return status


async def _key_value_calls(site: Site) -> int:
    url = f"http://{site.stand_ins.key_value}/admin/records"
    async with httpx.AsyncClient() as client:
        records = (await client.get(url)).json()
    return sum(records["calls_by_function"].values())


def _cpu_s(vm: Vm) -> float:
    """Return the processor time used by the process so far, in seconds."""
    fields = Path(f"/proc/{vm.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _resident_mib(vm: Vm) -> float:
    pages = int(Path(f"/proc/{vm.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
