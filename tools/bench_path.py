"""`make bench-path`: what one VM adds to a request, against the target alone.

One stand-in target and one `jaytrayd` on loopback. The same caller sends the same
requests in turn to the target and through the VM. The processor time is that of the
`jaytrayd` process; requests a second on one core follow from it.
"""

import asyncio
import logging
import os
import sys
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import httpx
from absl import app, flags

from tools.site import (
    Site,
    make_key,
    run_jaytray,
    running_site,
    site_flags,
    until_ready,
)
from tools.site_document import make_document

_REQUESTS = flags.DEFINE_integer("requests", 120, "Requests of each kind and way.")
_CALLERS = flags.DEFINE_integer("callers", 8, "Callers at once in the loaded part.")

STAND_IN_ARGUMENTS = (
    "--targets=1",
    "--services=rounds",
    "--model_load_s=0.1",
    "--memory_mib=24000",
    "--first_token_s=0.01",
    "--token_interval_s=0.004",
)
TOKENS = 64
CHAT_PATH = "/v1/chat/completions"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Way(NamedTuple):
    """Where requests go and with which headers."""

    name: str
    base_url: str
    headers: dict[str, str]


class Sample(NamedTuple):
    """Times of one streamed answer in seconds."""

    first_token_s: float
    total_s: float
    tokens: int


def main(_argv: list[str]) -> None:
    """Run the measurement and print its figures."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    asyncio.run(_measure())


async def _measure() -> None:
    async with _site() as (site, key), httpx.AsyncClient(timeout=60) as client:
        vm = site.vms_by_id["vm-1"]
        target = next(iter(site.stand_ins.targets_by_name.values()))
        direct = Way("direct", f"http://{target}", {})
        through = Way(
            "through",
            f"http://{vm.callers_address}",
            {"authorization": f"Bearer {key}"},
        )
        await _one_by_one(client, direct, through)
        async with _bare(target) as (bare, bare_pid):
            for is_stream in (False, True):
                bare_ms = await _loaded(client, bare, bare_pid, is_stream=is_stream)
                pid = vm.process.pid
                ms = await _loaded(client, through, pid, is_stream=is_stream)
                print(f"processor time against bare: {ms / bare_ms:.2f}")


@asynccontextmanager
async def _site() -> AsyncIterator[tuple[Site, str]]:
    key, digest = make_key()
    _, kiosk_digest = make_key()
    async with running_site(
        vm_ids=("vm-1",), stand_in_arguments=STAND_IN_ARGUMENTS
    ) as site:
        text = make_document(
            site.stand_ins, barns_digest=digest, kiosk_digest=kiosk_digest
        )
        text = text.replace("rate_tokens_per_s = 6000", "rate_tokens_per_s = 1000000")
        text = text.replace("burst_tokens = 12000", "burst_tokens = 2000000")
        text = text.replace("min_replicas = 2", "min_replicas = 1")
        path = site.folder / "document.ini"
        path.write_text(text)
        await run_jaytray("apply", str(path), "--based_on=0", *site_flags(site))
        await until_ready(site)
        yield site, key


@asynccontextmanager
async def _bare(target: str) -> AsyncIterator[tuple[Way, int]]:
    """Run the bare pass-through before `target`."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tools.bare_passthrough",
        f"--target={target}",
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        line = (await process.stdout.readline()).decode()
        address = line.strip().rpartition("=")[2]
        yield Way("bare", f"http://{address}", {}), process.pid
    finally:
        process.terminate()
        await process.wait()


async def _one_by_one(client: httpx.AsyncClient, direct: Way, through: Way) -> None:
    samples: dict[str, list[Sample]] = {direct.name: [], through.name: []}
    await _until_admitted(client, through)
    for number in range(_REQUESTS.value):
        ways = (direct, through) if number % 2 else (through, direct)
        for way in ways:
            samples[way.name].append(await _stream(client, way))
    for name, found in samples.items():
        firsts = [s.first_token_s * 1000 for s in found]
        per_token = [
            (s.total_s - s.first_token_s) * 1000 / (s.tokens - 1) for s in found
        ]
        print(
            f"{name}: streams={len(found)} first_token_ms p50={_p(firsts, 50):.2f} "
            f"p95={_p(firsts, 95):.2f} per_token_ms p50={_p(per_token, 50):.3f} "
            f"p95={_p(per_token, 95):.3f}"
        )
    added = [
        t.first_token_s - d.first_token_s
        for d, t in zip(samples["direct"], samples["through"], strict=True)
    ]
    print(f"added by one VM: first_token_ms p50={_p(added, 50) * 1000:.2f}")


async def _until_admitted(client: httpx.AsyncClient, way: Way) -> None:
    """Wait until the VM has its share of the client account's rate."""
    while True:
        answer = await client.post(
            way.base_url + CHAT_PATH, json=_body(is_stream=False), headers=way.headers
        )
        if answer.status_code == 200:
            return
        await asyncio.sleep(0.2)


async def _stream(client: httpx.AsyncClient, way: Way) -> Sample:
    headers = {**way.headers, "x-request-id": uuid.uuid4().hex}
    began_s = time.perf_counter()
    first_s = 0.0
    tokens = 0
    async with client.stream(
        "POST", way.base_url + CHAT_PATH, json=_body(is_stream=True), headers=headers
    ) as answer:
        answer.raise_for_status()
        async for chunk in answer.aiter_raw():
            tokens += chunk.count(b'"content"')
            first_s = first_s or time.perf_counter()
    return Sample(first_s - began_s, time.perf_counter() - began_s, tokens)


async def _loaded(
    client: httpx.AsyncClient, way: Way, pid: int, *, is_stream: bool
) -> float:
    """Return the processor time of a request in milliseconds."""
    requests = _REQUESTS.value * 2
    left = iter(range(requests))

    async def caller() -> None:
        for _ in left:
            if is_stream:
                await _stream(client, way)
                continue
            answer = await client.post(
                way.base_url + CHAT_PATH,
                json=_body(is_stream=False),
                headers={**way.headers, "x-request-id": uuid.uuid4().hex},
            )
            answer.raise_for_status()

    cpu_s, began_s = _cpu_s(pid), time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(_CALLERS.value)))
    elapsed_s = time.perf_counter() - began_s
    used_s = _cpu_s(pid) - cpu_s
    kind = f"stream of {TOKENS} tokens" if is_stream else "whole answer"
    print(
        f"{way.name}: {kind}: requests={requests} callers={_CALLERS.value} "
        f"cpu_ms_per_request={used_s * 1000 / requests:.2f} "
        f"requests_per_s_on_one_core={requests / used_s:.0f} "
        f"measured_requests_per_s={requests / elapsed_s:.0f}"
    )
    return float(used_s * 1000 / requests)


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _body(*, is_stream: bool) -> dict[str, object]:
    return {
        "model": "assistant",
        "messages": [{"role": "user", "content": "The grey gelding lost a shoe."}],
        "max_tokens": TOKENS,
        "min_tokens": TOKENS,
        "stream": is_stream,
    }


def _p(values: list[float], percent: int) -> float:
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, len(ranked) * percent // 100)]


if __name__ == "__main__":
    app.run(main)
