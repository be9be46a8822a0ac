"""The placement leader's forecasts of when models will be loaded, as last received."""

from typing import NamedTuple, NotRequired, TypedDict

from jaytray_core.clock import MonotonicClock
from jaytray_gateway.request.returns import ForecastLoad

# Forecasts that are not repeated within this time are dropped: the leader changed.
FORECAST_TTL_S = 4.0


class LoadForecast(TypedDict):
    """Seconds until a model of a service is expected to be loaded somewhere.

    `demand` is that of all members in seconds of a target's time per second. A message
    between members; unknown fields are ignored, and builds before this one state no
    demand.
    """

    service: str
    model: str
    ready_in_s: float
    demand: NotRequired[float]


class _Received(NamedTuple):
    ready_at_s: float
    received_at_s: float
    first_received_at_s: float
    demand: float | None


class LoadForecasts:
    """Forecasts by service and model."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._received_by_key: dict[tuple[str, str], _Received] = {}

    def apply(self, forecasts: list[LoadForecast]) -> None:
        """Replace the forecasts by those that the leader states now."""
        now_s = self._clock()
        earlier = self._received_by_key
        self._received_by_key = {}
        for forecast in forecasts:
            key = forecast["service"], forecast["model"]
            first_at_s = earlier[key].first_received_at_s if key in earlier else now_s
            self._received_by_key[key] = _Received(
                now_s + forecast["ready_in_s"],
                now_s,
                first_at_s,
                forecast.get("demand"),
            )

    def ready_in_s(self, service: str, model: str) -> float | None:
        """Return the seconds until the model should be loaded, None if not known."""
        received = self._fresh(service, model)
        if received is None:
            return None
        return max(received.ready_at_s - self._clock(), 0.0)

    def load_of(self, service: str, model: str) -> ForecastLoad | None:
        """Return the forecast with its demand, None if one of them is not known."""
        received = self._fresh(service, model)
        if received is None or received.demand is None:
            return None
        now_s = self._clock()
        return ForecastLoad(
            ready_in_s=max(received.ready_at_s - now_s, 0.0),
            awaited_s=now_s - received.first_received_at_s,
            demand=received.demand,
        )

    def _fresh(self, service: str, model: str) -> _Received | None:
        received = self._received_by_key.get((service, model))
        if received and self._clock() - received.received_at_s > FORECAST_TTL_S:
            return None
        return received
