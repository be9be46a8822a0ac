"""`make faults`: runs the fault-injection cases and prints a row for each.

Each fault runs alone and together with each other one, with fixed seeds, on virtual
time. The last four columns must be 0, and each broken variant must be detected;
otherwise the exit status is 1.
"""

import itertools
import logging
import sys

from absl import app, flags

from jaytray_core.logs import configure_logs
from tools.fault_cases.broken import VARIANTS_BY_NAME
from tools.fault_cases.run import REQUESTS, run_case
from tools.fault_cases.table import INJECT_BY_NAME

_PAIRS = flags.DEFINE_bool("pairs", True, "Also run each pair of faults together.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of seeds for each row.")
_ONLY = flags.DEFINE_string(
    "only", "", "Run only this fault, or these faults together as `a+b`."
)
_REQUESTS = flags.DEFINE_integer("requests", REQUESTS, "Requests in each row.")

_COLUMNS = (
    "fault",
    "seed",
    "requests",
    "whole",
    "refused",
    "unanswered",
    "malformed",
    "false_not_run",
    "doubled",
    "mixed",
)
_LOG_LEVEL = logging.CRITICAL


def main(_argv: list[str]) -> None:
    """Print the table; exit with 1 on a broken promise or an undetected variant."""
    configure_logs(level=_LOG_LEVEL)
    print(_format_row(_COLUMNS))
    failed = 0
    rows = 0
    for names in _cases():
        for seed in range(1, _SEEDS.value + 1):
            verdict = run_case(names, seed=seed, requests=_REQUESTS.value)
            print(_format_row(("+".join(names), seed, *verdict)), flush=True)
            rows += 1
            failed += not verdict.is_passed
    print(f"{rows} rows, {failed} with a broken promise")
    undetected = _check_broken_variants()
    sys.exit(1 if failed or undetected else 0)


def _check_broken_variants() -> int:
    """Run the broken variants; return how many were not detected."""
    undetected = 0
    for name, variant in VARIANTS_BY_NAME.items():
        with variant.apply_patch():
            verdict = run_case((variant.fault,), seed=1, requests=_REQUESTS.value)
        found = getattr(verdict, variant.column)
        print(f"broken variant: {name}: {variant.column}={found}")
        undetected += found == 0
    return undetected


def _cases() -> list[tuple[str, ...]]:
    if _ONLY.value:
        return [tuple(_ONLY.value.split("+"))]
    names = list(INJECT_BY_NAME)
    cases: list[tuple[str, ...]] = [(name,) for name in names]
    if _PAIRS.value:
        cases.extend(itertools.combinations(names[1:], 2))
    return cases


def _format_row(cells: tuple[object, ...]) -> str:
    first, *rest = cells
    return f"{first!s:<42}" + "".join(f"{cell!s:>14}" for cell in rest)


if __name__ == "__main__":
    app.run(main)
