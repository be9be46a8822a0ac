"""`make demo`: runs a small site from applying a document to a planned stop.

Starts stand-ins and three VMs, applies a document through `jaytray` and waits until
the models are loaded. Then sends requests as a caller, prints each response with the
log lines of its request, and stops all VMs.
"""

import asyncio
import json
import logging
import sys

import httpx
from absl import app, flags

from tools.site import (
    Site,
    Vm,
    make_key,
    run_jaytray,
    running_site,
    site_flags,
    stop_vm,
    wait_until_ready,
)
from tools.site_document import make_document

VM_IDS = ("vm-1", "vm-2", "vm-3")
REQUEST_TIMEOUT_S = 20.0
MAX_ATTEMPTS = 12
STAND_IN_ARGUMENTS = (
    "--targets=2",
    "--services=rounds",
    "--model_load_s=0.3",
    "--memory_mib=24000",
)

_KEEP_RUNNING = flags.DEFINE_bool(
    "keep_running", False, "Keep the site running until interrupted (make serve)."
)


def main(_arguments: list[str]) -> None:
    """Run the demo; exit with 0 if every step succeeded, otherwise with 1."""
    sys.exit(asyncio.run(_run(keep_running=_KEEP_RUNNING.value)))


async def _run(*, keep_running: bool) -> int:
    logging.getLogger("httpx").setLevel(logging.WARNING)
    barns_key, barns_digest = make_key()
    kiosk_key, kiosk_digest = make_key()
    async with running_site(
        vm_ids=VM_IDS, stand_in_arguments=STAND_IN_ARGUMENTS
    ) as site:
        _print_site(site)
        document = site.folder / "demo.ini"
        document.write_text(
            make_document(
                site.stand_ins, barns_digest=barns_digest, kiosk_digest=kiosk_digest
            )
        )
        print(await run_jaytray("check", str(document)))
        print(await _apply(site, str(document)))
        await wait_until_ready(site)
        print(await run_jaytray("status", *site_flags(site)))
        if keep_running:
            await _serve_until_interrupted(site, barns_key)
            return 0
        failures = await _send_requests(site, barns_key, kiosk_key)
        failures += await _stop_vms(site)
    print("\nAll steps succeeded." if not failures else "\nFAILED:")
    print("\n".join(failures))
    return 1 if failures else 0


async def _apply(site: Site, path: str) -> str:
    return await run_jaytray(
        "apply",
        path,
        "--environment=trial",
        "--based_on=0",
        "--author=demo",
        *site_flags(site),
    )


async def _send_requests(site: Site, barns_key: str, kiosk_key: str) -> list[str]:
    """Send a request of each kind; return a description of each failure."""
    vms = list(site.vms_by_id.values())
    chat = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "The bay mare is lame."}],
        "max_tokens": 16,
    }
    failures: list[str] = []
    async with httpx.AsyncClient(timeout=REQUEST_TIMEOUT_S) as client:

        async def send(
            title: str, vm: Vm, path: str, key: str, body: object, expected: int
        ) -> None:
            response = await client.post(
                f"http://{vm.callers_address}{path}",
                headers={"Authorization": f"Bearer {key}"},
                json=body,
            )
            _print_response(title, vm, response)
            if response.status_code != expected:
                failures.append(f"{title}: status {response.status_code}")

        path = "/v1/chat/completions"
        await send("a chat completion", vms[0], path, barns_key, chat, 200)
        streamed = {**chat, "stream": True}
        await send("a streamed completion", vms[1], path, barns_key, streamed, 200)
        adapted = {**chat, "model": "notes-farrier"}
        await send("a completion by an adapter", vms[2], path, barns_key, adapted, 200)
        booking = {"barn": 7}
        service = "/services/rounds/bookings"
        await send("a plain service call", vms[2], service, barns_key, booking, 200)
        await send("an unknown key", vms[0], path, "no-such-key", chat, 401)
        long = {**chat, "max_tokens": 30}
        for expected in (200, 429):
            url = f"http://{vms[1].callers_address}{path}"
            response = await _send_until(client, url, kiosk_key, long, expected)
            _print_response(f"kiosk account until {expected}", vms[1], response)
            if response.status_code != expected:
                failures.append(f"kiosk account: no response with status {expected}")
    return failures


async def _send_until(
    client: httpx.AsyncClient, url: str, key: str, body: object, expected: int
) -> httpx.Response:
    """Repeat a request until its status is `expected`, at most `MAX_ATTEMPTS` times."""
    for _attempt in range(MAX_ATTEMPTS):
        response = await client.post(
            url, headers={"Authorization": f"Bearer {key}"}, json=body
        )
        if response.status_code == expected:
            break
        await asyncio.sleep(float(response.headers.get("retry-after", 0)))
    return response


def _print_response(title: str, vm: Vm, response: httpx.Response) -> None:
    request_id = response.headers.get("x-request-id", "")
    print(f"\n--- {title} through {vm.vm_id}: HTTP {response.status_code}")
    for name in ("retry-after", "x-request-id"):
        if name in response.headers:
            print(f"{name}: {response.headers[name]}")
    print(_shorten(response.text.strip()))
    for line in vm.log_lines(request_id) if request_id else []:
        print(f"log: {line}")


def _shorten(text: str, limit: int = 600) -> str:
    return text if len(text) <= limit else f"{text[: limit // 2]} ... {text[-200:]}"


async def _stop_vms(site: Site) -> list[str]:
    print("\n--- planned stop of all VMs")
    codes = {vm.vm_id: await stop_vm(vm) for vm in site.vms_by_id.values()}
    print(f"exit codes: {json.dumps(codes)}")
    return [f"{vm_id}: exit code {code}" for vm_id, code in codes.items() if code]


async def _serve_until_interrupted(site: Site, key: str) -> None:
    vm = next(iter(site.vms_by_id.values()))
    base = f"http://{vm.callers_address}"
    print("Requests to try (stop the site with Ctrl-C):")
    print(f"  curl -H 'Authorization: Bearer {key}' {base}/v1/models")
    body = json.dumps(
        {"model": "assistant", "messages": [{"role": "user", "content": "Hello"}]}
    )
    print(
        f"  curl -N -H 'Authorization: Bearer {key}' "
        f"-H 'Content-Type: application/json' -d '{body}' {base}/v1/chat/completions"
    )
    print(f"  curl -H 'Authorization: Bearer {key}' {base}/services/rounds/bookings")
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        print("stopping the site")


def _print_site(site: Site) -> None:
    for vm in site.vms_by_id.values():
        print(f"{vm.vm_id}: callers at {vm.callers_address}")
    for name, address in site.stand_ins.targets_by_name.items():
        print(f"{name}: stand-in at {address}")


if __name__ == "__main__":
    app.run(main)
