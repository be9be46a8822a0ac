"""Tests of which failures count as a crash of a target."""

import asyncio
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from jaytray_core import message_registry as messages
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.targets import LoadReport, TargetConnection
from jaytray_server.process.quarantine.crash_detection import (
    has_crashed,
    is_service_down,
)

REPORT = LoadReport("t1", "boot-2", 0.0, [], [], 0, 0, 0, 0, False)


def _connection(response: LoadReport | messages.MessageTemplate) -> TargetConnection:
    async def load_report() -> LoadReport:
        if isinstance(response, LoadReport):
            return response
        raise JaytrayError(response, step=Step.TARGET, detail="", timeout_s=1)

    unused: Any = None
    return TargetConnection(
        "t1", unused, unused, unused, unused, unused, load_report, unused, unused
    )


class CrashDetectionTests(TestCase):
    @parameterized.expand(
        [
            ("same_boot", REPORT, "boot-2", False, False),
            ("other_boot", REPORT, "boot-1", True, False),
            ("unknown_boot", REPORT, "", False, False),
            ("down", messages.TARGET_UNREACHABLE, "boot-1", True, True),
            ("restarting", messages.TARGET_REFUSED, "boot-1", True, False),
            ("failing", messages.TARGET_FAILED, "boot-1", True, False),
            ("silent", messages.TARGET_TIMEOUT, "boot-1", False, False),
        ]
    )
    def test_failure_is_classified(
        self,
        _name: str,
        response: LoadReport | messages.MessageTemplate,
        boot_id: str,
        engine_crashed: bool,
        service_down: bool,
    ) -> None:
        connection = _connection(response)
        self.assertEqual(engine_crashed, asyncio.run(has_crashed(connection, boot_id)))
        self.assertEqual(service_down, asyncio.run(is_service_down(connection)))
