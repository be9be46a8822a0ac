"""System test: a request that crashes two targets is then refused by every VM."""

import asyncio

from testtools import TestCase

from tests.system.test_site import CHAT_PATH, RunningSite, chat_body, serving_site
from tools.site import OPERATOR_TOKEN, Vm

CRASHING = {
    **chat_body(8),
    "messages": [{"role": "user", "content": "crash-the-target"}],
}


async def _send(running: RunningSite, vm: Vm) -> tuple[str, str]:
    """Return the code and execution of the refusal."""
    response = await running.client.post(
        f"http://{vm.callers_address}{CHAT_PATH}",
        headers={"Authorization": f"Bearer {running.key}"},
        json=CRASHING,
    )
    error = response.json()["error"]
    return error["code"], error["execution"]


async def _crashes(running: RunningSite, vm: Vm) -> list[list[str]]:
    """Return the crashes that a VM reports for each quarantined request."""
    response = await running.client.get(
        f"http://{vm.callers_address}/admin/quarantine",
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
    )
    return [entry["crashes"] for entry in response.json() if entry["is_quarantined"]]


class CrashingRequestTests(TestCase):
    def test_crashes_two_targets_and_is_then_refused_by_every_vm(self) -> None:
        async def scenario() -> None:
            async with serving_site("vm-1", "vm-2") as running:
                vms = list(running.site.vms_by_id.values())
                first = await _send(running, vms[0])
                self.assertEqual(("request_quarantined", "may_have_run"), first)
                for vm in vms * 2:
                    refused = await _send(running, vm)
                    self.assertEqual(("request_quarantined", "not_run"), refused)
                for vm in vms:
                    (crashes,) = await _crashes(running, vm)
                    self.assertEqual(2, len(crashes))

        asyncio.run(scenario())
