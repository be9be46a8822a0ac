"""Tests for received forecasts of loads, and for their message."""

from testtools import TestCase

from jaytray_core.codec import decode_msgpack, encode_msgpack
from jaytray_gateway.process.load_forecasts import (
    FORECAST_TTL_S,
    LoadForecast,
    LoadForecasts,
)


class LoadForecastsTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now_s = 100.0
        self.forecasts = LoadForecasts(clock=lambda: self.now_s)
        self.forecasts.apply([LoadForecast(service="svc", model="m", ready_in_s=3.0)])

    def test_counts_down(self) -> None:
        self.now_s += 2.0
        self.assertEqual(1.0, self.forecasts.ready_in_s("svc", "m"))
        self.now_s += 1.5
        self.assertEqual(0.0, self.forecasts.ready_in_s("svc", "m"))

    def test_other_models_are_not_known(self) -> None:
        self.assertIsNone(self.forecasts.ready_in_s("svc", "other"))
        self.assertIsNone(self.forecasts.ready_in_s("other", "m"))

    def test_forecast_that_is_not_repeated_is_dropped(self) -> None:
        self.now_s += FORECAST_TTL_S + 0.1
        self.assertIsNone(self.forecasts.ready_in_s("svc", "m"))

    def test_newest_forecasts_replace_all(self) -> None:
        self.forecasts.apply([])
        self.assertIsNone(self.forecasts.ready_in_s("svc", "m"))

    def test_unknown_fields_of_a_message_are_ignored(self) -> None:
        later = {"service": "svc", "model": "m", "ready_in_s": 1.0, "new_field": [1]}
        body = encode_msgpack([later])
        found = decode_msgpack(body, list[LoadForecast], peer="vm-2")
        self.assertEqual(1.0, found[0]["ready_in_s"])
