"""When each of many keys was last seen, for a bounded number of keys."""

from collections import OrderedDict


class RecentTimes:
    """Times by key; beyond `max_keys` the keys not seen for longest are dropped."""

    def __init__(self, *, max_keys: int) -> None:
        self._max_keys = max_keys
        self._seen_at_s_by_key: OrderedDict[str, float] = OrderedDict()

    def note(self, key: str, now_s: float) -> None:
        """Record that the key is seen now."""
        self._seen_at_s_by_key[key] = now_s
        self._seen_at_s_by_key.move_to_end(key)
        if len(self._seen_at_s_by_key) > self._max_keys:
            self._seen_at_s_by_key.popitem(last=False)

    def last(self, key: str) -> float:
        """Return when the key was last seen, minus infinity if that is not known."""
        return self._seen_at_s_by_key.get(key, -float("inf"))
