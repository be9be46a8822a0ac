"""The placement leader's forecasts of when models will be loaded, as last received."""

from typing import NamedTuple, TypedDict

from jaytray_core.clock import MonotonicClock

# Forecasts that are not repeated within this time are dropped: the leader changed.
FORECAST_TTL_S = 4.0


class LoadForecast(TypedDict):
    """Seconds until a model of a service is expected to be loaded somewhere.

    A message between members; unknown fields are ignored.
    """

    service: str
    model: str
    ready_in_s: float


class _Received(NamedTuple):
    ready_at_s: float
    received_at_s: float


class LoadForecasts:
    """Forecasts by service and model."""

    def __init__(self, *, clock: MonotonicClock) -> None:
        self._clock = clock
        self._received_by_key: dict[tuple[str, str], _Received] = {}

    def apply(self, forecasts: list[LoadForecast]) -> None:
        """Replace the forecasts by those that the leader states now."""
        now_s = self._clock()
        self._received_by_key = {
            (forecast["service"], forecast["model"]): _Received(
                now_s + forecast["ready_in_s"], now_s
            )
            for forecast in forecasts
        }

    def ready_in_s(self, service: str, model: str) -> float | None:
        """Return the seconds until the model should be loaded, None if not known."""
        received = self._received_by_key.get((service, model))
        now_s = self._clock()
        if received is None or now_s - received.received_at_s > FORECAST_TTL_S:
            return None
        return max(received.ready_at_s - now_s, 0.0)
