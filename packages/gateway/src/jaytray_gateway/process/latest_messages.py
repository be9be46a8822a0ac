"""The latest message of each sender, for as long as it counts."""

from typing import Generic, NamedTuple, TypeVar

from jaytray_core.clock import MonotonicClock

T = TypeVar("T")


class ReceivedMessage(NamedTuple, Generic[T]):
    """A message with its number and the time at which it arrived."""

    received_at_s: float
    number: int
    message: T


class LatestMessages(Generic[T]):
    """Messages by sender; their numbers rise, so late and doubled ones are ignored."""

    def __init__(self, *, clock: MonotonicClock, ttl_s: float) -> None:
        self._clock = clock
        self._ttl_s = ttl_s
        self.by_sender: dict[str, ReceivedMessage[T]] = {}

    def record(self, sender: str, number: int, message: T) -> bool:
        """Store a message; returns False for one that is late or doubled."""
        self.drop_expired()
        known = self.by_sender.get(sender)
        if known is not None and number <= known.number:
            return False
        self.by_sender[sender] = ReceivedMessage(self._clock(), number, message)
        return True

    def messages(self) -> list[T]:
        """Return the messages that are stored."""
        return [received.message for received in self.by_sender.values()]

    def drop_expired(self) -> None:
        """Drop messages that are older than the time for which they count."""
        oldest_s = self._clock() - self._ttl_s
        for sender, received in list(self.by_sender.items()):
            if received.received_at_s < oldest_s:
                del self.by_sender[sender]
