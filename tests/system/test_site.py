"""System tests with separate processes on loopback: stops, kills and outages.

Timeouts are generous, and no test asserts how long an operation takes.
"""

import asyncio
import functools
import json
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import httpx
from testtools import TestCase

from tools.site import (
    OPERATOR_TOKEN,
    Site,
    Vm,
    admin_action,
    make_key,
    run_jaytray,
    running_site,
    running_vm,
    set_fault,
    site_flags,
    wait_until_ready,
)
from tools.site_document import make_document

WAIT_TIMEOUT_S = 40.0
CHAT_PATH = "/v1/chat/completions"
STAND_IN_ARGUMENTS = (
    "--targets=2",
    "--services=rounds",
    "--model_load_s=0.1",
    "--memory_mib=24000",
    "--token_interval_s=0.02",
)


class RunningSite(NamedTuple):
    """A running site with a document in force, a caller's key and an HTTP client."""

    site: Site
    key: str
    client: httpx.AsyncClient

    def vm(self, vm_id: str) -> Vm:
        return self.site.vms_by_id[vm_id]

    async def chat(self, vm: Vm, tokens: int = 4, **extra: Any) -> httpx.Response:
        return await self.client.post(
            f"http://{vm.callers_address}{CHAT_PATH}",
            headers={"Authorization": f"Bearer {self.key}"},
            json=chat_body(tokens, **extra),
        )

    async def has_limit_share(self, vm: Vm) -> bool:
        """Return whether the VM holds a share of the rate and burst limits."""
        return bool((await self.status(vm))["limit_parts"] > 0)

    async def is_admitted(self, vm: Vm) -> bool:
        return (await self.chat(vm)).status_code == 200

    async def status(self, vm: Vm) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"http://{vm.callers_address}/admin/status"
        response: dict[str, Any] = (await self.client.get(url, headers=headers)).json()
        return response


def chat_body(tokens: int, **extra: Any) -> dict[str, Any]:
    message = {"role": "user", "content": "The grey gelding lost a shoe."}
    body = {"model": "assistant", "messages": [message], "max_tokens": tokens}
    return {**body, **extra}


@asynccontextmanager
async def serving_site(*vm_ids: str) -> AsyncIterator[RunningSite]:
    key, digest = make_key()
    _, kiosk_digest = make_key()
    async with (
        running_site(vm_ids=vm_ids, stand_in_arguments=STAND_IN_ARGUMENTS) as site,
        httpx.AsyncClient(timeout=WAIT_TIMEOUT_S) as client,
    ):
        path = site.folder / "document.ini"
        path.write_text(
            make_document(
                site.stand_ins, barns_digest=digest, kiosk_digest=kiosk_digest
            )
        )
        await run_jaytray("apply", str(path), "--based_on=0", *site_flags(site))
        await wait_until_ready(site)
        running = RunningSite(site, key, client)
        for vm in site.vms_by_id.values():
            await wait_until(functools.partial(running.has_limit_share, vm))
            await wait_until(functools.partial(running.is_admitted, vm))
        yield running


async def fetch_ran_requests(address: str) -> list[Any]:
    """Return the requests that the stand-in at `address` ran."""
    async with httpx.AsyncClient() as client:
        records = (await client.get(f"http://{address}/admin/records")).json()
    ran: list[Any] = records["ran_requests"]
    return ran


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.1)


async def read_stream(
    running: RunningSite, vm: Vm, started: asyncio.Event
) -> list[str]:
    """Return the data lines of a long streamed response; set `started` at the first."""
    lines: list[str] = []
    async with running.client.stream(
        "POST",
        f"http://{vm.callers_address}{CHAT_PATH}",
        headers={"Authorization": f"Bearer {running.key}"},
        json=chat_body(300, stream=True, min_tokens=300),
    ) as response:
        async for line in response.aiter_lines():
            if line.startswith("data: "):
                lines.append(line.removeprefix("data: "))
                started.set()
    return lines


class SiteTests(TestCase):
    def test_planned_stop_cuts_no_stream(self) -> None:
        async def scenario() -> None:
            async with serving_site("vm-1", "vm-2") as running:
                vm = running.vm("vm-1")
                started = asyncio.Event()
                stream = asyncio.create_task(read_stream(running, vm, started))
                await started.wait()
                vm.process.send_signal(signal.SIGTERM)
                lines = await stream
                self.assertEqual("[DONE]", lines[-1])
                pieces = [json.loads(line) for line in lines[:-1]]
                self.assertEqual(
                    pieces[-1]["usage"]["completion_tokens"], pieces[-1]["end_index"]
                )
                self.assertEqual(
                    0, await asyncio.wait_for(vm.process.wait(), WAIT_TIMEOUT_S)
                )
                other = await running.chat(running.vm("vm-2"))
                self.assertEqual(200, other.status_code)

        asyncio.run(scenario())

    def test_withdrawn_key_ends_streams_and_is_refused_everywhere(self) -> None:
        async def scenario() -> None:
            async with serving_site("vm-1", "vm-2") as running:
                started = asyncio.Event()
                stream = asyncio.create_task(
                    read_stream(running, running.vm("vm-1"), started)
                )
                await started.wait()
                await run_jaytray(
                    "key",
                    "withdraw",
                    "barns-1",
                    "--environments=trial",
                    *site_flags(running.site),
                )
                lines = await stream
                self.assertNotEqual("[DONE]", lines[-1])
                self.assertIn("key_withdrawn", lines[-1])
                for vm in running.site.vms_by_id.values():
                    self.assertEqual(401, (await running.chat(vm)).status_code)

        asyncio.run(scenario())

    def test_outage_of_the_key_value_service(self) -> None:
        """VMs keep serving, and a VM that starts gets the document from its peers."""

        async def scenario() -> None:
            async with serving_site("vm-1", "vm-2") as running:
                site = running.site
                await set_fault(site.stand_ins.key_value, {"kind": "down"})
                response = await running.chat(running.vm("vm-1"))
                self.assertEqual(200, response.status_code)
                async with running_vm(
                    site.folder,
                    site.stand_ins,
                    "vm-3",
                    curve_keys=site.curve_keys,
                ) as late:
                    await wait_until(lambda: self._has_document(running, late))
                    first = running.vm("vm-1")
                    self.assertEqual(
                        (await running.status(first))["body_digest"],
                        (await running.status(late))["body_digest"],
                    )

        asyncio.run(scenario())

    def test_killed_and_suspended_vms_do_not_affect_others(self) -> None:
        async def scenario() -> None:
            async with serving_site("vm-1", "vm-2", "vm-3") as running:
                running.vm("vm-1").process.kill()
                frozen = running.vm("vm-2").process
                frozen.send_signal(signal.SIGSTOP)
                for _request in range(5):
                    response = await running.chat(running.vm("vm-3"))
                    self.assertEqual(200, response.status_code)
                frozen.send_signal(signal.SIGCONT)
                await wait_until(
                    functools.partial(running.is_admitted, running.vm("vm-2"))
                )

        asyncio.run(scenario())

    def test_leaving_target_gets_no_new_work(self) -> None:
        async def scenario() -> None:
            async with serving_site("vm-1", "vm-2") as running:
                targets = running.site.stand_ins.targets_by_name
                await admin_action(targets["target-1"], "leave", "")
                vms = list(running.site.vms_by_id.values())
                for vm in vms:
                    await wait_until(
                        functools.partial(self._avoids_first_target, running, vm)
                    )
                before = len(await fetch_ran_requests(targets["target-1"]))
                for number in range(8):
                    response = await running.chat(vms[number % 2])
                    self.assertEqual(200, response.status_code)
                self.assertEqual(
                    before, len(await fetch_ran_requests(targets["target-1"]))
                )

        asyncio.run(scenario())

    def test_trial_and_production_share_a_site(self) -> None:
        """Promotion transfers the body; trial's VMs do not use production's targets."""

        async def scenario() -> None:
            async with serving_site("vm-1") as running:
                site = running.site
                path = site.folder / "document.ini"
                text = path.read_text()
                own = text.replace("environment = trial", "environment = production", 1)
                path.write_text(own)
                flags = site_flags(site)
                await run_jaytray("apply", str(path), "--based_on=1", *flags)
                async with running_vm(
                    site.folder,
                    site.stand_ins,
                    "vm-9",
                    curve_keys=site.curve_keys,
                    environment="production",
                ) as vm:
                    await wait_until(functools.partial(self._try_promote, site))
                    await wait_until(functools.partial(running.is_admitted, vm))
                    self.assertEqual(["vm-9"], (await running.status(vm))["listed_vms"])
                    first = running.vm("vm-1")
                    await wait_until(functools.partial(running.is_admitted, first))
                    trial = await running.status(first)
                    self.assertEqual(["vm-1"], trial["listed_vms"])
                    await wait_until(
                        functools.partial(self._reaches_models, running, first)
                    )
                    served = await running.chat(vm)
                    routed = vm.log_lines(served.headers["x-request-id"])
                    self.assertIn("target=target-1", routed[0])

        asyncio.run(scenario())

    async def _try_promote(self, site: Site) -> bool:
        try:
            await run_jaytray("promote", "--based_on=0", *site_flags(site))
        except RuntimeError:
            return False
        return True

    async def _avoids_first_target(self, running: RunningSite, vm: Vm) -> bool:
        """Return whether the VM routes a request without considering `target-1`."""
        address = running.site.stand_ins.targets_by_name["target-1"]
        before = len(await fetch_ran_requests(address))
        response = await running.chat(vm)
        is_successful = response.status_code == 200
        routed = vm.log_lines(response.headers["x-request-id"])
        only_other = any("candidates=1" in line for line in routed)
        return (
            is_successful
            and only_other
            and before == len(await fetch_ran_requests(address))
        )

    async def _reaches_models(self, running: RunningSite, vm: Vm) -> bool:
        return not (await running.status(vm))["unreachable_models"]

    async def _has_document(self, running: RunningSite, vm: Vm) -> bool:
        return bool((await running.status(vm))["document_version"] > 0)
