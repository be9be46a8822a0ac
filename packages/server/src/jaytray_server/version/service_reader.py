"""Reads an environment's head from the key-value service, by a watch and by a timer.

The watch reports a change at once but may stop reporting without an error. The timer
therefore reads the head periodically, often enough to keep to `IN_FORCE_BOUND_S`
without the watch.
"""

import asyncio
import random
from collections.abc import Callable

from jaytray_core import message_registry as messages
from jaytray_core.clock import MonotonicClock
from jaytray_core.document.parts import Head, decode_head
from jaytray_core.document.store import head_key
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.keyvalue import KeyValueRecord, KeyValueService
from jaytray_core.logs import get_logger

# An accepted version is in force on all live VMs within this time.
IN_FORCE_BOUND_S = 8.0
# Timeout of one read. The bound is the sum of a timer period, a read of the head, a
# read of parts and one second for messages between VMs.
READ_TIMEOUT_S = 1.0
TIMER_PERIOD_S = IN_FORCE_BOUND_S - 3 * READ_TIMEOUT_S
# Period of the timer after a failed read, and minimum pause after a failed watch.
RETRY_PERIOD_S = 2.0
WATCH_WAIT_S = 60.0
# A watch is cancelled if it has not returned this long after its wait time.
WATCH_GRACE_S = 5.0
# Minimum pause between watches, so that changes in quick succession are read together.
WATCH_PAUSE_S = 0.25
# Fraction of the period by which the timer is randomly shortened, to spread the VMs.
_JITTER_FRACTION = 0.2

# Takes (head, "kv" as its source).
OfferHead = Callable[[Head, str], None]


class ServiceReader:
    """Reads the head and its parts for one VM."""

    def __init__(
        self,
        *,
        environment: str,
        key_value: KeyValueService,
        offer_head: OfferHead,
        clock: MonotonicClock,
        rng: random.Random,
    ) -> None:
        self._key = head_key(environment)
        self._key_value = key_value
        self._offer_head = offer_head
        self._clock = clock
        self._rng = rng
        self._revision = 0
        self._last_response_at_s: float | None = None

    def age_s(self) -> float:
        """Return the seconds since the service last responded, -1 if it never did."""
        if self._last_response_at_s is None:
            return -1.0
        return self._clock() - self._last_response_at_s

    async def run_timer(self) -> None:
        """Read the head on a timer until cancelled."""
        while True:
            is_read = await self.read_head_once()
            period = TIMER_PERIOD_S if is_read else RETRY_PERIOD_S
            await asyncio.sleep(period * (1 - _JITTER_FRACTION * self._rng.random()))

    async def run_watch(self) -> None:
        """Watch the head for changes until cancelled."""
        while True:
            is_read = await self._watch_once()
            pause = WATCH_PAUSE_S if is_read else RETRY_PERIOD_S
            await asyncio.sleep(pause * (1 + self._rng.random()))

    async def read_head_once(self) -> bool:
        """Read the head; returns False if the service did not respond."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                record = await self._key_value.get(self._key)
        except (JaytrayError, TimeoutError) as err:
            _log_failure("document_read_failed", err)
            return False
        self._last_response_at_s = self._clock()
        if record is not None:
            self._revision = record.revision
            self._offer_record(record)
        return True

    async def read_part(self, key: str) -> bytes:
        """Return a part's value; raises `JaytrayError` if it cannot be read."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                record = await self._key_value.get(key)
        except TimeoutError as err:
            raise _unavailable_error(
                f"no response within {READ_TIMEOUT_S:g} s"
            ) from err
        if record is None:
            raise _unavailable_error(f"{key} is absent")
        self._last_response_at_s = self._clock()
        return record.value

    async def _watch_once(self) -> bool:
        try:
            async with asyncio.timeout(WATCH_WAIT_S + WATCH_GRACE_S):
                batch = await self._key_value.watch(
                    self._key, self._revision, WATCH_WAIT_S
                )
        except (JaytrayError, TimeoutError) as err:
            _log_failure("document_watch_failed", err)
            return False
        self._last_response_at_s = self._clock()
        self._revision = batch.revision
        for record in batch.records:
            if record.key == self._key:
                self._offer_record(record)
        return True

    def _offer_record(self, record: KeyValueRecord) -> None:
        try:
            head = decode_head(record.value)
        except JaytrayError as err:
            _log_failure("document_head_malformed", err)
            return
        self._offer_head(head, "kv")


def _unavailable_error(detail: str) -> JaytrayError:
    return JaytrayError(
        messages.KEY_VALUE_UNAVAILABLE,
        step=Step.CONFIGURATION,
        peer="kv",
        detail=detail,
    )


def _log_failure(event: str, err: Exception) -> None:
    code = err.code if isinstance(err, JaytrayError) else "timeout"
    get_logger().warning(event, peer="kv", code=code)
