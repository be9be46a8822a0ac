"""Sends the placement leader's forecasts of loads to all members."""

from collections.abc import Callable

from jaytray_core.clock import MonotonicClock
from jaytray_core.logs import get_logger
from jaytray_gateway.process.load_forecasts import LoadForecast

# Interval at which unchanged forecasts of loads are repeated, as messages may be lost.
# Longer in larger fleets, like the members' reports.
FORECAST_INTERVAL_S = 1.0
FORECAST_S_PER_MEMBER = 0.02


class ForecastSender:
    """Sends forecasts when the models in them change, and repeats them."""

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
        interval_s = max(
            FORECAST_INTERVAL_S, FORECAST_S_PER_MEMBER * self._member_count()
        )
        now_s = self._clock()
        if not is_news and not (models and now_s - self._sent_at_s >= interval_s):
            return
        if is_news:
            ready_in_s = ",".join(f"{f['model']}:{f['ready_in_s']}" for f in forecasts)
            get_logger().info("loads_forecast", ready_in_s=ready_in_s)
        self._models = models
        self._sent_at_s = now_s
        self._broadcast(forecasts)
