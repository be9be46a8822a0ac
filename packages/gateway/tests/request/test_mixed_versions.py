"""Tests that no stream holds events from targets of two software versions."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from jaytray_core.clock import monotonic_clock
from jaytray_gateway.ports import HeaderList
from jaytray_gateway.process.stream_origins import MAX_COPY_AGE_S, REPLY_TIMEOUT_S
from jaytray_gateway.version.route_table import Route
from packages.gateway.tests.request.cases import DISCONNECT, EVENTS, REST, RESUMABLE
from packages.gateway.tests.request.harness import KEY
from packages.gateway.tests.request.scripted_target import (
    ScriptedResponse,
    header_value,
)
from packages.gateway.tests.request.support import Fleet, open_fleet

CUT = ScriptedResponse(body=EVENTS, is_stream=True, is_complete=False)
WHOLE = ScriptedResponse(body=REST, is_stream=True)
ONE_ATTEMPT = RESUMABLE._replace(max_attempts=1)


def play(
    check: Callable[[Fleet], Awaitable[None]],
    *versions: str,
    route: Route = ONE_ATTEMPT,
    vms: int = 1,
) -> None:
    """Run `check` with targets of these versions.

    The first one breaks off its stream and gives no response after that.
    """

    async def play_one() -> None:
        responses = [[CUT, DISCONNECT], *([WHOLE] for _ in versions[1:])]
        async with open_fleet(*responses, route=route, vms=vms) as fleet:
            for vm in fleet.vms:
                for target, version in zip(vm.targets, versions, strict=True):
                    target.software_version = version
                vm.register_targets()
            await check(fleet)

    asyncio.run(play_one())


def continuation(original_request_id: bytes) -> HeaderList:
    """Return the headers of a request that continues a stream after two events."""
    return [
        (b"x-id", b"later"),
        (b"x-key", KEY),
        (b"x-last", b"2"),
        (b"x-original", original_request_id),
    ]


async def begin_stream(fleet: Fleet) -> None:
    """Have the first VM begin a stream at the first target, which is then gone."""
    received = await fleet.vms[0].send_request()
    assert received.body == EVENTS and not received.is_whole
    for vm in fleet.vms:
        del vm.directory.targets_by_id["t0"]


def sends(fleet: Fleet) -> list[int]:
    return [len(target.heads) for target in fleet.vms[0].targets]


class WithinOneResponseTests(TestCase):
    def test_stream_goes_on_at_its_own_version(self) -> None:
        async def check(fleet: Fleet) -> None:
            received = await fleet.vms[0].send_request()
            self.assertEqual((EVENTS + REST, True), (received.body, received.is_whole))
            self.assertEqual([1, 0, 1], sends(fleet))

        play(check, "v1", "v2", "v1", route=RESUMABLE)

    def test_stream_is_broken_off_without_a_target_of_its_version(self) -> None:
        async def check(fleet: Fleet) -> None:
            received = await fleet.vms[0].send_request()
            self.assertEqual((EVENTS, False), (received.body, received.is_whole))
            self.assertEqual(0, sends(fleet)[1])

        play(check, "v1", "v2", route=RESUMABLE)


class OverRequestsTests(TestCase):
    """The caller continues a stream with another request."""

    def test_stream_goes_on_at_its_own_version_at_another_vm(self) -> None:
        async def check(fleet: Fleet) -> None:
            await begin_stream(fleet)
            received = await fleet.vms[1].send_request(headers=continuation(b"r1"))
            self.assertEqual((REST, True), (received.body, received.is_whole))
            self.assertEqual([1, 0, 1], sends(fleet))
            head = fleet.vms[1].targets[2].heads[0]
            self.assertEqual(b"2", header_value(head, b"x-last"))

        play(check, "v1", "v2", "v1", vms=3)

    def test_stream_goes_on_after_the_vm_that_began_it_is_lost(self) -> None:
        async def check(fleet: Fleet) -> None:
            await begin_stream(fleet)
            fleet.network.cut_off.add(fleet.vms[0].vm_id)
            for number, vm in enumerate(fleet.vms[1:]):
                received = await vm.send_request(headers=continuation(b"r1"))
                self.assertEqual((REST, True), (received.body, received.is_whole))
                self.assertEqual([1, 0, 1 + number], sends(fleet))

        play(check, "v1", "v2", "v1", vms=8)

    def test_stream_is_refused_without_a_target_of_its_version(self) -> None:
        async def check(fleet: Fleet) -> None:
            await begin_stream(fleet)
            for vm in fleet.vms:
                for target in vm.targets:
                    target.software_version = "v2"
                vm.register_targets()
                received = await vm.send_request(headers=continuation(b"r1"))
                self.assertEqual((503, b"not_run"), (received.status, received.body))
                self.assertIn(b"retry-after", received.headers)
            self.assertEqual([1, 0], sends(fleet))

        play(check, "v1", "v2", vms=3)

    def test_stream_is_refused_at_a_vm_that_is_cut_off(self) -> None:
        async def check(fleet: Fleet) -> None:
            await begin_stream(fleet)
            fleet.network.cut_off.add(fleet.vms[1].vm_id)
            received = await fleet.vms[1].send_request(headers=continuation(b"r1"))
            self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertEqual([1, 0], sends(fleet))

        play(check, "v1", "v2", vms=3)

    def test_stream_that_nobody_knows_is_refused_among_several_versions(self) -> None:
        async def check(fleet: Fleet) -> None:
            for vm in fleet.vms:
                received = await vm.send_request(headers=continuation(b"lost"))
                self.assertEqual((503, b"not_run"), (received.status, received.body))
            self.assertEqual([0, 0], sends(fleet))

        play(check, "v1", "v2", vms=3)

    def test_stream_that_nobody_knows_goes_on_among_targets_of_one_version(
        self,
    ) -> None:
        async def check(fleet: Fleet) -> None:
            vm = fleet.vms[1]
            vm.directory.current_as_of_s = monotonic_clock() + 60.0
            received = await vm.send_request(headers=continuation(b"lost"))
            self.assertEqual(200, received.status)

        play(check, "v1", "v1", vms=3)

    def test_stream_that_nobody_knows_is_refused_without_a_current_directory(
        self,
    ) -> None:
        async def check(fleet: Fleet) -> None:
            for vm in fleet.vms:
                received = await vm.send_request(headers=continuation(b"lost"))
                self.assertEqual((503, b"not_run"), (received.status, received.body))
                vm.directory.current_as_of_s -= MAX_COPY_AGE_S
                begun_s = monotonic_clock()
                received = await vm.send_request(headers=continuation(b"lost"))
                self.assertEqual((503, b"not_run"), (received.status, received.body))
                self.assertLess(monotonic_clock() - begun_s, REPLY_TIMEOUT_S + 0.2)
            self.assertEqual([0, 0], sends(fleet))

        play(check, "v1", "v1", vms=2)
