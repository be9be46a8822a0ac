"""Tells when a failed call to the key-value service is worth repeating.

Answers an outage, in which every task of every member would repeat its own calls: reads
and watches that cost the service most. While calls fail, only the renewal of the
member's lease is repeated often, which is the cheapest call. The other tasks wait until
any call has succeeded, and try by themselves now and then, in case the service takes
their calls only.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from jaytray_core.errors import JaytrayError
from jaytray_core.keyvalue import KeyValueService
from jaytray_core.tasks import wait_until_set
from jaytray_gateway.process.store_calls import call_within

# Pause before a failed call is repeated while other calls succeed. Short, because the
# process stops serving when its copy is too old.
RETRY_PAUSE_S = 0.25
# Longest further wait for another call to succeed.
MAX_SILENT_S = 3.0


class StoreReach:
    """Whether the last call of this process to the service succeeded."""

    def __init__(self) -> None:
        # Set while the last call has failed, for the task that tries often.
        self.lost = asyncio.Event()
        self._reached = asyncio.Event()

    def observe(self, key_value: KeyValueService) -> KeyValueService:
        """Return the service with calls whose outcome is recorded."""
        return call_within(key_value, self._recorded)

    async def wait_to_retry(self) -> None:
        """Wait until a call that has failed is worth repeating."""
        await asyncio.sleep(RETRY_PAUSE_S)
        if self.lost.is_set():
            await wait_until_set(self._reached, MAX_SILENT_S)

    @contextmanager
    def _recorded(self) -> Iterator[None]:
        try:
            yield
        except JaytrayError:
            self.lost.set()
            self._reached.clear()
            raise
        self.lost.clear()
        self._reached.set()
