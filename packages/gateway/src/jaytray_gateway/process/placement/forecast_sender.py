"""Sends the placement leader's forecasts of loads to all members."""

from collections.abc import Callable

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.fleet_topology import MIN_HUB_MEMBERS, group_count
from jaytray_gateway.process.load_forecasts import LoadForecast

# Interval at which unchanged forecasts of loads are repeated, as messages may be lost.
# Longer in larger fleets, like the members' reports.
FORECAST_INTERVAL_S = 1.0
FORECAST_S_PER_MEMBER = 0.02
# Encoded size of a forecast, and the bytes per second that changed forecasts may take
# on the link of each member that sends them on: a third of a link of 5 Mbit/s. Requests
# and the ends of connections wait behind them.
FORECAST_BYTES = 80
MAX_NEWS_BYTES_PER_S = 200_000


def news_interval_s(forecasts: int, members: int) -> float:
    """Return the time between messages of this size that the members' links allow."""
    has_hubs = members >= MIN_HUB_MEMBERS
    receivers = group_count(members) if has_hubs else members
    return forecasts * FORECAST_BYTES * receivers / MAX_NEWS_BYTES_PER_S


class ForecastSender:
    """Sends forecasts when the models in them change, and repeats them.

    Changes that follow each other too quickly for the members' links are sent together.
    """

    def __init__(
        self,
        *,
        broadcast: Callable[[list[LoadForecast]], None],
        member_count: Callable[[], int],
        clock: MonotonicClock,
    ) -> None:
        self._broadcast = broadcast
        self._member_count = member_count
        self._clock = clock
        self._models: set[tuple[str, str]] = set()
        self._sent_at_s = -float("inf")

    def send(self, forecasts: list[LoadForecast]) -> None:
        """Send the forecasts if that is news or some time ago."""
        models = {(forecast["service"], forecast["model"]) for forecast in forecasts}
        is_news = models != self._models
        members = self._member_count()
        repeat_s = max(FORECAST_INTERVAL_S, FORECAST_S_PER_MEMBER * members)
        now_s = self._clock()
        passed_s = now_s - self._sent_at_s
        if is_news and passed_s < news_interval_s(len(forecasts), members):
            return
        if not is_news and not (models and passed_s >= repeat_s):
            return
        if is_news:
            ready_in_s = ",".join(f"{f['model']}:{f['ready_in_s']}" for f in forecasts)
            get_logger().info("loads_forecast", ready_in_s=ready_in_s)
        self._models = models
        self._sent_at_s = now_s
        self._broadcast(forecasts)
