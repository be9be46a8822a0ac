"""Tests of how often the leader's forecasts are sent, in virtual time."""

from parameterized import parameterized
from testtools import TestCase

from jaytray_core.codec import encode_msgpack
from jaytray_gateway.process.fleet_topology import group_count
from jaytray_gateway.process.load_forecasts import LoadForecast
from jaytray_gateway.process.placement.forecast_sender import (
    FORECAST_BYTES,
    ForecastSender,
)

# Changes come at the pace of the planner, as after a crash of many targets.
PLAN_INTERVAL_S = 0.08
CRASH_S = 8.0
QUIET_S = 2.0
# What a member may send on of the forecasts: a third of a link of 5 Mbit/s.
MAX_LINK_BYTES_PER_S = 5_000_000 / 8 / 3


class Fleet:
    """Members that receive the forecasts; `links` is how many a hub sends them to."""

    def __init__(self, *, members: int, links: int) -> None:
        self.now_s = 100.0
        self.sent: list[list[LoadForecast]] = []
        self.bytes_per_link = 0
        self._links = links
        self._sender = ForecastSender(
            broadcast=self._broadcast,
            member_count=lambda: members,
            clock=lambda: self.now_s,
        )

    def _broadcast(self, forecasts: list[LoadForecast]) -> None:
        self.sent.append(forecasts)
        self.bytes_per_link += len(encode_msgpack(forecasts)) * self._links

    def play(self, models: int, seconds: float, *, changes: bool) -> None:
        """Plan for so long; one model after the other is loaded if it `changes`."""
        for step in range(round(seconds / PLAN_INTERVAL_S)):
            loaded = step if changes else 0
            forecasts = [forecast(loaded + number) for number in range(models)]
            self._sender.send(forecasts)
            self.now_s += PLAN_INTERVAL_S


def forecast(number: int) -> LoadForecast:
    return LoadForecast(
        service="dexa86a", model=f"kade{number:07}", ready_in_s=4.25, demand=0.125
    )


class ForecastSenderTests(TestCase):
    """Forecasts filled the links of hubs, and closes reached targets late (GONE)."""

    @parameterized.expand([(61,), (89,), (370,)])
    def test_changes_leave_room_on_the_links_of_hubs(self, members: int) -> None:
        fleet = Fleet(members=members, links=group_count(members))
        fleet.play(80, CRASH_S, changes=True)
        self.assertLess(fleet.bytes_per_link / CRASH_S, MAX_LINK_BYTES_PER_S)
        self.assertGreater(len(fleet.sent), CRASH_S)

    @parameterized.expand([(8, 6), (61, 80)])
    def test_last_change_is_sent(self, members: int, models: int) -> None:
        fleet = Fleet(members=members, links=8)
        fleet.play(models, CRASH_S, changes=True)
        fleet.play(models, QUIET_S, changes=False)
        self.assertEqual(forecast(0), fleet.sent[-1][0])

    def test_small_fleet_is_told_of_each_change(self) -> None:
        fleet = Fleet(members=8, links=8)
        fleet.play(6, CRASH_S, changes=True)
        self.assertEqual(round(CRASH_S / PLAN_INTERVAL_S), len(fleet.sent))

    def test_size_of_a_forecast(self) -> None:
        self.assertLessEqual(len(encode_msgpack(forecast(1))), FORECAST_BYTES)
