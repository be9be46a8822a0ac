"""Tests of when rejected callers return, with replays of a herd over the fleet."""

import random
from collections import Counter
from collections.abc import Callable

from testtools import TestCase

from jaytray_gateway.request.returns import (
    MAX_SPREAD_S,
    RETURN_CAPACITY_FRACTION,
    ForecastLoad,
    ReturnSchedule,
    return_after_load_s,
)

KEY = ("svc", "m")
MEMBERS = 195
# A request's share of a target, and the time of a load that callers do not wait for.
TAKES_S = 0.02
LOAD_S = 3.0
WINDOW_S = 0.2

# (member, time of the rejection, time left of the request) -> time of the return
Reject = Callable[[int, float], float]


def herd_returns(reject: Reject, *, callers_per_s: float, seed: int) -> list[float]:
    """Return when the callers come back that are rejected until the load is over."""
    rng = random.Random(seed)
    returns_at_s = []
    now_s = 0.0
    while (now_s := now_s + rng.expovariate(callers_per_s)) < LOAD_S:
        returns_at_s.append(reject(rng.randrange(MEMBERS), now_s))
    return returns_at_s


def most_in_a_window(returns_at_s: list[float]) -> int:
    """Return the largest number of callers that come back within a window."""
    counts = Counter(int(at_s / WINDOW_S) for at_s in returns_at_s)
    return max(counts.values())


def spread_by_each_member(members: int) -> Reject:
    """Return the plain rule: each member spreads its own callers in order."""
    last_at_s: dict[int, float] = {}

    def reject(member: int, now_s: float) -> float:
        spacing_s = TAKES_S * members / RETURN_CAPACITY_FRACTION
        next_at_s = last_at_s.get(member, -1e9) + spacing_s
        last_at_s[member] = min(max(LOAD_S, next_at_s), LOAD_S + MAX_SPREAD_S)
        return last_at_s[member]

    return reject


class HerdTests(TestCase):
    """A model that is loaded in 3 s, and 16 to 100 callers a second for it."""

    def test_callers_of_a_load_return_as_fast_as_it_can_serve_them(self) -> None:
        for seed, callers_per_s in ((1, 16.0), (2, 16.0), (3, 25.0), (4, 25.0)):
            demand = callers_per_s * TAKES_S

            def reject(_member: int, now_s: float, demand: float = demand) -> float:
                load = ForecastLoad(LOAD_S - now_s, now_s, demand)
                return now_s + return_after_load_s(load, left_s=15.0)

            returns_at_s = herd_returns(reject, callers_per_s=callers_per_s, seed=seed)
            # In the order of their rejection, over all members.
            self.assertEqual(sorted(returns_at_s), returns_at_s)
            self.assertGreaterEqual(returns_at_s[0], LOAD_S)
            # What a third of a target serves in a window, and chance.
            room = WINDOW_S / TAKES_S * RETURN_CAPACITY_FRACTION
            most = 2.5 * room + 3
            self.assertLess(most_in_a_window(returns_at_s), most)
            plain = herd_returns(
                spread_by_each_member(MEMBERS), callers_per_s=callers_per_s, seed=seed
            )
            self.assertGreater(most_in_a_window(plain), 2 * most)

    def test_callers_without_a_forecast_do_not_return_together(self) -> None:
        for seed in (1, 2, 3):
            schedules = [
                ReturnSchedule(rng=random.Random(f"{seed} {number}"))
                for number in range(MEMBERS)
            ]

            def reject(
                member: int,
                now_s: float,
                schedules: list[ReturnSchedule] = schedules,
            ) -> float:
                return now_s + schedules[member].retry_after_s(
                    KEY,
                    now_s=now_s,
                    ready_in_s=LOAD_S - now_s,
                    takes_s=TAKES_S,
                    members=MEMBERS,
                )

            returns_at_s = herd_returns(reject, callers_per_s=100.0, seed=seed)
            even = len(returns_at_s) * WINDOW_S / MAX_SPREAD_S
            self.assertLess(most_in_a_window(returns_at_s), 2 * even)
            plain = herd_returns(
                spread_by_each_member(MEMBERS), callers_per_s=100.0, seed=seed
            )
            self.assertGreater(most_in_a_window(plain), 5 * even)

    def test_caller_returns_before_its_request_ends_if_there_is_room(self) -> None:
        load = ForecastLoad(ready_in_s=1.0, awaited_s=3.0, demand=0.3)
        self.assertLess(1.0 + 0.9, return_after_load_s(load, left_s=15.0))
        self.assertEqual(1.0, return_after_load_s(load, left_s=1.5))
        # No room in time at all: the time of the load is the truth.
        self.assertEqual(1.0, return_after_load_s(load, left_s=0.5))

    def test_first_caller_returns_when_the_model_is_loaded(self) -> None:
        load = ForecastLoad(ready_in_s=3.0, awaited_s=0.0, demand=2.0)
        self.assertEqual(3.0, return_after_load_s(load, left_s=15.0))
        self.assertEqual(0.0, return_after_load_s(ForecastLoad(0, 0, 1), left_s=1.0))


class ReturnScheduleTests(TestCase):
    def test_rejected_callers_return_in_their_order_and_not_together(self) -> None:
        schedule = ReturnSchedule(rng=random.Random(1))
        returns_at_s = []
        for number in range(100):
            now_s = number * 0.02
            after_s = schedule.retry_after_s(
                KEY, now_s=now_s, ready_in_s=6.0 - now_s, takes_s=0.01, members=1
            )
            returns_at_s.append(now_s + after_s)
        self.assertEqual(sorted(returns_at_s), returns_at_s)
        self.assertEqual(100, len({round(at_s, 4) for at_s in returns_at_s}))
        self.assertGreaterEqual(returns_at_s[0], 6.0)
        self.assertLessEqual(returns_at_s[-1], 6.0 + MAX_SPREAD_S)

    def test_later_forecast_is_followed(self) -> None:
        schedule = ReturnSchedule(rng=random.Random(1))
        schedule.retry_after_s(KEY, now_s=0.0, ready_in_s=2.0, takes_s=0.1, members=1)
        after_s = schedule.retry_after_s(
            KEY, now_s=1.0, ready_in_s=5.0, takes_s=0.1, members=1
        )
        self.assertEqual(5.0, after_s)

    def test_models_are_scheduled_apart(self) -> None:
        schedule = ReturnSchedule(rng=random.Random(1))
        for _ in range(50):
            schedule.retry_after_s(
                KEY, now_s=0.0, ready_in_s=2.0, takes_s=0.03, members=1
            )
        other = ("svc", "other")
        after_s = schedule.retry_after_s(
            other, now_s=0.0, ready_in_s=2.0, takes_s=0.1, members=1
        )
        self.assertEqual(2.0, after_s)

    def test_past_returns_are_forgotten(self) -> None:
        schedule = ReturnSchedule(rng=random.Random(1))
        schedule.retry_after_s(KEY, now_s=0.0, ready_in_s=8.9, takes_s=0.1, members=1)
        schedule.drop_past(9.0)
        after_s = schedule.retry_after_s(
            KEY, now_s=9.0, ready_in_s=0.5, takes_s=8.0, members=1
        )
        self.assertEqual(0.5, after_s)
