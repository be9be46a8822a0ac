"""Tests of the checker: references, sizes, packing, and the example documents."""

import pathlib
import random

from hypothesis import given, strategies as st
from parameterized import parameterized
from testtools import TestCase

from jaytray_core.document.checker import CheckReport, check_text
from jaytray_core.document.model import Model, Target, empty_document
from jaytray_core.document.packing import Reachability, pack_all
from jaytray_core.document.schema import schema_page

ROOT = pathlib.Path(__file__).resolve().parents[4]
TARGET = (
    "[target t{0}]\naddress = 10.0.0.1:80\nfailure_domain = d{0}\n"
    "accelerators = 1\naccelerator_memory_mib = 100\n"
)
TARGETS = TARGET.format(1) + TARGET.format(2)
MODEL = "[model {}]\nmemory_mib = {}\nmin_replicas = {}\nmax_replicas = 2\n"
ROUTE = "[route {}]\nservice = s\nmethods = {}\n"
SERVICE = "[service s]\naddresses = 10.0.0.9:80\n"
ADAPTER = "[adapter a]\nmodel = {}\nmemory_mib = {}\n"

FAULTS = [
    ("adapter without model", ADAPTER.format("m", 1), [(2, "reference_unknown")]),
    (
        "key without account",
        "[key k]\naccount = x\ndigest = sha256:" + "0" * 64,
        [(2, "reference_unknown")],
    ),
    ("route without service", ROUTE.format("r", "GET"), [(2, "reference_unknown")]),
    ("drained unknown target", "[drain]\ntargets = t9\n", [(2, "reference_unknown")]),
    (
        "burst below rate",
        "[account a]\nrate_tokens_per_s = 9\nburst_tokens = 8\n",
        [(3, "burst_below_rate")],
    ),
    (
        "model too large",
        MODEL.format("m", 101, 1) + TARGETS,
        [(2, "model_fits_nowhere")],
    ),
    ("no target at all", MODEL.format("m", 1, 1), [(2, "model_fits_nowhere")]),
    (
        "adapter too large",
        MODEL.format("m", 90, 1) + ADAPTER.format("m", 11) + TARGETS,
        [(7, "model_fits_nowhere")],
    ),
    (
        "crossed bounds",
        MODEL.format("m", 1, 3) + TARGETS,
        [(3, "replica_bounds_crossed"), (3, "replicas_exceed_accelerators")],
    ),
    (
        "adapter named like a model",
        MODEL.format("a", 1, 1) + ADAPTER.format("a", 1) + TARGETS,
        [(5, "name_doubled")],
    ),
    (
        "overlapping routes",
        SERVICE + ROUTE.format("r", "GET") + ROUTE.format("q", "PUT, GET"),
        [(6, "name_doubled")],
    ),
    (
        "replicas that cannot all fit",
        "".join(MODEL.format(f"m{i}", 60, 1) for i in range(3)) + TARGETS,
        [(0, "replicas_do_not_fit")],
    ),
]


def check_example(name: str) -> CheckReport:
    """Check one of the documents in examples/."""
    return check_text((ROOT / "examples" / name).read_text())


class CheckerTests(TestCase):
    @parameterized.expand(FAULTS)
    def test_fault(
        self, _name: str, text: str, expected: list[tuple[int, str]]
    ) -> None:
        report = check_text(text)
        self.assertEqual(expected, [(f.line, f.code) for f in report.faults])

    def test_withdrawn_key_may_outlive_its_account(self) -> None:
        key = "[key k]\naccount = x\nis_withdrawn = yes\ndigest = sha256:" + "0" * 64
        self.assertEqual([], check_text(key).faults)

    @parameterized.expand(
        [("lakeshore.ini", 20, 80, 4, 6, 4), ("consortium.ini", 17, 55, 3, 5, 3)]
    )
    def test_shipped_document(
        self,
        name: str,
        models: int,
        adapters: int,
        domains: int,
        servers: int,
        addresses: int,
    ) -> None:
        report = check_example(name)
        document = report.parsed.document
        assert document is not None
        self.assertEqual([], report.faults)
        self.assertTrue(report.is_proven)
        self.assertEqual(domains, len(report.without_domain))
        self.assertEqual(models, len(document.models_by_name))
        self.assertEqual(adapters, len(document.adapters_by_name))
        self.assertEqual(5, len(document.accounts_by_name))
        self.assertEqual(servers, len(document.targets_by_name))
        self.assertEqual(
            [addresses], [len(s.addresses) for s in document.services_by_name.values()]
        )

    def test_lost_domain_that_holds_too_much_is_reported(self) -> None:
        text = MODEL.format("m", 60, 1) + MODEL.format("n", 60, 1) + TARGETS
        report = check_text(text)
        self.assertEqual([], report.faults)
        outcomes = [packing.outcome for packing in report.without_domain]
        self.assertEqual([Reachability.IMPOSSIBLE] * 2, outcomes)

    def test_failed_heuristic_is_not_reported_as_impossible(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            sizes = _random_sizes(rng) + _random_sizes(rng)
            report = check_text(
                "".join(MODEL.format(f"m{i}", s, 1) for i, s in enumerate(sizes))
                + TARGETS
            )
            assert report.all_domains is not None
            self.assertIsNot(Reachability.IMPOSSIBLE, report.all_domains.outcome)
            if report.all_domains.outcome is Reachability.UNPROVEN:
                return
        self.fail("no seed defeats the heuristic, so the test proves nothing")

    @given(st.lists(st.integers(1, 100), max_size=12), st.integers(1, 4))
    def test_impossible_is_never_claimed_of_what_fits(
        self, sizes: list[int], targets: int
    ) -> None:
        """Fill accelerators one by one; whatever was placed can be packed."""
        free = [100] * targets
        placed = []
        for size in sizes:
            for position, room in enumerate(free):
                if room >= size:
                    free[position] -= size
                    placed.append(size)
                    break
        document = empty_document("trial")._replace(
            models_by_name={
                f"m{i}": Model(f"m{i}", "1", s, 1, 1, 1, 1, 1)
                for i, s in enumerate(placed)
            },
            targets_by_name={
                f"t{i}": Target(f"t{i}", "1.1.1.1:1", "d", 1, 100, True, 1, False)
                for i in range(targets)
            },
        )
        self.assertIsNot(Reachability.IMPOSSIBLE, pack_all(document).outcome)

    def test_committed_schema_page_is_current(self) -> None:
        page = ROOT / "docs" / "operations" / "document-schema.md"
        self.assertEqual(schema_page(), page.read_text())


def _random_sizes(rng: random.Random) -> list[int]:
    """Return random sizes whose sum is the memory of one accelerator."""
    cuts = sorted(rng.sample(range(10, 91), 3))
    return [b - a for a, b in zip([0, *cuts], [*cuts, 100], strict=True)]
