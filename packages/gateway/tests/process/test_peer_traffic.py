"""Tests of the log line on what a member sends to others."""

import collections

from structlog.testing import capture_logs
from testtools import TestCase

from jaytray_gateway.process.peer_traffic import PeerTraffic


class PeerTrafficTests(TestCase):
    def test_line_names_the_peak_and_the_topics_since_the_last_one(self) -> None:
        sent_by_topic: collections.Counter[str] = collections.Counter()
        traffic = PeerTraffic(sent_by_topic=sent_by_topic)
        with capture_logs() as lines:
            for size in (10, 500, 20):
                sent_by_topic.update({"notices": size, "digest": 1})
                traffic.update()
            traffic.log()
            sent_by_topic.update({"digest": 7})
            traffic.update()
            traffic.log()
            traffic.log()
        self.assertEqual(
            [(533, 501, "notices:530,digest:3"), (7, 7, "digest:7")],
            [(x["bytes"], x["most_bytes_per_s"], x["by_topic"]) for x in lines],
        )
