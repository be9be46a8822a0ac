"""Tests of cancelling tasks and waiting for events."""

import asyncio

from testtools import TestCase

from jaytray_core.tasks import cancel_all, wait_until_set


class CancelAllTests(TestCase):
    def test_returns_once_all_have_ended(self) -> None:
        ended: list[str] = []

        async def run(name: str) -> None:
            try:
                await asyncio.Event().wait()
            finally:
                await asyncio.sleep(0)
                ended.append(name)
                if name == "fails":
                    raise ValueError(name)

        async def check() -> None:
            tasks = [asyncio.create_task(run(name)) for name in ("ends", "fails")]
            await asyncio.sleep(0)
            await cancel_all(tasks)
            self.assertEqual(["ends", "fails"], ended)

        asyncio.run(check())


class WaitUntilSetTests(TestCase):
    def test_tells_whether_the_event_was_set_in_time(self) -> None:
        async def check() -> None:
            event = asyncio.Event()
            self.assertFalse(await wait_until_set(event, 0.01))
            asyncio.get_running_loop().call_later(0.01, event.set)
            self.assertTrue(await wait_until_set(event, 5.0))

        asyncio.run(check())
