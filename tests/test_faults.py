"""Tests that promises hold under faults and that broken variants are detected."""

from parameterized import parameterized
from testtools import TestCase

from tools.fault_cases.broken import VARIANTS_BY_NAME
from tools.fault_cases.run import run_case

CASES = [
    ("none",),
    ("answer_lost",),
    ("cut", "kv_answers_lost"),
    ("crossed", "vm_death"),
    ("target_crashes_twice", "kv_down"),
    ("crashing_request", "peers_cut"),
    ("owner_silent", "kv_reordered"),
]


class FaultTableTests(TestCase):
    @parameterized.expand([("+".join(names), names) for names in CASES])
    def test_promises_hold(self, _name: str, names: tuple[str, ...]) -> None:
        verdict = run_case(names, seed=7, requests=40)
        self.assertTrue(verdict.is_passed, verdict)
        self.assertEqual(40, verdict.requests)

    def test_same_seed_gives_the_same_verdict(self) -> None:
        verdicts = [run_case(("stalled",), seed=3, requests=30) for _ in range(2)]
        self.assertEqual(verdicts[0], verdicts[1])

    @parameterized.expand([(name, name) for name in VARIANTS_BY_NAME])
    def test_broken_variant_is_detected(self, _name: str, name: str) -> None:
        variant = VARIANTS_BY_NAME[name]
        with variant.apply_patch():
            verdict = run_case((variant.fault,), seed=1)
        self.assertGreater(getattr(verdict, variant.column), 0)
