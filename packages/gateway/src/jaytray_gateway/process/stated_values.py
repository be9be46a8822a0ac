"""Values that targets state in their responses, known to all members.

A value is in force from the first response that states it until a response to a request
sent later states none. It belongs to one start of a target.
"""

from collections.abc import Callable
from typing import NamedTuple

from jaytray_core.clock import MonotonicClock
from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_gateway.process.peer_sends import send_to_others
from jaytray_gateway.process.target_entry import TargetEntry
from jaytray_server.ports import PeerNetwork


class StatedValue(NamedTuple):
    """A value of a target; None means that the target states none."""

    target_id: str
    incarnation: str
    value: float | None


class _KnownValue(NamedTuple):
    incarnation: str
    value: float
    stated_at_s: float


class StatedValues:
    """Values of one kind; members exchange them under `topic`."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: MonotonicClock,
        topic: str,
        log_change: Callable[[StatedValue], None],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._topic = topic
        self._log_change = log_change
        self._known_by_target: dict[str, _KnownValue] = {}
        peers.set_handler(topic, self._handle_value)

    def record_response(
        self, target: TargetEntry, value: float | None, *, sent_at_s: float
    ) -> None:
        """Record the value in the response to a request sent at `sent_at_s`."""
        known = self._known(target.target_id, target.incarnation)
        if value is None and (known is None or known.stated_at_s >= sent_at_s):
            return
        stated = StatedValue(target.target_id, target.incarnation, value)
        self._apply(stated)
        if known is None or known.value != value:
            send_to_others(self._peers, self._topic, encode_msgpack(stated))

    def find(self, target: TargetEntry) -> float | None:
        """Return the value in force, or None."""
        known = self._known(target.target_id, target.incarnation)
        return known.value if known else None

    def count(self) -> int:
        """Return the number of targets that state a value, as far as is known."""
        return len(self._known_by_target)

    def retain_targets(self, target_ids: frozenset[str]) -> None:
        """Drop the values of all other targets, which have left the directory."""
        for gone in self._known_by_target.keys() - target_ids:
            del self._known_by_target[gone]

    def _known(self, target_id: str, incarnation: str) -> _KnownValue | None:
        known = self._known_by_target.get(target_id)
        return known if known and known.incarnation == incarnation else None

    def _apply(self, stated: StatedValue) -> None:
        known = self._known(stated.target_id, stated.incarnation)
        if stated.value is None:
            self._known_by_target.pop(stated.target_id, None)
        else:
            self._known_by_target[stated.target_id] = _KnownValue(
                stated.incarnation, stated.value, self._clock()
            )
        if (known.value if known else None) != stated.value:
            self._log_change(stated)

    def _handle_value(self, sender: str, body: bytes) -> None:
        self._apply(decode_msgpack(body, StatedValue, peer=sender))
