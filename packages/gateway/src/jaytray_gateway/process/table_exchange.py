"""Passes route tables on from hubs, so that not every member reads them.

Answers a change of the configuration in a large fleet, at which each member would read
the store. A member asks the same hubs as for other changes. A hub that does not have
the table yet answers as soon as it has, and the member reads the store if that takes
too long. Tables are compressed; larger ones are read by each member, as a hub on a slow
link would take longer to send them to its group.
"""

import asyncio
import random
import zlib
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.keyvalue import MAX_VALUE_BYTES, KeyValueRecord, WatchBatch
from jaytray_core.logs import get_logger
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.directory_exchange import (
    MAX_SENT_VALUE_BYTES,
    HubsToAsk,
)
from jaytray_server.ports import PeerNetwork

# Time for an answer, as a fraction of the bound on a change. Enough is left for a read.
ANSWER_FRACTION = 0.15
# Hubs that are asked before the store is read.
MAX_ASKED = 2
# Questions that a hub keeps while it does not have the table itself.
MAX_KEPT_QUESTIONS = 512

_ASK = "gateway.table_ask"
_ANSWER = "gateway.table_answer"


class _Question(NamedTuple):
    """Asks for the route table of this revision or a later one."""

    number: int
    revision: int


class _Answer(NamedTuple):
    """The route table as compressed by zlib, empty if it is too large."""

    number: int
    revision: int
    compressed: bytes


class _KeptQuestion(NamedTuple):
    asked_at_s: float
    question: _Question


class TableExchange:
    """Asks hubs for route tables, and answers the questions of other members."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        directory: Directory,
        key: str,
        hubs: HubsToAsk,
        clock: MonotonicClock,
        rng: random.Random,
        bound_s: float,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._key = key
        self._hubs = hubs
        self._clock = clock
        self._answer_s = ANSWER_FRACTION * bound_s
        # Random, as answers to questions of an earlier start may still arrive.
        self._number = rng.getrandbits(48)
        self._waiter_by_number: dict[int, asyncio.Future[bool]] = {}
        self._kept_by_sender: dict[str, _KeptQuestion] = {}
        self._compressed = _Answer(0, 0, b"")
        peers.set_handler(_ASK, self._handle_question)
        peers.set_handler(_ANSWER, self._handle_answer)
        directory.on_change(self._answer_kept)

    async def fetch(self, revision: int) -> bool:
        """Return whether a hub has sent the table of this revision or a later one."""
        others = [hub for hub in self._hubs() if hub != self._peers.vm_id]
        for hub in others[:MAX_ASKED]:
            if await self._ask(hub, revision):
                return True
        return False

    async def _ask(self, hub: str, revision: int) -> bool:
        if self._directory.route_table_revision() >= revision:
            return True
        self._number += 1
        number = self._number
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiter_by_number[number] = waiter
        try:
            question = encode_msgpack(_Question(number, revision))
            if not self._peers.send(hub, _ASK, question):
                return False
            async with asyncio.timeout(self._answer_s):
                return await waiter
        except TimeoutError:
            get_logger().info("table_not_answered", peer=hub, revision=revision)
            return False
        finally:
            del self._waiter_by_number[number]

    def _handle_question(self, sender: str, body: bytes) -> None:
        question = decode_msgpack(body, _Question, peer=sender)
        if self._directory.route_table_revision() >= question.revision:
            self._send(sender, question)
        elif len(self._kept_by_sender) < MAX_KEPT_QUESTIONS:
            self._kept_by_sender[sender] = _KeptQuestion(self._clock(), question)

    def _answer_kept(self) -> None:
        """Answer the members that wait for a table that is known now."""
        if not self._kept_by_sender:
            return
        revision = self._directory.route_table_revision()
        oldest_s = self._clock() - self._answer_s
        for sender, kept in list(self._kept_by_sender.items()):
            is_answered = revision >= kept.question.revision
            if is_answered or kept.asked_at_s < oldest_s:
                del self._kept_by_sender[sender]
            if is_answered:
                self._send(sender, kept.question)

    def _send(self, member: str, question: _Question) -> None:
        state = self._directory.history.state_by_key[self._key]
        if self._compressed.revision != state.revision:
            compressed = zlib.compress(state.value)
            is_small = len(compressed) <= MAX_SENT_VALUE_BYTES
            self._compressed = _Answer(0, state.revision, compressed * is_small)
        answer = self._compressed._replace(number=question.number)
        self._peers.send(member, _ANSWER, encode_msgpack(answer))

    def _handle_answer(self, sender: str, body: bytes) -> None:
        answer = decode_msgpack(body, _Answer, peer=sender)
        waiter = self._waiter_by_number.get(answer.number)
        value = _decompress(answer.compressed)
        if value:
            # The copy stays as old as it is, as other changes may be lacking.
            record = KeyValueRecord(self._key, value, answer.revision)
            batch = WatchBatch([record], 0)
            self._directory.apply_batch(batch, -float("inf"), is_from_hub=True)
        if waiter is not None and not waiter.done():
            waiter.set_result(bool(value))


def _decompress(compressed: bytes) -> bytes:
    """Return the value, empty if it is not usable."""
    if not compressed:
        return b""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(compressed, MAX_VALUE_BYTES)
    except zlib.error as err:
        get_logger().warning("table_not_decompressed", error=str(err))
        return b""
    return value if decompressor.eof else b""
