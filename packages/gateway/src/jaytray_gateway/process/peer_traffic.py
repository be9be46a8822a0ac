"""Logs how much this member sends to others, and for what.

A member that sends for others can fill its link for a moment, and what it sends to
targets and callers then waits.
"""

import collections
from collections.abc import Mapping

from jaytray_core.logs import get_logger

# Topics that the log line names.
LOGGED_TOPICS = 5


class PeerTraffic:
    """Bytes sent since the last line; `sent_by_topic` counts those since the start."""

    def __init__(self, *, sent_by_topic: Mapping[str, int]) -> None:
        self._sent_by_topic = sent_by_topic
        self._total = 0
        self._most_per_update = 0
        self._logged_by_topic: collections.Counter[str] = collections.Counter()

    def update(self) -> None:
        """Note what was sent since the last call; called once per second."""
        total = sum(self._sent_by_topic.values())
        self._most_per_update = max(self._most_per_update, total - self._total)
        self._total = total

    def log(self) -> None:
        """Log what was sent since the last line, unless that is nothing."""
        sent_by_topic = collections.Counter(self._sent_by_topic)
        news = sent_by_topic - self._logged_by_topic
        self._logged_by_topic = sent_by_topic
        if news:
            get_logger().info(
                "peer_traffic",
                bytes=news.total(),
                most_bytes_per_s=self._most_per_update,
                by_topic=",".join(
                    f"{topic}:{size}" for topic, size in news.most_common(LOGGED_TOPICS)
                ),
            )
        self._most_per_update = 0
