"""Updates of the directory's copy from the hubs of this member's group.

In a large fleet only a few hubs watch the key-value service. The other hubs ask one of
them, and the members of a group ask its hub, for the changes after their own revision.
Any member may be asked, as an answer states how old the copy is that it comes from;
members that are asked keep their copies younger than others.

The age is counted from before the call to the service that the copy rests on. The
updated copy is current as of the time at which the question was sent, less that age, so
a slow link or a suspended VM makes it look older, never younger.

Large values are not sent: on a link of 5 Mbit/s, a hub would take several times the
bound on a change to send a route table of some hundred kilobytes to its whole group.
Members then read them from the service.
"""

import asyncio
import random
from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_core.keyvalue import KeyValueRecord, WatchBatch
from jaytray_core.logs import get_logger
from jaytray_gateway.process.directory import Directory
from jaytray_gateway.process.store_outage import REREGISTRATION_S
from jaytray_server.ports import PeerNetwork

# Largest value in an answer. Eight of them take 0.2 s on a link of 5 Mbit/s.
MAX_SENT_VALUE_BYTES = 16_384
# Largest answer, above which the member reads the service.
MAX_ANSWER_BYTES = 131_072
# Time limit for an answer: many times the latency between failure domains.
ANSWER_TIMEOUT_S = 0.3
# The same as a fraction of the bound on a change.
ANSWER_TIMEOUT_FRACTION = 0.1
# Age of the copy, as a fraction of the bound, above which another source is asked.
MAX_UPDATED_AGE_FRACTION = 0.4
# Times for which a hub is not asked, at random so that members of a group do not return
# in step: one that did not answer, and one whose copy was of no use.
SILENT_S = (1.5, 3.0)
USELESS_S = (0.5, 1.0)
# A member that was asked within this time keeps its copy as young as a hub's.
SERVING_S = 2.0
# Time for which a late answer is still applied.
MAX_LATENESS_S = 3.0

_ASK = "gateway.directory_ask"
_ANSWER = "gateway.directory_answer"

# () -> the members to ask in order, this one included where it watches if those before
# it are silent, and empty in a small fleet.
HubsToAsk = Callable[[], tuple[str, ...]]


class UpdateResult(Enum):
    """What an answer did for the copy.

    `LARGE` means that the copy lacks a large value, and `RESTORED` that the service has
    returned from an older copy since this member's last read.
    """

    FRESH = "fresh"
    LARGE = "large"
    OLD = "old"
    UNKNOWN = "unknown"
    RESTORED = "restored"
    SILENT = "silent"


# Results after which no other hub is asked.
FINAL_RESULTS = (UpdateResult.FRESH, UpdateResult.LARGE, UpdateResult.RESTORED)


class _Question(NamedTuple):
    """`newest_revision` is that of the copy's newest record."""

    number: int
    revision: int
    newest_revision: int


class _LargeValue(NamedTuple):
    key: str
    revision: int


class _Answer(NamedTuple):
    """Changes up to `revision`, None if some of them are not known or not sent.

    `restores` is the sender's count of the service's restores, and `outage_age_s` the
    time since the end of the last outage in its view, None if long ago.
    """

    number: int
    age_s: float
    restores: int
    revision: int
    outage_age_s: float | None
    records: list[KeyValueRecord] | None
    large: list[_LargeValue]


class _Pending(NamedTuple):
    hub: str
    asked_s: float
    waiter: asyncio.Future[UpdateResult]


class DirectoryExchange:
    """Asks hubs for updates, and answers the questions of other members."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        directory: Directory,
        hubs: HubsToAsk,
        clock: MonotonicClock,
        rng: random.Random,
        bound_s: float,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._hubs = hubs
        self._clock = clock
        self._rng = rng
        self._timeout_s = min(ANSWER_TIMEOUT_S, bound_s * ANSWER_TIMEOUT_FRACTION)
        self._max_age_s = bound_s * MAX_UPDATED_AGE_FRACTION
        # Random, as answers to questions of an earlier start may still arrive.
        self._number = rng.getrandbits(48)
        self._pending_by_number: dict[int, _Pending] = {}
        self._skipped_until_s_by_hub: dict[str, float] = {}
        self._asked_at_s = -inf
        peers.set_handler(_ASK, self._handle_question)
        peers.set_handler(_ANSWER, self._handle_answer)

    def is_used(self) -> bool:
        """Return whether the fleet has hubs."""
        return bool(self._hubs())

    def is_asked(self) -> bool:
        """Return whether other members' copies depend on this one."""
        return self._clock() - self._asked_at_s < SERVING_S

    def is_source(self) -> bool:
        """Return whether this member watches for others.

        That is the first one to ask, and any that is asked while those that it should
        ask itself are of no use.
        """
        is_first = self._hubs()[:1] == (self._peers.vm_id,)
        return is_first or (self.is_asked() and not self._hubs_to_ask())

    async def update(self, ends_s: float) -> UpdateResult:
        """Ask hubs until the copy is fresh or `ends_s` is reached.

        Returns the last result, which is `SILENT` if there was no hub to ask.
        """
        result = UpdateResult.SILENT
        for hub in self._hubs_to_ask():
            timeout_s = min(self._timeout_s, ends_s - self._clock())
            if timeout_s <= 0:
                break
            result = await self._ask(hub, timeout_s)
            if result in FINAL_RESULTS:
                break
            is_silent = result is UpdateResult.SILENT
            skip_s = self._rng.uniform(*(SILENT_S if is_silent else USELESS_S))
            self._skipped_until_s_by_hub[hub] = self._clock() + skip_s
            get_logger().info("directory_hub_skipped", peer=hub, reason=result.value)
        return result

    def _hubs_to_ask(self) -> list[str]:
        now_s = self._clock()
        hubs = [hub for hub in self._hubs() if hub != self._peers.vm_id]
        self._skipped_until_s_by_hub = {
            hub: until_s
            for hub, until_s in self._skipped_until_s_by_hub.items()
            if until_s > now_s
        }
        return [hub for hub in hubs if hub not in self._skipped_until_s_by_hub]

    async def _ask(self, hub: str, timeout_s: float) -> UpdateResult:
        now_s = self._clock()
        self._pending_by_number = {
            number: pending
            for number, pending in self._pending_by_number.items()
            if now_s - pending.asked_s < MAX_LATENESS_S
        }
        self._number += 1
        pending = _Pending(hub, now_s, asyncio.get_running_loop().create_future())
        self._pending_by_number[self._number] = pending
        question = _Question(
            self._number,
            self._directory.revision,
            self._directory.history.newest_revision(),
        )
        if not self._peers.send(hub, _ASK, encode_msgpack(question)):
            return UpdateResult.SILENT
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(pending.waiter)
        except TimeoutError:
            return UpdateResult.SILENT

    def _handle_question(self, sender: str, body: bytes) -> None:
        question = decode_msgpack(body, _Question, peer=sender)
        self._asked_at_s = self._clock()
        answer = self._answer(question)
        encoded = encode_msgpack(answer)
        if len(encoded) > MAX_ANSWER_BYTES:
            encoded = encode_msgpack(answer._replace(records=None, large=[]))
        self._peers.send(sender, _ANSWER, encoded)

    def _answer(self, question: _Question) -> _Answer:
        directory = self._directory
        outage_age_s = directory.outage.end_age_s()
        if directory.age_s() < directory.outage.failing_for_s():
            # Others reach the service, so only this member's connection is lost.
            outage_age_s = inf
        records = directory.history.changes_after(
            question.revision,
            question.newest_revision,
            known_revision=directory.revision,
        )
        sent, large = [], []
        for record in records or []:
            if len(record.value) > MAX_SENT_VALUE_BYTES:
                large.append(_LargeValue(record.key, record.revision))
            else:
                sent.append(record)
        return _Answer(
            number=question.number,
            age_s=directory.age_s(),
            restores=directory.restores or 0,
            revision=directory.revision,
            outage_age_s=outage_age_s if outage_age_s < REREGISTRATION_S else None,
            records=None if records is None else sent,
            large=large,
        )

    def _handle_answer(self, sender: str, body: bytes) -> None:
        answer = decode_msgpack(body, _Answer, peer=sender)
        pending = self._pending_by_number.get(answer.number)
        if pending is None or pending.hub != sender:
            return
        del self._pending_by_number[answer.number]
        result = self._apply(answer, pending.asked_s)
        if not pending.waiter.done():
            pending.waiter.set_result(result)

    def _apply(self, answer: _Answer, asked_s: float) -> UpdateResult:
        """Apply an answer to a question that was sent at `asked_s`."""
        directory = self._directory
        # Not a plain comparison, as an age that is not a number must not pass.
        if answer.records is None or not 0.0 <= answer.age_s < inf:
            return UpdateResult.UNKNOWN
        restores = directory.restores or 0
        if answer.restores != restores:
            is_ahead = answer.restores > restores
            return UpdateResult.RESTORED if is_ahead else UpdateResult.OLD
        as_of_s = asked_s - answer.age_s
        is_fresh = self._clock() - as_of_s <= self._max_age_s
        # What a hub without a young copy says may concern only its own connection.
        if is_fresh and answer.outage_age_s is not None:
            directory.outage.record_end(asked_s - answer.outage_age_s)
        if any(directory.history.is_newer(*value) for value in answer.large):
            # The copy stays as old as it is, as it lacks a change.
            partial = WatchBatch(answer.records, 0)
            directory.apply_batch(partial, -inf, is_from_hub=True)
            return UpdateResult.LARGE
        batch = WatchBatch(answer.records, answer.revision)
        directory.apply_batch(batch, as_of_s, is_from_hub=True)
        return UpdateResult.FRESH if is_fresh else UpdateResult.OLD
