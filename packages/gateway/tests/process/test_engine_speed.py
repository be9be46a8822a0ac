"""Tests for the learned speed of engines, and the demand that follows from it."""

import random

from parameterized import parameterized
from testtools import TestCase

from jaytray_gateway.process.engine_speed import INITIAL_SPEED, EngineSpeeds

STREAMS = 300


def learn(prompt_token_ms: float, output_token_ms: float, seed: int) -> EngineSpeeds:
    """Return the speeds learned from streams of engines of these speeds.

    Some streams wait for others at the engine, and they end before all declared tokens.
    """
    rng = random.Random(seed)
    speeds = EngineSpeeds()
    for _ in range(STREAMS):
        prompt_tokens = rng.randint(300, 3000)
        waits_s = rng.random() * 0.03 if rng.random() < 0.3 else 0.0
        speeds.record_prefill(
            "svc",
            prompt_tokens=prompt_tokens,
            first_piece_s=prompt_tokens * prompt_token_ms / 1000 + waits_s,
        )
        speeds.record_generation(
            "svc",
            output_tokens=400,
            generation_s=400 * output_token_ms * rng.uniform(0.5, 1.5) / 1000,
        )
    return speeds


class EngineSpeedTests(TestCase):
    @parameterized.expand([(0.026, 3.1), (0.049, 6.3), (0.2, 20.0)])
    def test_is_learned_from_streams(self, prompt_ms: float, output_ms: float) -> None:
        speed = learn(prompt_ms, output_ms, 1).of("svc")
        self.assertLess(abs(speed.prompt_token_ms / prompt_ms - 1), 0.25)
        self.assertLess(abs(speed.output_token_ms / output_ms - 1), 0.25)

    def test_services_are_learned_apart(self) -> None:
        speeds = learn(0.2, 20.0, 1)
        self.assertEqual(INITIAL_SPEED, speeds.of("other"))

    def test_odd_streams_change_little(self) -> None:
        speeds = EngineSpeeds()
        speeds.record_prefill("svc", prompt_tokens=10, first_piece_s=9.0)
        speeds.record_generation("svc", output_tokens=0, generation_s=9.0)
        self.assertEqual(INITIAL_SPEED, speeds.of("svc"))
        speeds.record_prefill("svc", prompt_tokens=1000, first_piece_s=1e6)
        speeds.record_generation("svc", output_tokens=100, generation_s=0.0)
        speed = speeds.of("svc")
        self.assertLess(speed.prompt_token_ms, 1.2 * INITIAL_SPEED.prompt_token_ms)
        self.assertGreater(speed.output_token_ms, 0.9 * INITIAL_SPEED.output_token_ms)
