"""Fakes of the messages between VMs and of the key-value service.

Both deliver with a delay through the schedule, and inject the faults that are set on
them: lost, duplicated or late deliveries, and links that are cut or down.
"""

import asyncio
import random
from collections.abc import Callable
from typing import TypeVar

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.keyvalue import (
    KeyValueRecord,
    KeyValueService,
    PrefixRead,
    SwapResult,
    WatchBatch,
)
from jaytray_standins.key_value.store import KeyValueStore
from tools.limits_model.virtual_loop import Schedule, VirtualLoop

T = TypeVar("T")
# Delivers one message: (receiver, sender, topic, body).
Delivery = Callable[[str, str, str, bytes], None]

ONE_WAY_DELAY_S = 0.0008
KEY_VALUE_DELAY_S = 0.002
KEY_VALUE_TIMEOUT_S = 1.0
LATE_MESSAGE_S = 6.0


class PeerLinks:
    """Message links between VMs with fault injection.

    `loss_probability` and `duplicate_probability` are the probabilities that a message
    is lost and that an extra copy of it is sent; `late_probability` is the probability
    that a copy is late.
    """

    def __init__(self, *, schedule: Schedule, rng: random.Random) -> None:
        self._schedule = schedule
        self._rng = rng
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.late_probability = 0.0
        self.deliver: Delivery = lambda *_message: None
        self._island: frozenset[str] = frozenset()

    def partition(self, island: frozenset[str]) -> None:
        """Partition the VMs of `island` from all others; an empty set ends it."""
        self._island = island

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two VMs cannot reach each other."""
        return (one in self._island) != (other in self._island)

    def send(self, sender: str, receiver: str, topic: str, body: bytes) -> bool:
        """Schedule the delivery of a message: once, twice or not at all.

        Returns False if the link is cut.
        """
        if self.is_cut(sender, receiver):
            return False
        copies = 0 if self._rng.random() < self.loss_probability else 1
        copies += self._rng.random() < self.duplicate_probability
        for _ in range(copies):
            delay = ONE_WAY_DELAY_S * (0.5 + self._rng.random())
            if self._rng.random() < self.late_probability:
                delay += self._rng.random() * LATE_MESSAGE_S
            self._schedule.after(
                delay, lambda: self.deliver(receiver, sender, topic, body)
            )
        return True


class KeyValueLink:
    """Connection of one process to the key-value service, with fault injection.

    `lost_requests`, `lost_answers` and `late_requests` are probabilities.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        schedule: Schedule,
        loop: VirtualLoop,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._schedule = schedule
        self._loop = loop
        self._rng = rng
        self.is_down = False
        self.lost_requests = 0.0
        self.lost_answers = 0.0
        self.late_requests = 0.0
        self.calls = 0
        self.bytes = 0

    def service(self) -> KeyValueService:
        """Return the service; only the functions that the limits use work."""

        async def get(key: str) -> KeyValueRecord | None:
            record = await self._call(lambda: self._store.get(key))
            self.bytes += len(record.value) if record else 0
            return record

        async def compare_and_swap(
            key: str, revision: int, value: bytes | None, lease_id: str
        ) -> SwapResult:
            self.bytes += len(value or b"")
            return await self._call(
                lambda: self._store.compare_and_swap(key, revision, value, lease_id)
            )

        async def get_prefix(_prefix: str) -> list[KeyValueRecord]:
            raise NotImplementedError

        async def read_prefix(_prefix: str) -> PrefixRead:
            raise NotImplementedError

        async def grant_lease(_ttl_s: float) -> str:
            raise NotImplementedError

        async def keep_lease(_lease_id: str) -> bool:
            raise NotImplementedError

        async def revoke_lease(_lease_id: str) -> None:
            raise NotImplementedError

        async def watch(_prefix: str, _after: int, _wait_s: float) -> WatchBatch:
            raise NotImplementedError

        return KeyValueService(
            get=get,
            get_prefix=get_prefix,
            read_prefix=read_prefix,
            compare_and_swap=compare_and_swap,
            grant_lease=grant_lease,
            keep_lease=keep_lease,
            revoke_lease=revoke_lease,
            watch=watch,
        )

    async def _call(self, run: Callable[[], T]) -> T:
        self.calls += 1
        if self.is_down:
            await asyncio.sleep(KEY_VALUE_DELAY_S)
            raise _unavailable()
        response: asyncio.Future[T] = self._loop.create_future()
        if self._rng.random() >= self.lost_requests:
            delay = KEY_VALUE_DELAY_S * (0.5 + self._rng.random())
            if self._rng.random() < self.late_requests:
                delay += self._rng.random() * LATE_MESSAGE_S
            is_lost = self._rng.random() < self.lost_answers
            self._schedule.after(delay, lambda: self._apply(run, response, is_lost))
        try:
            async with asyncio.timeout(KEY_VALUE_TIMEOUT_S):
                return await response
        except TimeoutError:
            raise _uncertain() from None

    def _apply(
        self, run: Callable[[], T], response: asyncio.Future[T], is_lost: bool
    ) -> None:
        result = run()

        def finish() -> None:
            if not response.done() and not self._loop.is_closed():
                response.set_result(result)

        if not is_lost:
            self._schedule.after(KEY_VALUE_DELAY_S, finish)


def _unavailable() -> JaytrayError:
    return JaytrayError(
        messages.KEY_VALUE_UNAVAILABLE, step=Step.KEY_VALUE, peer="kv", detail="down"
    )


def _uncertain() -> JaytrayError:
    return JaytrayError(
        messages.KEY_VALUE_UNCERTAIN,
        step=Step.KEY_VALUE,
        peer="kv",
        execution=Execution.MAY_HAVE_RUN,
        detail="no response",
    )
