"""Runs the weight store and VM list contracts in-process and over HTTP."""

from typing import Any

from parameterized import parameterized
from testtools import TestCase

from tests.contracts import implementations, platform_contract
from tests.contracts.running import (
    MakeBench,
    fault_checks_by_name,
    parameter_rows,
    run_case,
)

_PLATFORMS = {
    "in_process": implementations.in_process_platform_bench,
    "http": implementations.http_platform_bench,
}


class PlatformContractTests(TestCase):
    @parameterized.expand(parameter_rows(_PLATFORMS, platform_contract.CASES_BY_NAME))
    def test_case(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)

    @parameterized.expand(
        parameter_rows(_PLATFORMS, fault_checks_by_name(platform_contract, str))
    )
    def test_fault(self, _name: str, make_bench: MakeBench, case: Any) -> None:
        run_case(case, make_bench)
