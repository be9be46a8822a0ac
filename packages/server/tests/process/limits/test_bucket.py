"""Tests of the token bucket against a replay of its charges."""

from typing import NamedTuple

from hypothesis import given, strategies as st
from testtools import TestCase

from jaytray_server.process.limits.bucket import TokenBucket

CAPACITY = 100.0
RATE = 7.0


class Action(NamedTuple):
    """Wait, then charge the bucket or refund part of an earlier charge."""

    wait_s: float
    is_return: bool
    pick: int
    part: float


ACTIONS = st.lists(
    st.builds(
        Action,
        st.floats(0.0, 30.0),
        st.booleans(),
        st.integers(0, 100),
        st.floats(0.0, 1.0),
    ),
    max_size=40,
)


def replayed_level(net_charges: list[tuple[float, float]], now: float) -> float:
    """Return the level of a bucket that was charged only the used tokens."""
    level, at = 0.0, 0.0
    for time_s, tokens in [*net_charges, (now, 0.0)]:
        level = min(CAPACITY, level + (time_s - at) * RATE) - tokens
        at = time_s
    return level


class BucketTests(TestCase):
    @given(ACTIONS)
    def test_level_is_as_if_only_used_tokens_were_charged(
        self, actions: list[Action]
    ) -> None:
        bucket = TokenBucket(now=0.0)
        bucket.set_limits(capacity=CAPACITY, rate=RATE, now=0.0)
        net_charges: list[tuple[float, float]] = []
        open_charges: list[int] = []
        now = 0.0
        for action in actions:
            now += action.wait_s
            bucket.advance(now)
            if action.is_return and open_charges:
                charge_id = open_charges.pop(action.pick % len(open_charges))
                time_s, tokens = net_charges[charge_id]
                bucket.give_back(charge_id, tokens * action.part)
                net_charges[charge_id] = (time_s, tokens * (1 - action.part))
            elif not action.is_return and bucket.level > 0:
                tokens = bucket.level * action.part
                bucket.charge(len(net_charges), tokens)
                open_charges.append(len(net_charges))
                net_charges.append((now, tokens))
            expected = replayed_level(net_charges, now)
            self.assertAlmostEqual(expected, bucket.level, places=6)

    def test_lowered_capacity_leaves_the_level_below_zero_for_a_while(self) -> None:
        bucket = TokenBucket(now=0.0)
        bucket.set_limits(capacity=CAPACITY, rate=RATE, now=0.0)
        bucket.advance(100.0)
        bucket.withdraw(CAPACITY)
        bucket.set_limits(capacity=-20.0, rate=RATE, now=100.0)
        bucket.set_limits(capacity=CAPACITY, rate=RATE, now=101.0)
        self.assertEqual(-20.0, bucket.level)
        self.assertFalse(bucket.can_take(1.0))
