"""Tests of repeated stop signals, with a virtual clock."""

import asyncio
import os
import signal
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from jaytray_server.process.stop_signals import (
    IMMEDIATE_EXIT_STATUS,
    install_stop_signals,
)


class StopSignalTests(TestCase):
    @parameterized.expand(
        [
            ("within_the_grace_period", 8.0, 7.9, []),
            ("after_the_grace_period", 8.0, 8.1, [IMMEDIATE_EXIT_STATUS]),
            ("without_a_grace_period", 0.0, 0.0, [IMMEDIATE_EXIT_STATUS]),
        ]
    )
    def test_second_signal(
        self, _name: str, grace_s: float, after_s: float, exits: list[int]
    ) -> None:
        # A second SIGTERM cut off the requests that the first one lets finish.
        exited: list[int] = []

        async def run() -> bool:
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            stop = install_stop_signals(grace_s=grace_s)
            for number, now_s in ((signal.SIGTERM, 0.0), (signal.SIGINT, after_s)):
                with mock.patch.object(
                    loop, "time", lambda now_s=now_s: begun_s + now_s
                ):
                    os.kill(os.getpid(), number)
                    for _ in range(100):
                        await asyncio.sleep(0)
            return stop.is_set()

        with mock.patch.object(os, "_exit", exited.append):
            self.assertTrue(asyncio.run(run()))
        self.assertEqual(exits, exited)
