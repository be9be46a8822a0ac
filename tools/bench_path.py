"""`make bench-path`: measures the cost that one jaytrayd adds per request and token.

The same requests go to the stand-in target directly, through a bare pass-through and
through one jaytrayd, alternating within each round, so that all run under the same
machine conditions. Latency is measured with one caller. Processor time is read from the
kernel for the process under test alone, less its use when idle; requests per second on
one core follow from it.
"""

import asyncio
import logging
import os
import random
import socket
import statistics
import sys
import time
from collections.abc import AsyncIterator, Sequence
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
    wait_until_ready,
)

_ROUNDS = flags.DEFINE_integer(
    "rounds", 5, "Rounds over all subjects and kinds of request."
)
_REQUESTS = flags.DEFINE_integer(
    "requests", 60, "Requests per kind, subject and round."
)
_CALLERS = flags.DEFINE_integer("callers", 16, "Concurrent callers under load.")
_TOKENS = flags.DEFINE_integer("tokens", 64, "Tokens of a long stream.")
_IDLE_SECONDS = flags.DEFINE_float(
    "idle_seconds", 10.0, "Time over which the idle process is measured."
)
_SEED = flags.DEFINE_integer("seed", 7, "Seed of the prompts.")

_PATH = "/v1/chat/completions"
_TIMEOUT_S = 30.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_STAND_IN_ARGUMENTS = (
    "--targets=1",
    "--services=rounds",
    "--model_load_s=0.1",
    "--first_token_s=0.005",
    "--token_interval_s=0.005",
    "--max_running=1000",
)
_DOCUMENT = """\
[account bench]
rate_tokens_per_s = 10000000
burst_tokens = 10000000

[key bench-1]
account = bench
digest = {digest}

[model assistant]
version = 1
memory_mib = 1000
min_replicas = 1
max_replicas = 1
max_output_tokens = 512

[target target-1]
address = {target}
failure_domain = zone-a
accelerators = 2
accelerator_memory_mib = 24000
checks_fencing = yes
max_running_requests = 1000
environment = trial
"""


class Subject(NamedTuple):
    """A receiver of requests; `pid` is 0 if its processor time is not measured.

    `idle_fraction` is the fraction of a core that the process uses without requests.
    """

    name: str
    address: str
    pid: int
    headers: dict[str, str]
    idle_fraction: float


class Kind(NamedTuple):
    """A kind of request."""

    name: str
    tokens: int
    is_stream: bool


class Sample(NamedTuple):
    """Latencies of one response in milliseconds, and its number of pieces."""

    first_ms: float
    whole_ms: float
    pieces: int


class Measurements(NamedTuple):
    """Samples with one caller; per round, processor time and rate with many callers."""

    samples: list[Sample]
    cpu_ms: list[float]
    requests_per_s: list[float]


def main(_arguments: Sequence[str]) -> None:
    """Measure, and print a line of figures for each subject and kind."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    asyncio.run(_run())


async def _run() -> None:
    key, digest = make_key()
    async with running_site(
        vm_ids=("vm-1",), stand_in_arguments=_STAND_IN_ARGUMENTS
    ) as site:
        await _apply_document(site, digest)
        target = site.stand_ins.targets_by_name["target-1"]
        vm = site.vms_by_id["vm-1"]
        headers = {"Authorization": f"Bearer {key}"}
        async with _bare_proxy(target) as (bare_address, bare_pid):
            idle_fraction = await _idle_fraction(vm.process.pid)
            print(f"idle subject=jaytrayd core_percent={100 * idle_fraction:.2f}")
            jaytrayd_pid = vm.process.pid
            subjects = [
                Subject("direct", target, 0, {}, 0.0),
                Subject("bare", bare_address, bare_pid, {}, 0.0),
                Subject(
                    "jaytrayd", vm.callers_address, jaytrayd_pid, headers, idle_fraction
                ),
            ]
            _print_figures(await _measure_all(subjects))


async def _apply_document(site: Site, digest: str) -> None:
    path = site.folder / "bench.ini"
    target = site.stand_ins.targets_by_name["target-1"]
    path.write_text(_DOCUMENT.format(digest=digest, target=target))
    await run_jaytray(
        "apply",
        str(path),
        "--environment=trial",
        "--based_on=0",
        "--author=bench",
        *site_flags(site),
    )
    await wait_until_ready(site)


async def _measure_all(
    subjects: list[Subject],
) -> dict[tuple[str, str], Measurements]:
    kinds = [
        Kind("whole_16", 16, False),
        Kind("stream_1", 1, True),
        Kind(f"stream_{_TOKENS.value}", _TOKENS.value, True),
    ]
    figures = {
        (s.name, k.name): Measurements([], [], []) for k in kinds for s in subjects
    }
    for subject in subjects:
        await _measure(subject, kinds[0], random.Random(0), Measurements([], [], []))
    for round_number in range(_ROUNDS.value):
        for kind in kinds:
            for subject in subjects:
                prompts = random.Random(_SEED.value + round_number)
                found = figures[subject.name, kind.name]
                await _measure(subject, kind, prompts, found)
    return figures


async def _measure(
    subject: Subject, kind: Kind, prompts: random.Random, figures: Measurements
) -> None:
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        trust_env=False, limits=limits, timeout=_TIMEOUT_S
    ) as client:
        single_caller_requests = max(1, _REQUESTS.value // 4)
        for _ in range(single_caller_requests):
            body = _body(kind, prompts)
            figures.samples.append(await _send(client, subject, body))
        cpu_before_s = _cpu_s(subject.pid)
        started_s = time.perf_counter()
        bodies = iter([_body(kind, prompts) for _ in range(_REQUESTS.value)])

        async def call() -> None:
            for body in bodies:
                await _send(client, subject, body)

        await asyncio.gather(*(call() for _ in range(_CALLERS.value)))
        elapsed_s = time.perf_counter() - started_s
        cpu_s = _cpu_s(subject.pid) - cpu_before_s - subject.idle_fraction * elapsed_s
        figures.cpu_ms.append(1000 * cpu_s / _REQUESTS.value)
        figures.requests_per_s.append(_REQUESTS.value / elapsed_s)


async def _send(
    client: httpx.AsyncClient, subject: Subject, body: dict[str, object]
) -> Sample:
    """Send a request; raise RuntimeError unless the response is complete."""
    started_s = time.perf_counter()
    first_s = 0.0
    data = b""
    pieces = 0
    async with client.stream(
        "POST",
        f"http://{subject.address}{_PATH}",
        json=body,
        headers={"x-request-id": "bench", **subject.headers},
    ) as response:
        async for chunk in response.aiter_raw():
            first_s = first_s or time.perf_counter()
            pieces += chunk.count(b"data: ")
            data += chunk
    ended_s = time.perf_counter()
    is_whole = data.endswith(b"[DONE]\n\n") or not body["stream"]
    if response.status_code != 200 or not is_whole:
        raise RuntimeError(
            f"{subject.name}: failed or incomplete response,"
            f" status {response.status_code}: {data[:200]!r}"
        )
    return Sample(1000 * (first_s - started_s), 1000 * (ended_s - started_s), pieces)


def _body(kind: Kind, prompts: random.Random) -> dict[str, object]:
    prompt = f"{prompts.getrandbits(64):016x} " * 20
    return {
        "model": "assistant",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": kind.tokens,
        "min_tokens": kind.tokens,
        "stream": kind.is_stream,
    }


async def _idle_fraction(pid: int) -> float:
    """Return the fraction of a core that a process uses without requests."""
    cpu_before_s = _cpu_s(pid)
    started_s = time.perf_counter()
    await asyncio.sleep(_IDLE_SECONDS.value)
    return (_cpu_s(pid) - cpu_before_s) / (time.perf_counter() - started_s)


def _cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    if not pid:
        return 0.0
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _print_figures(figures: dict[tuple[str, str], Measurements]) -> None:
    print(
        f"seed={_SEED.value} rounds={_ROUNDS.value} requests={_REQUESTS.value} "
        f"callers={_CALLERS.value}; medians over all samples, cpu is the median round"
    )
    for (subject, kind), found in figures.items():
        first_ms = [sample.first_ms for sample in found.samples]
        whole_ms = [sample.whole_ms for sample in found.samples]
        cpu_ms = statistics.median(found.cpu_ms)
        line = (
            f"kind={kind} subject={subject} first_ms={statistics.median(first_ms):.2f} "
            f"first_p95_ms={statistics.quantiles(first_ms, n=20)[-1]:.2f} "
            f"whole_ms={statistics.median(whole_ms):.2f} "
            f"closed_loop_per_s={statistics.median(found.requests_per_s):.0f}"
        )
        if cpu_ms:
            line += f" cpu_ms={cpu_ms:.2f} per_core_per_s={1000 / cpu_ms:.0f}"
        print(line)
    _print_added_cost(figures)


def _print_added_cost(figures: dict[tuple[str, str], Measurements]) -> None:
    long = f"stream_{_TOKENS.value}"
    direct = _median_piece_interval_ms(figures["direct", long])
    for subject in ("bare", "jaytrayd"):
        first = _median_first_ms(figures[subject, long]) - _median_first_ms(
            figures["direct", long]
        )
        piece = _median_piece_interval_ms(figures[subject, long]) - direct
        cpu_ms = [
            statistics.median(figures[subject, kind].cpu_ms)
            for kind in ("stream_1", long)
        ]
        piece_cpu_us = 1000 * (cpu_ms[1] - cpu_ms[0]) / (_TOKENS.value - 1)
        print(
            f"added subject={subject} first_token_ms={first:.2f} "
            f"per_token_ms={piece:.3f} cpu_us_per_token={piece_cpu_us:.0f}"
        )


def _median_first_ms(figures: Measurements) -> float:
    return statistics.median(sample.first_ms for sample in figures.samples)


def _median_piece_interval_ms(figures: Measurements) -> float:
    """Return the median time between two pieces of a stream, in milliseconds."""
    return statistics.median(
        (sample.whole_ms - sample.first_ms) / max(1, sample.pieces - 2)
        for sample in figures.samples
    )


@asynccontextmanager
async def _bare_proxy(target: str) -> AsyncIterator[tuple[str, int]]:
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    arguments = ["-m", "tools.bare_proxy", f"--target={target}", f"--port={port}"]
    process = await asyncio.create_subprocess_exec(sys.executable, *arguments)
    try:
        await _until_listening(port)
        yield f"127.0.0.1:{port}", process.pid
    finally:
        process.terminate()
        await process.wait()


async def _until_listening(port: int) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            try:
                _reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return


if __name__ == "__main__":
    app.run(main)
