"""Runs the model engine contract against the in-process and HTTP connections."""

from functools import partial
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from tests.contracts import implementations, target_contract
from tests.contracts.running import (
    MakeBench,
    fault_checks_by_name,
    parameter_rows,
    run_case,
)

_TARGETS: dict[str, MakeBench] = {
    f"{transport}_{fencing}": partial(
        implementations.target_bench,
        is_http=transport == "http",
        checks_fencing=fencing == "fenced",
    )
    for transport in ("in_process", "http")
    for fencing in ("fenced", "unfenced")
}
_FENCED_TARGETS = {
    name: make_bench
    for name, make_bench in _TARGETS.items()
    if not name.endswith("unfenced")
}


class TargetContractTests(TestCase):
    @parameterized.expand(parameter_rows(_TARGETS, target_contract.CASES_BY_NAME))
    def test_case(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)

    @parameterized.expand(
        parameter_rows(
            _FENCED_TARGETS,
            fault_checks_by_name(target_contract, lambda case: case.name),
        )
    )
    def test_fault(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)
